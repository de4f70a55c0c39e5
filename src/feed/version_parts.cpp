#include "feed/version_parts.h"

namespace cyclamenhatch::feed {
namespace {

/// Parts of a configuration's version.
constexpr unsigned era_bits = 8;
constexpr unsigned revision_bits = 30;
constexpr std::uint64_t max_era = (1ULL << era_bits) - 1;
constexpr std::uint64_t max_revision = (1ULL << revision_bits) - 1;

} // namespace

config_version make_version(std::uint64_t document_version, const store::store_position& latest) {
    const auto position = ((latest.era & max_era) << revision_bits) +
                          (static_cast<std::uint64_t>(latest.revision) & max_revision);
    return config_version{(document_version << (era_bits + revision_bits)) + position};
}

bool includes(config_version version, const store::store_position& position) {
    return ((version.value >> revision_bits) & max_era) == (position.era & max_era) &&
           (version.value & max_revision) >=
               (static_cast<std::uint64_t>(position.revision) & max_revision);
}

std::uint64_t raise_era(std::uint64_t known, config_version version) {
    const auto stated = (version.value >> revision_bits) & max_era;
    const auto rise = (stated - known) & max_era;
    // More than half of the range ahead is an earlier era.
    return rise <= max_era / 2 ? known + rise : known;
}

} // namespace cyclamenhatch::feed

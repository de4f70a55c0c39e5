#pragma once

#include "model/ids.h"
#include "store/kv.h"

#include <cstdint>

/// What the version of a configuration in the operators' format is made of.
namespace cyclamenhatch::feed {

/// Version of the configuration made from the operators' document of this version, whose latest
/// change has this position. The document's version orders first: while the service lacks the
/// newest document, what it holds is no newer version. Holds 26 bits of the document's version, 8
/// of the era and 30 of the revision.
[[nodiscard]] config_version make_version(std::uint64_t document_version,
                                          const store::store_position& latest);

/// Whether a configuration of this version was made from what the service held at the position or
/// later in the same era.
[[nodiscard]] bool includes(config_version version, const store::store_position& position);

/// The lowest era from `known` on that a version made by make_version may belong to.
[[nodiscard]] std::uint64_t raise_era(std::uint64_t known, config_version version);

} // namespace cyclamenhatch::feed

#include "feed/evacuations.h"

#include "model/validation.h"

#include <algorithm>
#include <set>

namespace cyclamenhatch::feed {
namespace {

/// Keys that name no data centre are remembered and logged up to this number.
constexpr std::size_t max_ignored = 64;

bool is_evacuation(const config_format& format, std::string_view key) {
    return !format.evacuations_prefix.empty() && key.starts_with(format.evacuations_prefix);
}

const std::vector<data_centre_id>& evacuated_of(const snapshot& config) {
    static const std::vector<data_centre_id> none;
    return config.fleet ? config.fleet->content.evacuated : none;
}

} // namespace

std::optional<data_centre_id> find_evacuated_name(const config_format& format,
                                                  std::string_view key) {
    if (!is_evacuation(format, key)) {
        return std::nullopt;
    }
    const auto name = key.substr(format.evacuations_prefix.size());
    return is_name(name) ? std::optional(data_centre_id(std::string(name))) : std::nullopt;
}

std::vector<data_centre_id> list_evacuated(const config_format& format,
                                           const std::map<std::string, store::kv_entry>& items,
                                           const order_history& history, const snapshot_ptr& held,
                                           instant now) {
    std::set<data_centre_id> names;
    for (const auto& [key, entry] : items) {
        if (auto name = find_evacuated_name(format, key)) {
            names.insert(*std::move(name));
        }
    }
    if (held && awaits_rewrites(history, now)) {
        const auto& kept = evacuated_of(*held);
        names.insert(kept.begin(), kept.end());
    }
    return {names.begin(), names.end()};
}

bool differs(const snapshot_ptr& config, const std::vector<data_centre_id>& evacuated) {
    return config && evacuated_of(*config) != evacuated;
}

bool is_later_copy(const snapshot_ptr& held, const snapshot_ptr& built) {
    return held && built && held->version > built->version &&
           std::equal(held->sections.begin(), held->sections.end(), built->sections.begin(),
                      built->sections.end(), [](const auto& left, const auto& right) {
                          return left.first == right.first &&
                                 left.second->digest == right.second->digest;
                      });
}

void log_ignored(const config_format& format, const std::map<std::string, store::kv_entry>& items,
                 std::map<std::string, std::int64_t>& logged, std::vector<log_event>& logs) {
    std::erase_if(logged, [&](const auto& entry) { return !items.contains(entry.first); });
    for (const auto& [key, entry] : items) {
        if (!is_evacuation(format, key) || find_evacuated_name(format, key)) {
            continue;
        }
        const auto known = logged.find(key);
        const bool is_known = known != logged.end() && known->second == entry.mod_revision;
        if (is_known || (known == logged.end() && logged.size() >= max_ignored)) {
            continue;
        }
        logged[key] = entry.mod_revision;
        logs.push_back({log_level::warning,
                        "evacuation_ignored",
                        {{"key", key},
                         {"revision", std::to_string(entry.mod_revision)},
                         {"problem", "names no data centre"}}});
    }
}

} // namespace cyclamenhatch::feed

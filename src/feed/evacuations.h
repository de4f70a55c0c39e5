#pragma once

#include "feed/config_format.h"
#include "feed/order_history.h"
#include "model/log_event.h"
#include "model/snapshot.h"
#include "store/kv.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// The evacuations among the operators' items. No function reads a clock or changes the items.
namespace cyclamenhatch::feed {

/// The data centre that the key asks to evacuate; nothing when the key is another one, or when no
/// data centre can have the name.
[[nodiscard]] std::optional<data_centre_id> find_evacuated_name(const config_format& format,
                                                                std::string_view key);

/// The evacuated data centres, sorted. While the operators may still write again what the service
/// has lost, those of `held`, the configuration in force here, stay evacuated; it may be null.
[[nodiscard]] std::vector<data_centre_id>
list_evacuated(const config_format& format, const std::map<std::string, store::kv_entry>& items,
               const order_history& history, const snapshot_ptr& held, instant now);

/// Whether the configuration has other evacuations; false for null.
[[nodiscard]] bool differs(const snapshot_ptr& config,
                           const std::vector<data_centre_id>& evacuated);

/// Whether `held` has the content of `built` under a later version; false when one is null.
[[nodiscard]] bool is_later_copy(const snapshot_ptr& held, const snapshot_ptr& built);

/// Logs the items that name no data centre, each once a revision; `logged` holds the revisions.
void log_ignored(const config_format& format, const std::map<std::string, store::kv_entry>& items,
                 std::map<std::string, std::int64_t>& logged, std::vector<log_event>& logs);

} // namespace cyclamenhatch::feed

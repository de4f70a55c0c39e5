#pragma once

#include "document/document.h"
#include "model/snapshot.h"
#include "store/change.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Finds and lists resources of a configuration for the API.
namespace cyclamenhatch::admin {

/// The kind that a path segment such as "upstream-versions" names.
[[nodiscard]] std::optional<store::resource_kind> find_kind(std::string_view plural);

/// The kind's name in resource files, such as "upstream_version".
[[nodiscard]] std::string_view kind_name(store::resource_kind kind);

/// A resource as the API shows it.
struct shown_resource {
    document body;
    config_version revision;
};

[[nodiscard]] std::optional<shown_resource> find_resource(const snapshot& config,
                                                          const store::resource_key& key);

/// All resources of one kind; of one service only when `service` is not empty.
[[nodiscard]] document list_resources(const snapshot& config, store::resource_kind kind,
                                      const service_id& service);

/// All resources, in the form of a resource file.
[[nodiscard]] document list_all_resources(const snapshot& config);

/// A service and all that refers to it; empty when there is no such service.
[[nodiscard]] std::vector<store::resource_key> list_section_keys(const snapshot& config,
                                                                 const service_id& service);

/// The newest version that an operation is known to have been accepted in.
[[nodiscard]] std::optional<config_version> find_operation(const snapshot& config,
                                                           const operation_id& operation);

} // namespace cyclamenhatch::admin

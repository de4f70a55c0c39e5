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

/// The kind for a path segment such as "upstream-versions".
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

/// All resources of one kind; only those of `service` unless it is empty.
[[nodiscard]] document list_resources(const snapshot& config, store::resource_kind kind,
                                      const service_id& service);

/// All resources, in the form of a resource file.
[[nodiscard]] document list_all_resources(const snapshot& config);

/// The keys of a service and of its routes, upstream versions and moves; empty when there is no
/// such service.
[[nodiscard]] std::vector<store::resource_key> list_service_keys(const snapshot& config,
                                                                 const service_id& service);

/// The newest version in which the operation is known to have been accepted.
[[nodiscard]] std::optional<config_version> find_operation(const snapshot& config,
                                                           const operation_id& operation);

} // namespace cyclamenhatch::admin

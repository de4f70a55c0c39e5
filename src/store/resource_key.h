#pragma once

#include "model/ids.h"
#include "model/snapshot.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

/// Keys of single resources, as preconditions and deletions use them.
namespace cyclamenhatch::store {

using section_map = std::map<service_id, section_ptr>;

enum class resource_kind { service, route, upstream_version, move, workspace };

struct resource_key {
    resource_kind kind = resource_kind::service;
    /// The fleet section's for a workspace.
    service_id service;
    /// The resource's own name; the service's name for a service.
    std::string name;

    friend auto operator<=>(const resource_key&, const resource_key&) = default;
};

/// The name of a kind in resource files and the API.
[[nodiscard]] std::string_view kind_text(resource_kind kind);

/// Text for findings, such as: route "all" of service "layouts".
[[nodiscard]] std::string describe(const resource_key& key);

/// The version that last wrote a resource, or nothing when it does not exist.
[[nodiscard]] std::optional<config_version> find_revision(const section_map& sections,
                                                          const resource_key& key);

} // namespace cyclamenhatch::store

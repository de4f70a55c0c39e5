#include "store/resource_key.h"

namespace cyclamenhatch::store {

std::string_view kind_text(resource_kind kind) {
    switch (kind) {
    case resource_kind::service:
        return "service";
    case resource_kind::route:
        return "route";
    case resource_kind::upstream_version:
        return "upstream_version";
    case resource_kind::move:
        return "move";
    case resource_kind::workspace:
        return "workspace";
    }
    return "resource";
}

std::string describe(const resource_key& key) {
    std::string text = std::string(kind_text(key.kind)) + " \"" + key.name + "\"";
    if (key.kind != resource_kind::service && key.kind != resource_kind::workspace) {
        text += " of service \"" + key.service.value + "\"";
    }
    return text;
}

std::optional<config_version> find_revision(const section_map& sections, const resource_key& key) {
    const auto it = sections.find(key.service);
    if (it == sections.end()) {
        return std::nullopt;
    }
    const auto& content = it->second->content;
    const auto revision_in = [&](const auto& resources) -> std::optional<config_version> {
        for (const auto& resource : resources) {
            if (resource.name.value == key.name) {
                return resource.last_write.revision;
            }
        }
        return std::nullopt;
    };
    switch (key.kind) {
    case resource_kind::service:
        return is_fleet_section(content) ? std::nullopt
                                         : std::optional(content.service.last_write.revision);
    case resource_kind::route:
        return revision_in(content.routes);
    case resource_kind::upstream_version:
        return revision_in(content.versions);
    case resource_kind::move:
        return revision_in(content.moves);
    case resource_kind::workspace:
        return revision_in(content.workspaces);
    }
    return std::nullopt;
}

} // namespace cyclamenhatch::store

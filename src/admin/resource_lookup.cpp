#include "admin/resource_lookup.h"
#include "document/schema_reader.h"

#include <algorithm>
#include <array>

namespace cyclamenhatch::admin {
namespace {

struct kind_names {
    store::resource_kind kind;
    std::string_view plural;
    std::string_view singular;
};

constexpr std::array<kind_names, 5> all_kinds{{
    {store::resource_kind::service, "services", "service"},
    {store::resource_kind::route, "routes", "route"},
    {store::resource_kind::upstream_version, "upstream-versions", "upstream_version"},
    {store::resource_kind::move, "moves", "move"},
    {store::resource_kind::workspace, "workspaces", "workspace"},
}};

/// Calls `visit` with each resource of one kind.
template <class Visitor>
void for_each(const section& part, store::resource_kind kind, Visitor visit) {
    switch (kind) {
    case store::resource_kind::service:
        if (!is_fleet_section(part)) {
            visit(part.service);
        }
        return;
    case store::resource_kind::route:
        std::for_each(part.routes.begin(), part.routes.end(), visit);
        return;
    case store::resource_kind::upstream_version:
        std::for_each(part.versions.begin(), part.versions.end(), visit);
        return;
    case store::resource_kind::move:
        std::for_each(part.moves.begin(), part.moves.end(), visit);
        return;
    case store::resource_kind::workspace:
        std::for_each(part.workspaces.begin(), part.workspaces.end(), visit);
        return;
    }
}

} // namespace

std::optional<store::resource_kind> find_kind(std::string_view plural) {
    const auto* it = std::find_if(all_kinds.begin(), all_kinds.end(),
                                  [&](const kind_names& names) { return names.plural == plural; });
    return it == all_kinds.end() ? std::nullopt : std::optional(it->kind);
}

std::string_view kind_name(store::resource_kind kind) {
    const auto* it = std::find_if(all_kinds.begin(), all_kinds.end(),
                                  [&](const kind_names& names) { return names.kind == kind; });
    return it->singular;
}

std::optional<shown_resource> find_resource(const snapshot& config,
                                            const store::resource_key& key) {
    const auto part = config.sections.find(key.service);
    if (part == config.sections.end()) {
        return std::nullopt;
    }
    std::optional<shown_resource> match;
    for_each(part->second->content, key.kind, [&](const auto& resource) {
        if (resource.name.value == key.name) {
            match = shown_resource{write_resource(resource), resource.last_write.revision};
        }
    });
    return match;
}

document list_resources(const snapshot& config, store::resource_kind kind,
                        const service_id& service) {
    document::array items;
    for (const auto& [name, part] : config.sections) {
        if (service.empty() || service == name) {
            for_each(part->content, kind,
                     [&](const auto& resource) { items.push_back(write_resource(resource)); });
        }
    }
    return {std::move(items)};
}

document list_all_resources(const snapshot& config) {
    document::table all;
    for (const auto& kind_entry : all_kinds) {
        all.push_back(
            {std::string(kind_entry.singular), list_resources(config, kind_entry.kind, {})});
    }
    return {std::move(all)};
}

std::vector<store::resource_key> list_service_keys(const snapshot& config,
                                                   const service_id& service) {
    std::vector<store::resource_key> keys;
    const auto part = config.sections.find(service);
    if (part == config.sections.end()) {
        return keys;
    }
    for (const auto& kind : all_kinds) {
        for_each(part->second->content, kind.kind, [&](const auto& resource) {
            keys.push_back({kind.kind, service, resource.name.value});
        });
    }
    return keys;
}

std::optional<config_version> find_operation(const snapshot& config,
                                             const operation_id& operation) {
    std::optional<config_version> newest;
    const auto update_newest = [&](config_version version) {
        newest = std::max(newest.value_or(version), version);
    };
    if (std::find(config.operations.begin(), config.operations.end(), operation) !=
        config.operations.end()) {
        update_newest(config.version);
    }
    for (const auto& [name, part] : config.sections) {
        for (const auto& kind : all_kinds) {
            for_each(part->content, kind.kind, [&](const auto& resource) {
                if (resource.last_write.operation == operation) {
                    update_newest(resource.last_write.revision);
                }
            });
        }
    }
    return newest;
}

} // namespace cyclamenhatch::admin

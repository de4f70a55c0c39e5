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

constexpr std::array<kind_names, 4> all_kinds{{
    {store::resource_kind::service, "services", "service"},
    {store::resource_kind::route, "routes", "route"},
    {store::resource_kind::upstream_version, "upstream-versions", "upstream_version"},
    {store::resource_kind::move, "moves", "move"},
}};

/// Calls `use` with each resource of one kind.
template <class Use> void for_each(const section& part, store::resource_kind kind, Use use) {
    switch (kind) {
    case store::resource_kind::service:
        use(part.service);
        return;
    case store::resource_kind::route:
        std::for_each(part.routes.begin(), part.routes.end(), use);
        return;
    case store::resource_kind::upstream_version:
        std::for_each(part.versions.begin(), part.versions.end(), use);
        return;
    case store::resource_kind::move:
        std::for_each(part.moves.begin(), part.moves.end(), use);
        return;
    }
}

} // namespace

std::optional<store::resource_kind> find_kind(std::string_view plural) {
    const auto* found = std::find_if(all_kinds.begin(), all_kinds.end(),
                                     [&](const kind_names& each) { return each.plural == plural; });
    return found == all_kinds.end() ? std::nullopt : std::optional(found->kind);
}

std::string_view kind_name(store::resource_kind kind) {
    const auto* found = std::find_if(all_kinds.begin(), all_kinds.end(),
                                     [&](const kind_names& each) { return each.kind == kind; });
    return found->singular;
}

std::optional<shown_resource> find_resource(const snapshot& config,
                                            const store::resource_key& key) {
    const auto part = config.sections.find(key.service);
    if (part == config.sections.end()) {
        return std::nullopt;
    }
    std::optional<shown_resource> found;
    for_each(part->second->content, key.kind, [&](const auto& each) {
        if (each.name.value == key.name) {
            found = shown_resource{write_resource(each), each.last_write.revision};
        }
    });
    return found;
}

document list_resources(const snapshot& config, store::resource_kind kind,
                        const service_id& service) {
    document::array items;
    for (const auto& [name, part] : config.sections) {
        if (service.empty() || service == name) {
            for_each(part->content, kind,
                     [&](const auto& each) { items.push_back(write_resource(each)); });
        }
    }
    return {std::move(items)};
}

document list_all_resources(const snapshot& config) {
    document::table all;
    for (const auto& each : all_kinds) {
        all.push_back({std::string(each.singular), list_resources(config, each.kind, {})});
    }
    return {std::move(all)};
}

std::vector<store::resource_key> list_section_keys(const snapshot& config,
                                                   const service_id& service) {
    std::vector<store::resource_key> keys;
    const auto part = config.sections.find(service);
    if (part == config.sections.end()) {
        return keys;
    }
    for (const auto& kind : all_kinds) {
        for_each(part->second->content, kind.kind, [&](const auto& each) {
            keys.push_back({kind.kind, service, each.name.value});
        });
    }
    return keys;
}

std::optional<config_version> find_operation(const snapshot& config,
                                             const operation_id& operation) {
    std::optional<config_version> newest;
    const auto consider = [&](config_version version) {
        newest = std::max(newest.value_or(version), version);
    };
    if (std::find(config.operations.begin(), config.operations.end(), operation) !=
        config.operations.end()) {
        consider(config.version);
    }
    for (const auto& [name, part] : config.sections) {
        for (const auto& kind : all_kinds) {
            for_each(part->content, kind.kind, [&](const auto& each) {
                if (each.last_write.operation == operation) {
                    consider(each.last_write.revision);
                }
            });
        }
    }
    return newest;
}

} // namespace cyclamenhatch::admin

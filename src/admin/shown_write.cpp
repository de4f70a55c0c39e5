#include "admin/shown_write.h"

#include <algorithm>
#include <iterator>

namespace cyclamenhatch::admin {
namespace {

using store::resource_key;
using store::resource_kind;

void add_precondition(store::resource_write& write, const resource_key& key,
                      const provenance& written) {
    if (written.revision.value > 0) {
        write.preconditions.push_back({key, written.revision});
    }
}

template <class Resource>
void add_preconditions(store::resource_write& write, resource_kind kind,
                       const std::vector<Resource>& resources) {
    for (const auto& resource : resources) {
        add_precondition(write, {kind, resource.service, resource.name.value}, resource.last_write);
    }
}

const move* find_current_move(const snapshot& config, const move& requested) {
    const auto part = config.sections.find(requested.service);
    if (part == config.sections.end()) {
        return nullptr;
    }
    const auto& moves = part->second->content.moves;
    const auto it = std::find_if(moves.begin(), moves.end(), [&](const move& candidate) {
        return candidate.name == requested.name;
    });
    return it == moves.end() ? nullptr : &*it;
}

/// Compares the JSON forms, since they have a coarser time resolution than a node may hold.
bool is_unchanged(const move& requested, move current) {
    current.last_write.operation = requested.last_write.operation;
    return write_json(write_resource(requested)) == write_json(write_resource(current));
}

finding describe_conflict(const move& requested, const move* current) {
    const auto actual = current == nullptr
                            ? std::string("absent")
                            : "at revision " + std::to_string(current->last_write.revision.value);
    return {.path = store::describe(
                resource_key{resource_kind::move, requested.service, requested.name.value}),
            .problem = "it is " + actual + " where revision " +
                       std::to_string(requested.last_write.revision.value) + " is required",
            .remedy = "read it again and decide anew"};
}

} // namespace

std::variant<store::resource_write, store::change_refused>
to_resource_write(resource_set resources, const snapshot& config) {
    store::resource_write write;
    store::change_refused refusal;
    for (const auto& service : resources.services) {
        add_precondition(write, {resource_kind::service, service.name, service.name.value},
                         service.last_write);
    }
    add_preconditions(write, resource_kind::route, resources.routes);
    add_preconditions(write, resource_kind::upstream_version, resources.versions);
    add_preconditions(write, resource_kind::move, resources.moves);
    for (const auto& workspace : resources.workspaces) {
        add_precondition(write,
                         {resource_kind::workspace, fleet_section_name(), workspace.name.value},
                         workspace.last_write);
    }
    for (std::size_t i = 0; i < resources.moves.size(); ++i) {
        auto& requested = resources.moves[i];
        const auto* current = find_current_move(config, requested);
        if (current != nullptr && is_unchanged(requested, *current)) {
            continue;
        }
        const auto shown = resources.system_field_findings.find(i);
        if (shown == resources.system_field_findings.end()) {
            write.moves.push_back(std::move(requested));
        } else if (current == nullptr ||
                   current->last_write.revision != requested.last_write.revision) {
            refusal.kind = store::refusal_kind::conflict;
            refusal.problems.push_back(describe_conflict(requested, current));
        } else {
            std::move(shown->second.begin(), shown->second.end(),
                      std::back_inserter(refusal.problems));
        }
    }
    if (!refusal.problems.empty()) {
        return refusal;
    }
    write.services = std::move(resources.services);
    write.routes = std::move(resources.routes);
    write.versions = std::move(resources.versions);
    write.workspaces = std::move(resources.workspaces);
    return write;
}

} // namespace cyclamenhatch::admin

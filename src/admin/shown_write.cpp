#include "admin/shown_write.h"

#include <algorithm>
#include <iterator>

namespace cyclamenhatch::admin {
namespace {

using store::resource_key;
using store::resource_kind;

void require(store::resource_write& to, const resource_key& key, const provenance& written) {
    if (written.revision.value > 0) {
        to.preconditions.push_back({key, written.revision});
    }
}

template <class Resource>
void require_all(store::resource_write& to, resource_kind kind, const std::vector<Resource>& from) {
    for (const auto& each : from) {
        require(to, {kind, each.service, each.name.value}, each.last_write);
    }
}

const move* find_held(const snapshot& config, const move& wanted) {
    const auto part = config.sections.find(wanted.service);
    if (part == config.sections.end()) {
        return nullptr;
    }
    const auto& moves = part->second->content.moves;
    const auto held = std::find_if(moves.begin(), moves.end(),
                                   [&](const move& each) { return each.name == wanted.name; });
    return held == moves.end() ? nullptr : &*held;
}

/// Compares what is shown, since times are shown less finely than a node may hold them.
bool is_unchanged(const move& wanted, move held) {
    held.last_write.operation = wanted.last_write.operation;
    return write_json(write_resource(wanted)) == write_json(write_resource(held));
}

finding describe_conflict(const move& wanted, const move* held) {
    const auto actual = held == nullptr
                            ? std::string("absent")
                            : "at revision " + std::to_string(held->last_write.revision.value);
    return {.path = store::describe(
                resource_key{resource_kind::move, wanted.service, wanted.name.value}),
            .problem = "it is " + actual + " where revision " +
                       std::to_string(wanted.last_write.revision.value) + " is required",
            .remedy = "read it again and decide anew"};
}

} // namespace

std::variant<store::resource_write, store::change_refused> settle_write(resource_set from,
                                                                        const snapshot& config) {
    store::resource_write to;
    store::change_refused refused;
    for (const auto& each : from.services) {
        require(to, {resource_kind::service, each.name, each.name.value}, each.last_write);
    }
    require_all(to, resource_kind::route, from.routes);
    require_all(to, resource_kind::upstream_version, from.versions);
    require_all(to, resource_kind::move, from.moves);
    for (std::size_t i = 0; i < from.moves.size(); ++i) {
        auto& wanted = from.moves[i];
        const auto* held = find_held(config, wanted);
        if (held != nullptr && is_unchanged(wanted, *held)) {
            continue;
        }
        const auto shown = from.system_field_findings.find(i);
        if (shown == from.system_field_findings.end()) {
            to.moves.push_back(std::move(wanted));
        } else if (held == nullptr || held->last_write.revision != wanted.last_write.revision) {
            refused.kind = store::refusal_kind::conflict;
            refused.found.push_back(describe_conflict(wanted, held));
        } else {
            std::move(shown->second.begin(), shown->second.end(),
                      std::back_inserter(refused.found));
        }
    }
    if (!refused.found.empty()) {
        return refused;
    }
    to.services = std::move(from.services);
    to.routes = std::move(from.routes);
    to.versions = std::move(from.versions);
    return to;
}

} // namespace cyclamenhatch::admin

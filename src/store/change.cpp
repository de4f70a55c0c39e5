#include "store/change.h"

#include "model/validation.h"
#include "store/change_context.h"
#include "store/resource_key.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace cyclamenhatch::store {
namespace {

std::string revision_text(const std::optional<config_version>& revision) {
    return revision ? "at revision " + std::to_string(revision->value) : "absent";
}

void check_preconditions(change_context& context, const resource_write& write) {
    for (const auto& condition : write.preconditions) {
        const auto actual = find_revision(context.current, condition.key);
        if (actual != condition.expected) {
            context.add_conflict(describe(condition.key),
                                 "it is " + revision_text(actual) + " where " +
                                     (condition.expected
                                          ? "revision " + std::to_string(condition.expected->value)
                                          : std::string("absence")) +
                                     " is required",
                                 "read it again and decide anew");
        }
    }
}

/// Only a move may change the version of a service. A plain write would shift all its traffic at
/// once, for instance when an operator reapplies a file that was written before a move.
void put_existing_service(change_context& context, service& existing, const service& replacement,
                          std::size_t index) {
    if (replacement.version != existing.version) {
        context.add_conflict(indexed("service", index, "version"),
                             "service \"" + existing.name.value + "\" is on \"" +
                                 existing.version.value + "\"",
                             "write the version that it is on; change it by a move");
        return;
    }
    replace_if_changed(existing, replacement, context.stamp);
}

void put_services(change_context& context, const std::vector<service>& services) {
    for (std::size_t i = 0; i < services.size(); ++i) {
        const auto& new_service = services[i];
        if (new_service.name == fleet_section_name()) {
            context.add_invalid(indexed("service", i, "name"),
                                "\"" + new_service.name.value + "\" is no name of a service",
                                "use 1 to 128 letters, digits, '-', '_' or '.'");
            continue;
        }
        if (!add_key(context, {resource_kind::service, new_service.name, new_service.name.value},
                     indexed("service", i, "name"))) {
            continue;
        }
        if (section* working_copy = open_section(context, new_service.name)) {
            put_existing_service(context, working_copy->service, new_service, i);
            continue;
        }
        section added;
        added.service = new_service;
        added.service.last_write = context.stamp;
        context.changed_sections.emplace(new_service.name, std::move(added));
    }
}

/// The working copy of the section that a resource belongs to, or null, with a finding, when the
/// resource was named before or its service does not exist.
section* open_section_for(change_context& context, resource_kind kind, std::size_t index,
                          const service_id& service, const std::string& name) {
    if (!add_key(context, {kind, service, name}, indexed(kind_text(kind), index, "name"))) {
        return nullptr;
    }
    section* working_copy = open_section(context, service);
    if (working_copy == nullptr) {
        context.add_invalid(indexed(kind_text(kind), index, "service"),
                            "no service \"" + service.value + "\"",
                            "add the service or name another");
    }
    return working_copy;
}

template <class Resource>
void put_resources(change_context& context, resource_kind kind,
                   const std::vector<Resource>& resources, std::vector<Resource> section::*member) {
    for (std::size_t i = 0; i < resources.size(); ++i) {
        section* working_copy =
            open_section_for(context, kind, i, resources[i].service, resources[i].name.value);
        if (working_copy != nullptr) {
            put_resource(working_copy->*member, resources[i], context.stamp);
        }
    }
}

/// Updates an open move under the same attempt number. Its versions must not change, since its
/// evidence and permits are about them.
void update_open_move(change_context& context, move& existing, move replacement,
                      std::size_t index) {
    if (replacement.old_version != existing.old_version ||
        replacement.new_version != existing.new_version) {
        context.add_invalid(
            indexed("move", index, replacement.old_version != existing.old_version ? "from" : "to"),
            "the move is under way from \"" + existing.old_version.value + "\" to \"" +
                existing.new_version.value + "\"",
            "cancel it and start another");
        return;
    }
    replacement.attempt = existing.attempt;
    replacement.ending.reset();
    replacement.cancel = replacement.cancel || existing.cancel;
    replace_if_changed(existing, std::move(replacement), context.stamp);
}

/// Whether a write repeats the move that has ended: applying a file again must not start a new
/// attempt.
bool is_same_request(const move& ended_move, move requested) {
    requested.cancel = ended_move.cancel;
    requested.attempt = ended_move.attempt;
    requested.ending = ended_move.ending;
    requested.last_write = ended_move.last_write;
    return requested == ended_move;
}

void start_move(change_context& context, section& working_copy, move new_move, std::size_t index) {
    if (new_move.cancel) {
        context.add_conflict(indexed("move", index, "cancel"),
                             "move \"" + new_move.name.value + "\" is not open",
                             "cancel only an open move");
        return;
    }
    const auto existing = find_named(working_copy.moves, new_move.name.value);
    if (existing != working_copy.moves.end() && is_same_request(*existing, new_move)) {
        return;
    }
    new_move.attempt = existing == working_copy.moves.end() ? 1 : existing->attempt + 1;
    new_move.ending.reset();
    new_move.last_write = context.stamp;
    if (existing == working_copy.moves.end()) {
        working_copy.moves.push_back(std::move(new_move));
    } else {
        *existing = std::move(new_move);
    }
}

void put_moves(change_context& context, const std::vector<move>& moves) {
    for (std::size_t i = 0; i < moves.size(); ++i) {
        section* working_copy = open_section_for(context, resource_kind::move, i, moves[i].service,
                                                 moves[i].name.value);
        if (working_copy == nullptr) {
            continue;
        }
        const auto existing = find_named(working_copy->moves, moves[i].name.value);
        if (existing != working_copy->moves.end() && !existing->ending) {
            update_open_move(context, *existing, moves[i], i);
        } else {
            start_move(context, *working_copy, moves[i], i);
        }
    }
}

template <class Resource>
bool erase_named(std::vector<Resource>& resources, const std::string& name) {
    const auto existing = find_named(resources, name);
    if (existing == resources.end()) {
        return false;
    }
    resources.erase(existing);
    return true;
}

bool delete_move(change_context& context, section& working_copy, const resource_key& key,
                 const std::string& path) {
    const auto existing = find_named(working_copy.moves, key.name);
    if (existing == working_copy.moves.end()) {
        return false;
    }
    if (!existing->ending) {
        context.add_invalid(path, describe(key) + " is open",
                            "cancel it and delete it once its ending is recorded");
        return true;
    }
    working_copy.moves.erase(existing);
    return true;
}

/// Requests need a key also after the last workspace is gone: otherwise every key would be accepted
/// once the last one is withdrawn.
bool delete_workspace(section& fleet, const std::string& name) {
    fleet.requires_access_key = true;
    return erase_named(fleet.workspaces, name);
}

bool delete_resource(change_context& context, section& working_copy, const resource_key& key,
                     const std::string& path) {
    switch (key.kind) {
    case resource_kind::service:
        if (is_fleet_section(working_copy)) {
            return false;
        }
        context.removed_services.insert(key.service);
        return true;
    case resource_kind::route:
        return erase_named(working_copy.routes, key.name);
    case resource_kind::upstream_version:
        return erase_named(working_copy.versions, key.name);
    case resource_kind::move:
        return delete_move(context, working_copy, key, path);
    case resource_kind::workspace:
        return delete_workspace(working_copy, key.name);
    }
    return false;
}

void delete_resources(change_context& context, const std::vector<resource_key>& deletes) {
    for (std::size_t i = 0; i < deletes.size(); ++i) {
        const auto& key = deletes[i];
        const std::string path = "delete[" + std::to_string(i) + "]";
        if (!add_key(context, key, path)) {
            continue;
        }
        section* working_copy = open_section(context, key.service);
        if (working_copy == nullptr || !delete_resource(context, *working_copy, key, path)) {
            context.add_conflict(path, describe(key) + " does not exist", "read what exists");
        }
    }
}

template <class Resource>
void report_remaining(change_context& context, resource_kind kind, const service_id& name,
                      const std::vector<Resource>& remaining) {
    for (const auto& resource : remaining) {
        context.add_invalid("service \"" + name.value + "\"",
                            describe({kind, name, resource.name.value}) + " still refers to it",
                            "delete it in the same write");
    }
}

void check_removed_services(change_context& context) {
    for (const auto& name : context.removed_services) {
        const auto& working_copy = context.changed_sections.at(name);
        report_remaining(context, resource_kind::route, name, working_copy.routes);
        report_remaining(context, resource_kind::upstream_version, name, working_copy.versions);
        report_remaining(context, resource_kind::move, name, working_copy.moves);
    }
}

void close_move(change_context& context, const move_close& closing) {
    const std::string path =
        "move \"" + closing.name.value + "\" of service \"" + closing.service.value + "\"";
    section* working_copy = open_section(context, closing.service);
    if (working_copy == nullptr) {
        context.add_conflict(path, "the service does not exist", "read what exists");
        return;
    }
    const auto existing = find_named(working_copy->moves, closing.name.value);
    if (existing == working_copy->moves.end()) {
        context.add_conflict(path, "it does not exist", "read what exists");
        return;
    }
    if (existing->attempt != closing.attempt || existing->ending) {
        context.add_conflict(path,
                             "attempt " + std::to_string(existing->attempt) +
                                 (existing->ending ? " has ended" : " is under way"),
                             "close only an open attempt");
        return;
    }
    existing->ending = closing.ending;
    existing->last_write = context.stamp;
    if (closing.ending.outcome == move_outcome::done) {
        working_copy->service.version = existing->new_version;
        working_copy->service.last_write = context.stamp;
    }
}

void apply(change_context& context, const resource_write& write) {
    check_preconditions(context, write);
    put_services(context, write.services);
    put_resources(context, resource_kind::route, write.routes, &section::routes);
    put_resources(context, resource_kind::upstream_version, write.versions, &section::versions);
    put_moves(context, write.moves);
    put_workspaces(context, write.workspaces);
    delete_resources(context, write.deletes);
    check_removed_services(context);
}

void apply(change_context& context, const move_close& closing) {
    close_move(context, closing);
}

/// All sections as they are after the change. Sections with equal content keep their pointers.
section_map build_updated_sections(change_context& context) {
    section_map updated = context.current;
    for (auto& [name, content] : context.changed_sections) {
        const auto existing = updated.find(name);
        if (is_empty_fleet_section(content) || context.removed_services.count(name) > 0) {
            updated.erase(name);
        } else if (existing == updated.end() || existing->second->content != content) {
            updated[name] = make_stored_section(std::move(content));
        }
    }
    return updated;
}

findings validate(const section_map& sections) {
    std::vector<const section*> contents;
    contents.reserve(sections.size());
    for (const auto& [name, stored] : sections) {
        contents.push_back(&stored->content);
    }
    return validate_sections(contents);
}

} // namespace

std::variant<section_map, change_refused> apply_change(const section_map& current,
                                                       const change& requested,
                                                       config_version version,
                                                       const operation_id& operation) {
    change_context context{.current = current, .stamp = {version, operation}};
    std::visit([&](const auto& alternative) { apply(context, alternative); }, requested);
    const bool has_conflict = !context.conflict_findings.empty();
    auto all_findings = std::move(context.conflict_findings);
    const auto append = [&](findings added) {
        std::move(added.begin(), added.end(), std::back_inserter(all_findings));
    };
    append(std::move(context.invalid_findings));
    auto updated = build_updated_sections(context);
    append(validate(updated));
    if (!all_findings.empty()) {
        return change_refused{has_conflict ? refusal_kind::conflict : refusal_kind::invalid,
                              std::move(all_findings)};
    }
    return updated;
}

} // namespace cyclamenhatch::store

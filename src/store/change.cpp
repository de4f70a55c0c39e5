#include "store/change.h"

#include "model/validation.h"
#include "store/resource_key.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace cyclamenhatch::store {
namespace {

std::string indexed(std::string_view kind, std::size_t index, std::string_view field) {
    return std::string(kind) + "[" + std::to_string(index) + "]." + std::string(field);
}

template <class Resource> auto find_named(std::vector<Resource>& from, const std::string& name) {
    return std::find_if(from.begin(), from.end(),
                        [&](const Resource& each) { return each.name.value == name; });
}

/// One change being applied: sections are copied when first touched.
struct application {
    const section_map& before;
    provenance stamp;
    std::map<service_id, section> touched;
    std::set<service_id> removed;
    std::set<resource_key> seen;
    findings invalid;
    findings conflicts;

    void refuse(std::string path, std::string problem, std::string remedy) {
        invalid.push_back(
            {.path = std::move(path), .problem = std::move(problem), .remedy = std::move(remedy)});
    }
    void conflict(std::string path, std::string problem, std::string remedy) {
        conflicts.push_back(
            {.path = std::move(path), .problem = std::move(problem), .remedy = std::move(remedy)});
    }
};

/// The working copy of a section, or null when the service does not exist.
section* open_section(application& run, const service_id& name) {
    const auto copied = run.touched.find(name);
    if (copied != run.touched.end()) {
        return &copied->second;
    }
    const auto held = run.before.find(name);
    if (held == run.before.end()) {
        return nullptr;
    }
    return &run.touched.emplace(name, held->second->content).first->second;
}

std::string revision_text(const std::optional<config_version>& revision) {
    return revision ? "at revision " + std::to_string(revision->value) : "absent";
}

void check_preconditions(application& run, const resource_write& wanted) {
    for (const auto& each : wanted.preconditions) {
        const auto actual = find_revision(run.before, each.key);
        if (actual != each.expected) {
            run.conflict(describe(each.key),
                         "it is " + revision_text(actual) + " where " +
                             (each.expected ? "revision " + std::to_string(each.expected->value)
                                            : std::string("absence")) +
                             " is required",
                         "read it again and decide anew");
        }
    }
}

bool is_first(application& run, const resource_key& key, const std::string& path) {
    if (run.seen.insert(key).second) {
        return true;
    }
    run.refuse(path, describe(key) + " stands twice in this write", "name each resource once");
    return false;
}

/// Replaces `held` when the content differs; an equal one keeps its revision.
template <class Resource>
void replace_if_changed(Resource& held, Resource wanted, const provenance& stamp) {
    wanted.written = held.written;
    if (wanted != held) {
        wanted.written = stamp;
        held = std::move(wanted);
    }
}

template <class Resource>
void put_resource(std::vector<Resource>& into, const Resource& wanted, const provenance& stamp) {
    const auto held = find_named(into, wanted.name.value);
    if (held != into.end()) {
        replace_if_changed(*held, wanted, stamp);
        return;
    }
    into.push_back(wanted);
    into.back().written = stamp;
}

/// The version of a service changes by a move alone: a plain write of it would turn all traffic at
/// once, as when an operator applies the file of before a move again.
void put_held_service(application& run, service& held, const service& wanted, std::size_t index) {
    if (wanted.version != held.version) {
        run.conflict(indexed("service", index, "version"),
                     "service \"" + held.name.value + "\" is on \"" + held.version.value + "\"",
                     "write the version that it is on; change it by a move");
        return;
    }
    replace_if_changed(held, wanted, run.stamp);
}

void put_services(application& run, const std::vector<service>& wanted) {
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        const auto& each = wanted[i];
        if (!is_first(run, {resource_kind::service, each.name, each.name.value},
                      indexed("service", i, "name"))) {
            continue;
        }
        if (section* part = open_section(run, each.name)) {
            put_held_service(run, part->service, each, i);
            continue;
        }
        section added;
        added.service = each;
        added.service.written = run.stamp;
        run.touched.emplace(each.name, std::move(added));
    }
}

/// The section that a resource belongs in, with a finding when there is none.
section* open_for(application& run, resource_kind kind, std::size_t index,
                  const service_id& service, const std::string& name) {
    if (!is_first(run, {kind, service, name}, indexed(kind_text(kind), index, "name"))) {
        return nullptr;
    }
    section* part = open_section(run, service);
    if (part == nullptr) {
        run.refuse(indexed(kind_text(kind), index, "service"),
                   "no service \"" + service.value + "\"", "add the service or name another");
    }
    return part;
}

template <class Resource>
void put_resources(application& run, resource_kind kind, const std::vector<Resource>& wanted,
                   std::vector<Resource> section::*member) {
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        section* part = open_for(run, kind, i, wanted[i].service, wanted[i].name.value);
        if (part != nullptr) {
            put_resource(part->*member, wanted[i], run.stamp);
        }
    }
}

/// An open move keeps its attempt; its versions stay, since evidence and permits are about them.
void update_open_move(application& run, move& held, move wanted, std::size_t index) {
    if (wanted.from != held.from || wanted.to != held.to) {
        run.refuse(indexed("move", index, wanted.from != held.from ? "from" : "to"),
                   "the move is under way from \"" + held.from.value + "\" to \"" + held.to.value +
                       "\"",
                   "cancel it and start another");
        return;
    }
    wanted.attempt = held.attempt;
    wanted.ending.reset();
    wanted.cancel = wanted.cancel || held.cancel;
    replace_if_changed(held, std::move(wanted), run.stamp);
}

/// Whether an operator wrote the same as before the move ended: applying a file again starts
/// nothing.
bool is_same_order(const move& ended, move wanted) {
    wanted.cancel = ended.cancel;
    wanted.attempt = ended.attempt;
    wanted.ending = ended.ending;
    wanted.written = ended.written;
    return wanted == ended;
}

void start_move(application& run, section& part, move wanted, std::size_t index) {
    if (wanted.cancel) {
        run.conflict(indexed("move", index, "cancel"),
                     "move \"" + wanted.name.value + "\" is not open", "cancel only an open move");
        return;
    }
    const auto held = find_named(part.moves, wanted.name.value);
    if (held != part.moves.end() && is_same_order(*held, wanted)) {
        return;
    }
    wanted.attempt = held == part.moves.end() ? 1 : held->attempt + 1;
    wanted.ending.reset();
    wanted.written = run.stamp;
    if (held == part.moves.end()) {
        part.moves.push_back(std::move(wanted));
    } else {
        *held = std::move(wanted);
    }
}

void put_moves(application& run, const std::vector<move>& wanted) {
    for (std::size_t i = 0; i < wanted.size(); ++i) {
        section* part =
            open_for(run, resource_kind::move, i, wanted[i].service, wanted[i].name.value);
        if (part == nullptr) {
            continue;
        }
        const auto held = find_named(part->moves, wanted[i].name.value);
        if (held != part->moves.end() && !held->ending) {
            update_open_move(run, *held, wanted[i], i);
        } else {
            start_move(run, *part, wanted[i], i);
        }
    }
}

template <class Resource> bool erase_named(std::vector<Resource>& from, const std::string& name) {
    const auto held = find_named(from, name);
    if (held == from.end()) {
        return false;
    }
    from.erase(held);
    return true;
}

bool delete_move(application& run, section& part, const resource_key& key,
                 const std::string& path) {
    const auto held = find_named(part.moves, key.name);
    if (held == part.moves.end()) {
        return false;
    }
    if (!held->ending) {
        run.refuse(path, describe(key) + " is open",
                   "cancel it and delete it once its ending is recorded");
        return true;
    }
    part.moves.erase(held);
    return true;
}

bool delete_resource(application& run, section& part, const resource_key& key,
                     const std::string& path) {
    switch (key.kind) {
    case resource_kind::service:
        run.removed.insert(key.service);
        return true;
    case resource_kind::route:
        return erase_named(part.routes, key.name);
    case resource_kind::upstream_version:
        return erase_named(part.versions, key.name);
    case resource_kind::move:
        return delete_move(run, part, key, path);
    }
    return false;
}

void delete_resources(application& run, const std::vector<resource_key>& deletes) {
    for (std::size_t i = 0; i < deletes.size(); ++i) {
        const auto& key = deletes[i];
        const std::string path = "delete[" + std::to_string(i) + "]";
        if (!is_first(run, key, path)) {
            continue;
        }
        section* part = open_section(run, key.service);
        if (part == nullptr || !delete_resource(run, *part, key, path)) {
            run.conflict(path, describe(key) + " does not exist", "read what exists");
        }
    }
}

template <class Resource>
void report_remaining(application& run, resource_kind kind, const service_id& name,
                      const std::vector<Resource>& remaining) {
    for (const auto& each : remaining) {
        run.refuse("service \"" + name.value + "\"",
                   describe({kind, name, each.name.value}) + " still refers to it",
                   "delete it in the same write");
    }
}

void check_removed(application& run) {
    for (const auto& name : run.removed) {
        const auto& part = run.touched.at(name);
        report_remaining(run, resource_kind::route, name, part.routes);
        report_remaining(run, resource_kind::upstream_version, name, part.versions);
        report_remaining(run, resource_kind::move, name, part.moves);
    }
}

void close_move(application& run, const move_close& wanted) {
    const std::string path =
        "move \"" + wanted.name.value + "\" of service \"" + wanted.service.value + "\"";
    section* part = open_section(run, wanted.service);
    if (part == nullptr) {
        run.conflict(path, "the service does not exist", "read what exists");
        return;
    }
    const auto held = find_named(part->moves, wanted.name.value);
    if (held == part->moves.end()) {
        run.conflict(path, "it does not exist", "read what exists");
        return;
    }
    if (held->attempt != wanted.attempt || held->ending) {
        run.conflict(path,
                     "attempt " + std::to_string(held->attempt) +
                         (held->ending ? " has ended" : " is under way"),
                     "close only an open attempt");
        return;
    }
    held->ending = wanted.ending;
    held->written = run.stamp;
    if (wanted.ending.outcome == move_outcome::done) {
        part->service.version = held->to;
        part->service.written = run.stamp;
    }
}

void apply(application& run, const resource_write& wanted) {
    check_preconditions(run, wanted);
    put_services(run, wanted.services);
    put_resources(run, resource_kind::route, wanted.routes, &section::routes);
    put_resources(run, resource_kind::upstream_version, wanted.versions, &section::versions);
    put_moves(run, wanted.moves);
    delete_resources(run, wanted.deletes);
    check_removed(run);
}

void apply(application& run, const move_close& wanted) {
    close_move(run, wanted);
}

/// All sections as they would stand. Sections with equal content keep their pointers.
section_map assemble(application& run) {
    section_map after = run.before;
    for (auto& [name, part] : run.touched) {
        const auto held = after.find(name);
        if (run.removed.count(name) > 0) {
            after.erase(name);
        } else if (held == after.end() || held->second->content != part) {
            after[name] = make_stored_section(std::move(part));
        }
    }
    return after;
}

findings validate(const section_map& sections) {
    std::vector<const section*> parts;
    parts.reserve(sections.size());
    for (const auto& [name, part] : sections) {
        parts.push_back(&part->content);
    }
    return validate_sections(parts);
}

} // namespace

std::variant<section_map, change_refused> apply_change(const section_map& before,
                                                       const change& wanted, config_version version,
                                                       const operation_id& operation) {
    application run{.before = before, .stamp = {version, operation}};
    std::visit([&](const auto& each) { apply(run, each); }, wanted);
    const bool has_conflict = !run.conflicts.empty();
    auto found = std::move(run.conflicts);
    const auto collect = [&](findings more) {
        std::move(more.begin(), more.end(), std::back_inserter(found));
    };
    collect(std::move(run.invalid));
    auto after = assemble(run);
    collect(validate(after));
    if (!found.empty()) {
        return change_refused{has_conflict ? refusal_kind::conflict : refusal_kind::invalid,
                              std::move(found)};
    }
    return after;
}

} // namespace cyclamenhatch::store

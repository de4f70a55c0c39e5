#include "feed/operator_reader.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::feed {
namespace {

using store::kv_failure;
using store::kv_failure_kind;

/// A response that takes longer than this is taken as lost.
constexpr seconds response_limit{5};
/// How often everything is read although a watch is open, since a watch can fall silent.
constexpr milliseconds check_interval{5000};
constexpr store::backoff_limits failure_backoff{milliseconds{100}, milliseconds{1000}};

/// One step of the reader with all that it needs.
struct reader_run {
    operator_reader& reader;
    instant now;
    reader_actions& actions;
};

std::uint64_t send_request(reader_run& run, store::kv_operation operation) {
    const auto id = run.reader.next_request++;
    run.actions.requests.push_back({id, std::move(operation)});
    return id;
}

bool is_watched(const operator_reader& reader, const std::string& key) {
    return key.starts_with(reader.words.watched_prefix);
}

/// Adds the move that an order asks for to its service.
void add_move(std::vector<section>& parts, const move_order& order, std::int64_t revision,
              findings& found) {
    const auto part = std::find_if(parts.begin(), parts.end(), [&](const section& each) {
        return each.service.name == order.service;
    });
    if (part == parts.end()) {
        found.push_back({.path = "order",
                         .problem = "no service \"" + order.service.value + "\"",
                         .remedy = "order a move of a service that is configured"});
        return;
    }
    part->versions.push_back({.name = order.to, .service = order.service, .written = {}});
    move made;
    made.name = name_move(revision);
    made.service = order.service;
    made.to = order.to;
    made.duration = order.duration;
    part->moves.push_back(std::move(made));
}

/// The section in stored form; the one held when it has not changed.
section_ptr store_section(operator_reader& reader, section content) {
    sort_routes(content); // As the section held, so that the two compare equal.
    auto& held = reader.sections[content.service.name];
    if (!held || held->content != content) {
        held = make_stored_section(std::move(content));
    }
    return held;
}

void reject(reader_run& run, std::int64_t revision, findings found) {
    if (run.reader.rejected_revision == revision) {
        return;
    }
    run.reader.rejected_revision = revision;
    run.actions.rejected = config_version{static_cast<std::uint64_t>(revision)};
    run.actions.rejected_for = std::move(found);
}

std::int64_t newest_revision(const operator_reader& reader) {
    std::int64_t newest = 0;
    for (const auto& [key, each] : reader.items) {
        newest = std::max(newest, each.mod_revision);
    }
    return newest;
}

/// Orders that cannot be read move nothing, and do not keep the rest from taking effect.
void add_orders(reader_run& run, std::vector<section>& parts, findings& found) {
    const auto& words = run.reader.words;
    for (const auto& [key, each] : run.reader.items) {
        if (!key.starts_with(words.orders_prefix)) {
            continue;
        }
        const auto order = words.read_order(each.value);
        if (const auto* problems = std::get_if<findings>(&order)) {
            found.insert(found.end(), problems->begin(), problems->end());
            continue;
        }
        add_move(parts, std::get<move_order>(order), each.mod_revision, found);
    }
}

/// Builds the snapshot of what is held, when it is not built yet.
void build(reader_run& run) {
    auto& reader = run.reader;
    const auto revision = newest_revision(reader);
    if (revision <= reader.built_revision || revision == reader.rejected_revision) {
        return;
    }
    const auto document = reader.items.find(reader.words.document_key);
    if (document == reader.items.end()) {
        return;
    }
    auto read = reader.words.read_document(document->second.value);
    if (auto* found = std::get_if<findings>(&read)) {
        reject(run, revision, std::move(*found));
        return;
    }
    auto& parts = std::get<std::vector<section>>(read);
    findings order_findings;
    add_orders(run, parts, order_findings);
    std::vector<section_ptr> sections;
    sections.reserve(parts.size());
    for (auto& each : parts) {
        sections.push_back(store_section(reader, std::move(each)));
    }
    auto built = build_snapshot(config_version{static_cast<std::uint64_t>(revision)},
                                std::move(sections), {});
    if (auto* found = std::get_if<findings>(&built)) {
        reject(run, revision, std::move(*found));
        return;
    }
    if (!order_findings.empty()) {
        reject(run, revision, std::move(order_findings));
    }
    reader.built = std::get<snapshot_ptr>(std::move(built));
    reader.built_revision = revision;
    run.actions.found = reader.built;
}

void close_watch(reader_run& run) {
    if (run.reader.watch.id != 0) {
        send_request(run, store::kv_watch_cancel{run.reader.watch.id});
    }
    run.reader.watch = {};
}

void on_read(reader_run& run, const store::kv_entries& read) {
    auto& reader = run.reader;
    reader.read = {};
    if (read.revision < reader.seen_revision) {
        // An answer that was overtaken by the watch: what is held is newer.
        run.actions.is_current = reader.built != nullptr;
        return;
    }
    reader.items.clear();
    for (const auto& each : read.entries) {
        reader.items[each.key] = each;
    }
    reader.seen_revision = read.revision;
    build(run);
    run.actions.is_current = !run.actions.found && reader.built != nullptr;
}

void on_records(reader_run& run, const store::kv_entries& read) {
    auto& reader = run.reader;
    reader.records_read = {};
    reader.has_records = true;
    for (const auto& each : read.entries) {
        auto record = reader.words.read_record(each.value);
        if (auto* found = std::get_if<move_record>(&record)) {
            run.actions.records.push_back(std::move(*found));
        }
    }
}

void on_watched(reader_run& run, const store::kv_changes& changes) {
    auto& reader = run.reader;
    auto seen = reader.seen_revision;
    for (const auto& each : changes.changes) {
        if (!is_watched(reader, each.entry.key) ||
            each.entry.mod_revision <= reader.seen_revision) {
            continue;
        }
        seen = std::max(seen, each.entry.mod_revision);
        if (each.is_delete) {
            reader.items.erase(each.entry.key);
        } else {
            reader.items[each.entry.key] = each.entry;
        }
    }
    // Not the revision that the answer states: it may be past changes that were not told.
    reader.seen_revision = seen;
    build(run);
}

void on_failure(reader_run& run, std::uint64_t id, const kv_failure& failure,
                random_source& random) {
    auto& reader = run.reader;
    if (id == reader.watch.id) {
        reader.watch = {};
        // Changes may have been missed when the history is gone.
        reader.wants_read = reader.wants_read || failure.kind == kv_failure_kind::compacted;
        if (failure.kind == kv_failure_kind::compacted) {
            return;
        }
    } else if (id == reader.read.id) {
        reader.read = {};
        reader.wants_read = true;
    } else {
        reader.records_read = {};
    }
    note_failure(reader.service, failure_backoff, run.now, random);
}

void give_up_lost(reader_run& run, random_source& random) {
    for (const auto& request : {run.reader.read, run.reader.records_read}) {
        if (is_lost(request, response_limit, run.now)) {
            on_failure(run, request.id, {kv_failure_kind::unknown, "no response"}, random);
        }
    }
}

/// Sends what is wanted.
void proceed(reader_run& run) {
    auto& reader = run.reader;
    if (run.now < reader.service.not_before) {
        return;
    }
    if (reader.wants_read && reader.read.id == 0) {
        reader.wants_read = false;
        reader.read = {send_request(run, store::kv_range{reader.words.watched_prefix, true}),
                       run.now};
    }
    const bool is_started = reader.wants_watch || reader.seen_revision > 0;
    if (is_started && !reader.has_records && reader.records_read.id == 0) {
        reader.records_read = {
            send_request(run, store::kv_range{reader.words.records_prefix, true}), run.now};
    }
    const bool needs_watch = reader.wants_watch && reader.watch.id == 0 &&
                             reader.seen_revision > 0 && !reader.wants_read;
    if (needs_watch) {
        reader.watch = {send_request(run, store::kv_watch{reader.words.watched_prefix, true,
                                                          reader.seen_revision + 1}),
                        run.now};
    }
}

} // namespace

move_id name_move(std::int64_t order_revision) {
    return move_id{"order-" + std::to_string(order_revision)};
}

operator_reader make_operator_reader(dialect words, instant now) {
    operator_reader reader;
    reader.words = std::move(words);
    reader.next_check = now + check_interval;
    return reader;
}

void set_watching(operator_reader& reader, bool wanted, instant now, reader_actions& actions) {
    if (reader.wants_watch == wanted) {
        return;
    }
    reader_run run{reader, now, actions};
    reader.wants_watch = wanted;
    if (!wanted) {
        close_watch(run);
        return;
    }
    reader.service.failures = 0;
    reader.wants_read = true;
    reader.has_records = false;
    reader.next_check = now + check_interval;
    proceed(run);
}

void refresh(operator_reader& reader, instant now, reader_actions& actions) {
    reader_run run{reader, now, actions};
    reader.wants_read = true;
    proceed(run);
}

void on_tick(operator_reader& reader, instant now, random_source& random, reader_actions& actions) {
    reader_run run{reader, now, actions};
    give_up_lost(run, random);
    if (reader.wants_watch && now >= reader.next_check) {
        reader.wants_read = true;
        reader.next_check = store::choose_next_check(check_interval, now, random);
    }
    proceed(run);
}

bool on_response(operator_reader& reader, const store::kv_response& response, instant now,
                 random_source& random, reader_actions& actions) {
    if (!store::is_issued_from(store::feed_request_base, response.id)) {
        return false;
    }
    const bool is_expected = response.id == reader.read.id ||
                             response.id == reader.records_read.id ||
                             response.id == reader.watch.id;
    if (!is_expected) {
        return true;
    }
    reader_run run{reader, now, actions};
    if (const auto* failure = std::get_if<kv_failure>(&response.outcome)) {
        on_failure(run, response.id, *failure, random);
    } else if (const auto* changes = std::get_if<store::kv_changes>(&response.outcome)) {
        note_success(reader.service);
        on_watched(run, *changes);
    } else if (const auto* read = std::get_if<store::kv_entries>(&response.outcome)) {
        note_success(reader.service);
        if (response.id == reader.read.id) {
            on_read(run, *read);
        } else {
            on_records(run, *read);
        }
    }
    proceed(run);
    return true;
}

} // namespace cyclamenhatch::feed

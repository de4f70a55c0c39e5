#include "feed/operator_reader.h"

#include "feed/evacuations.h"
#include "feed/usable_rows.h"

#include <algorithm>
#include <set>
#include <utility>

namespace cyclamenhatch::feed {
namespace {

using store::kv_failure;
using store::kv_failure_kind;

/// A request without a response after this time counts as lost.
constexpr seconds response_limit{5};
/// Interval of full reads despite an open watch, since a watch can stop reporting changes without
/// an error.
constexpr milliseconds check_interval{5000};
constexpr store::backoff_limits failure_backoff{milliseconds{100}, milliseconds{1000}};
/// Context of one call into the reader.
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
    return key.starts_with(reader.format.watched_prefix);
}

/// Returns the stored form of a section, reusing the previous one when the section is unchanged.
section_ptr store_section(operator_reader& reader, section content) {
    sort_resources(content); // Stored sections are sorted; needed for the comparison.
    auto& stored = reader.sections[content.service.name];
    if (!stored || stored->content != content) {
        stored = make_stored_section(std::move(content));
    }
    return stored;
}

/// A document that cannot be read states no version; it counts as one of the last that could.
void reject(reader_run& run, std::uint64_t document_version, std::int64_t revision,
            findings problems) {
    if (run.reader.rejected_revision == revision) {
        return;
    }
    run.reader.rejected_revision = revision;
    run.actions.rejected_version =
        make_version(document_version, {run.reader.orders.era, revision});
    run.actions.rejection_reasons = std::move(problems);
}

/// Whether the configuration is built from the item. Others raise no version.
bool is_used(const config_format& format, const std::string& key) {
    return key == format.document_key || key.starts_with(format.orders_prefix) ||
           find_evacuated_name(format, key).has_value();
}

/// Whether the content may depend on what this process has seen: nodes can name moves differently.
bool has_moves(const snapshot_ptr& config) {
    return config &&
           std::any_of(config->sections.begin(), config->sections.end(),
                       [](const auto& stored) { return !stored.second->content.moves.empty(); });
}

/// Revision of the newest change that is included; `read_revision` is that of the read that has
/// just replaced the items, or 0. What was stored at one revision has one content, so a read that
/// shows other evacuations than are known takes its own.
std::int64_t newest_revision(const operator_reader& reader, std::int64_t read_revision,
                             const std::vector<data_centre_id>& evacuated) {
    if (read_revision > 0 &&
        ((reader.has_conflict && !has_moves(reader.built_snapshot)) ||
         differs(reader.built_snapshot, evacuated) || differs(reader.held, evacuated))) {
        return read_revision;
    }
    auto newest = reader.withdrawn_revision;
    for (const auto& [key, entry] : reader.items) {
        newest = is_used(reader.format, key) ? std::max(newest, entry.mod_revision) : newest;
    }
    return newest;
}

/// Adds the moves of all orders. A malformed order is skipped; the others still take effect.
void add_orders(reader_run& run, std::vector<section>& sections, findings& problems) {
    const auto& format = run.reader.format;
    std::set<service_id> ordered;
    for (const auto& [key, entry] : run.reader.items) {
        if (!key.starts_with(format.orders_prefix)) {
            continue;
        }
        const auto order = format.read_order(entry.value);
        if (const auto* order_problems = std::get_if<findings>(&order)) {
            problems.insert(problems.end(), order_problems->begin(), order_problems->end());
            continue;
        }
        const auto& valid_order = std::get<move_order>(order);
        if (is_replaced(run.reader.orders, valid_order, entry.mod_revision)) {
            continue;
        }
        ordered.insert(valid_order.service);
        add_move(sections, valid_order,
                 resolve_name(run.reader.orders, valid_order, entry.mod_revision, run.reader.held,
                              run.now),
                 problems);
    }
    for (const auto& earlier : list_unwritten_moves(run.reader.orders, ordered, run.now)) {
        add_move(sections, {earlier.service, earlier.new_version, earlier.duration}, earlier.name,
                 problems);
    }
}

/// Adds the section of what belongs to no service, if there is anything.
void add_fleet_section(operators_document& parsed) {
    section fleet{.service = {.name = fleet_section_name()},
                  .workspaces = std::move(parsed.workspaces),
                  .evacuated = std::move(parsed.evacuated),
                  .requires_access_key = parsed.requires_access_key};
    if (!is_empty_fleet_section(fleet)) {
        parsed.sections.push_back(std::move(fleet));
    }
}

/// Builds a snapshot of the sections. If some of their rows can't be used, it is built of the
/// others and `problems` names these.
result<snapshot_ptr> build_of_usable(operator_reader& reader, config_version version,
                                     std::vector<section>&& sections, findings& problems) {
    std::vector<section_ptr> stored;
    const auto store_sections = [&] {
        stored.clear();
        for (auto& content : sections) {
            stored.push_back(store_section(reader, std::move(content)));
        }
        return stored;
    };
    auto built = build_snapshot(version, store_sections(), {});
    if (!std::holds_alternative<findings>(built)) {
        return built;
    }
    sections.clear();
    for (const auto& part : stored) {
        sections.push_back(part->content);
    }
    auto unusable = remove_unusable(sections);
    std::move(unusable.begin(), unusable.end(), std::back_inserter(problems));
    return build_snapshot(version, store_sections(), {});
}

/// Builds a snapshot of the current items, unless it was built or rejected already. `read_revision`
/// is that of the read that has just replaced the items, or 0.
void build(reader_run& run, std::int64_t read_revision) {
    auto& reader = run.reader;
    auto evacuated =
        list_evacuated(reader.format, reader.items, reader.orders, reader.held, run.now);
    const auto revision = newest_revision(reader, read_revision, evacuated);
    if (revision <= reader.built_revision || revision == reader.rejected_revision) {
        return;
    }
    const auto document = reader.items.find(reader.format.document_key);
    if (document == reader.items.end()) {
        return;
    }
    auto read = reader.format.read_document(document->second.value);
    if (auto* problems = std::get_if<findings>(&read)) {
        reject(run, reader.document_version, revision, std::move(*problems));
        return;
    }
    auto& parsed = std::get<operators_document>(read);
    auto row_findings = remove_reserved(parsed.sections);
    add_orders(run, parsed.sections, row_findings);
    parsed.evacuated = std::move(evacuated);
    add_fleet_section(parsed);
    auto built =
        build_of_usable(reader, make_version(parsed.version, {reader.orders.era, revision}),
                        std::move(parsed.sections), row_findings);
    if (auto* problems = std::get_if<findings>(&built)) {
        reject(run, parsed.version, revision, std::move(*problems));
        return;
    }
    if (!row_findings.empty()) {
        reject(run, parsed.version, revision, std::move(row_findings));
    }
    reader.built_snapshot = std::get<snapshot_ptr>(std::move(built));
    reader.built_revision = revision;
    reader.document_version = parsed.version;
    run.actions.snapshot = reader.built_snapshot;
    run.actions.notices = std::move(parsed.notices);
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
        // The watch has reported newer changes than this answer contains.
        run.actions.is_current = reader.built_snapshot != nullptr;
        return;
    }
    reader.items.clear();
    for (const auto& entry : read.entries) {
        reader.items[entry.key] = entry;
    }
    reader.seen_revision = read.revision;
    note_read(reader.orders, read.revision);
    log_ignored(reader.format, reader.items, reader.ignored, run.actions.logs);
    build(run, read.revision);
    if (!run.actions.snapshot && is_later_copy(reader.held, reader.built_snapshot)) {
        reader.built_snapshot = reader.held;
    }
    run.actions.is_current = !run.actions.snapshot && reader.built_snapshot != nullptr;
}

void on_records(reader_run& run, const store::kv_entries& read) {
    auto& reader = run.reader;
    reader.records_read = {};
    reader.wants_records = false;
    run.actions.has_read_records = true;
    for (const auto& entry : read.entries) {
        auto record = reader.format.read_record(entry.value);
        if (auto* valid_record = std::get_if<move_record>(&record)) {
            run.actions.records.push_back(std::move(*valid_record));
        }
    }
}

void on_watched(reader_run& run, const store::kv_changes& changes) {
    auto& reader = run.reader;
    auto seen = reader.seen_revision;
    for (const auto& change : changes.changes) {
        if (!is_watched(reader, change.entry.key) ||
            change.entry.mod_revision <= reader.seen_revision) {
            continue;
        }
        seen = std::max(seen, change.entry.mod_revision);
        if (change.is_delete) {
            reader.items.erase(change.entry.key);
            if (find_evacuated_name(reader.format, change.entry.key)) {
                reader.withdrawn_revision = change.entry.mod_revision;
            }
        } else {
            reader.items[change.entry.key] = change.entry;
        }
    }
    // The revision stated in the answer is not used: it may be later than changes that the watch
    // has not reported yet.
    reader.seen_revision = seen;
    log_ignored(reader.format, reader.items, reader.ignored, run.actions.logs);
    build(run, 0);
}

void on_failure(reader_run& run, std::uint64_t id, const kv_failure& failure,
                random_source& random) {
    auto& reader = run.reader;
    if (id == reader.watch.id) {
        reader.watch = {};
        // Changes may have been missed when the service has compacted its history.
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

void fail_lost_requests(reader_run& run, random_source& random) {
    for (const auto& request : {run.reader.read, run.reader.records_read}) {
        if (is_lost(request, response_limit, run.now)) {
            on_failure(run, request.id, {kv_failure_kind::unknown, "no response"}, random);
        }
    }
}

/// Sends the reads and the watch that are due, unless a backoff is running.
void send_due_requests(reader_run& run) {
    auto& reader = run.reader;
    if (run.now < reader.service.not_before) {
        return;
    }
    if (reader.wants_read && reader.read.id == 0) {
        reader.wants_read = false;
        reader.read = {send_request(run, store::kv_range{reader.format.watched_prefix, true}),
                       run.now};
    }
    if (reader.wants_records && reader.records_read.id == 0) {
        reader.records_read = {
            send_request(run, store::kv_range{reader.format.records_prefix, true}), run.now};
    }
    const bool needs_watch = reader.wants_watch && reader.watch.id == 0 &&
                             reader.seen_revision > 0 && !reader.wants_read;
    if (needs_watch) {
        reader.watch = {send_request(run, store::kv_watch{reader.format.watched_prefix, true,
                                                          reader.seen_revision + 1}),
                        run.now};
    }
}

} // namespace

void on_new_era(operator_reader& reader, std::uint64_t era, const snapshot_ptr& held, instant now,
                reader_actions& actions) {
    reader_run run{reader, now, actions};
    if (reader.orders.era == 0 && reader.seen_revision == 0) {
        reader.orders.era = era;
        return;
    }
    begin_era(reader.orders, era, held, now);
    close_watch(run);
    reader.read = {};
    reader.items.clear();
    reader.seen_revision = 0;
    reader.built_revision = 0;
    reader.withdrawn_revision = 0;
    reader.rejected_revision = 0;
    reader.ignored.clear();
    reader.wants_read = reader.wants_watch;
    send_due_requests(run);
}

operator_reader make_operator_reader(config_format format, instant now) {
    operator_reader reader;
    reader.format = std::move(format);
    reader.next_check = now + check_interval;
    return reader;
}

void set_watching(operator_reader& reader, bool is_watching, instant now, reader_actions& actions) {
    if (reader.wants_watch == is_watching) {
        return;
    }
    reader_run run{reader, now, actions};
    reader.wants_watch = is_watching;
    if (!is_watching) {
        close_watch(run);
        return;
    }
    reader.service.failures = 0;
    reader.wants_read = true;
    reader.next_check = now + check_interval;
    send_due_requests(run);
}

void refresh(operator_reader& reader, instant now, reader_actions& actions) {
    reader_run run{reader, now, actions};
    reader.wants_read = true;
    send_due_requests(run);
}

void note_held(operator_reader& reader, const snapshot_ptr& held, instant now) {
    reader.held = held;
    reader.has_conflict = false;
    const bool is_watching = reader.wants_watch && reader.seen_revision > 0;
    if (is_watching && differs(held, list_evacuated(reader.format, reader.items, reader.orders,
                                                    reader.held, now))) {
        reader.wants_read = true;
    }
}

void request_records(operator_reader& reader) {
    reader.wants_records = true;
}

void on_tick(operator_reader& reader, instant now, random_source& random, reader_actions& actions) {
    reader_run run{reader, now, actions};
    fail_lost_requests(run, random);
    if (reader.wants_watch && now >= reader.next_check) {
        reader.wants_read = true;
        reader.next_check = store::choose_next_check(check_interval, now, random);
    }
    send_due_requests(run);
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
    send_due_requests(run);
    return true;
}

} // namespace cyclamenhatch::feed

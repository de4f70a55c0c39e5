#include "store/head_reader.h"

#include "model/digest.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cyclamenhatch::store {
namespace {

/// A response that takes longer than this is taken as lost.
constexpr seconds response_limit{10};
/// How often the head is read although a watch is open.
constexpr milliseconds check_interval{10'000};
/// Stands for the version of a head that cannot be read: newer than all that is held.
constexpr config_version unreadable_version{std::numeric_limits<std::uint64_t>::max()};
constexpr backoff_limits failure_backoff{milliseconds{200}, milliseconds{5000}};

/// One step of the reader with all that it needs.
struct reader_run {
    head_reader& reader;
    instant now;
    reader_actions& actions;
};

std::uint64_t send_request(reader_run& run, kv_operation operation) {
    const auto id = run.reader.next_request++;
    run.actions.requests.push_back({id, std::move(operation)});
    return id;
}

/// Reports a completely read head.
void settle(reader_run& run) {
    auto& reader = run.reader;
    auto fetch = std::move(*reader.fetch);
    reader.fetch.reset();
    reader.opened.clear();
    reader.settled = reader.fetched;
    auto built = build_snapshot(fetch.head.version, list_sections(fetch.have),
                                std::move(fetch.head.operations));
    if (auto* found = std::get_if<snapshot_ptr>(&built)) {
        run.actions.found = std::move(*found);
        return;
    }
    run.actions.rejected = fetch.head.version;
    run.actions.rejected_for = std::get<findings>(std::move(built));
}

void reject(reader_run& run, const known_head& head, findings found) {
    run.reader.settled = head;
    run.reader.fetch.reset();
    run.actions.rejected = head.version;
    run.actions.rejected_for = std::move(found);
}

bool is_held(const head_reader& reader, const stored_head& head) {
    return reader.held && reader.held->version == head.version &&
           names_sections(head, reader.held->sections);
}

bool is_settled(const head_reader& reader, const digest_id& head) {
    return reader.settled && reader.settled->digest == head;
}

/// Begins to complete a head, keeping the sections that were opened for an earlier one.
void take_head(reader_run& run, stored_head head, known_head known, std::int64_t mod_revision) {
    auto& reader = run.reader;
    if (reader.fetch && reader.fetch->mod_revision >= mod_revision) {
        return;
    }
    if (is_held(reader, head)) {
        reader.fetch.reset();
        reader.settled = std::move(known);
        return;
    }
    if (reader.fetch) {
        reader.opened.merge(reader.fetch->have);
    }
    reader.section_read = {};
    reader.fetched = std::move(known);
    reader.fetch = begin_fetch(std::move(head), mod_revision,
                               {reader.held ? &reader.held->sections : nullptr, &reader.opened});
    if (reader.fetch->missing.empty()) {
        settle(run);
    }
}

/// Takes a head that was read or reported; an absent one stands for version 0.
void take_entry(reader_run& run, const kv_entry& entry) {
    const auto digest = compute_digest(entry.value);
    if (is_settled(run.reader, digest)) {
        return;
    }
    if (entry.value.empty()) {
        take_head(run, {}, {digest, {}}, entry.mod_revision);
        return;
    }
    auto decoded = decode_head(entry.value);
    if (auto* found = std::get_if<findings>(&decoded)) {
        reject(run, {digest, unreadable_version}, std::move(*found));
        return;
    }
    auto& head = std::get<stored_head>(decoded);
    const auto version = head.version;
    take_head(run, std::move(head), {digest, version}, entry.mod_revision);
}

void close_watch(reader_run& run) {
    auto& reader = run.reader;
    if (reader.watch.id != 0) {
        send_request(run, kv_watch_cancel{reader.watch.id});
    }
    reader.watch = {};
    reader.is_watching = false;
}

/// Whether an open watch should have reported a head by the time that a read was sent.
bool has_watch_missed(const head_reader& reader, std::int64_t mod_revision) {
    return reader.is_watching && reader.watch.sent < reader.head_read.sent &&
           mod_revision >= reader.watch_from;
}

/// After a read the next watch starts behind it.
void on_head_read(reader_run& run, const kv_entries& read) {
    auto& reader = run.reader;
    const auto entry = read.entries.empty() ? kv_entry{} : read.entries.front();
    const bool is_behind = read.revision + 1 < reader.watch_from;
    if (is_behind || has_watch_missed(reader, entry.mod_revision)) {
        close_watch(run);
    }
    reader.head_read = {};
    if (is_behind) {
        // An answer that was overtaken, or a restored backup: the next read tells which.
        reader.watch_from = 0;
        reader.wants_read = true;
        return;
    }
    if (!reader.is_watching) {
        reader.watch_from = read.revision + 1;
    }
    take_entry(run, entry);
    const bool is_known = is_settled(reader, compute_digest(entry.value)) && !run.actions.found;
    if (is_known && reader.held && reader.held->version >= reader.settled->version) {
        run.actions.is_current = true;
        run.actions.found = reader.held;
    }
}

void on_sections_read(reader_run& run, const kv_entries& read) {
    auto& reader = run.reader;
    reader.section_read = {};
    if (!reader.fetch) {
        return;
    }
    auto found = absorb(*reader.fetch, reader.prefix, read.entries);
    if (!found.empty()) {
        reject(run, reader.fetched, std::move(found));
    } else if (reader.fetch->missing.empty()) {
        settle(run);
    } else {
        // A newer head has replaced what is missing.
        reader.opened.merge(reader.fetch->have);
        reader.fetch.reset();
        reader.wants_read = true;
    }
}

void on_watched(reader_run& run, const kv_changes& changes) {
    auto& reader = run.reader;
    reader.watch_from = std::max(reader.watch_from, changes.revision + 1);
    for (const auto& each : changes.changes) {
        if (each.entry.key != head_key(reader.prefix)) {
            continue;
        }
        if (each.is_delete) {
            reader.wants_read = true;
        } else {
            take_entry(run, each.entry);
        }
    }
}

void on_failure(reader_run& run, std::uint64_t id, const kv_failure& failure,
                random_source& random) {
    auto& reader = run.reader;
    if (id == reader.watch.id) {
        reader.watch = {};
        reader.is_watching = false;
        if (failure.kind == kv_failure_kind::compacted) {
            reader.watch_from = 0;
            reader.wants_read = true;
            return;
        }
    } else if (id == reader.head_read.id) {
        reader.head_read = {};
        reader.wants_read = true;
    } else {
        reader.section_read = {};
    }
    note_failure(reader.service, failure_backoff, run.now, random);
}

void give_up_lost(reader_run& run, random_source& random) {
    for (const auto& request : {run.reader.head_read, run.reader.section_read}) {
        if (is_lost(request, response_limit, run.now)) {
            on_failure(run, request.id, {kv_failure_kind::unknown, "no response"}, random);
        }
    }
}

/// Sends what is wanted and within the rate.
void proceed(reader_run& run) {
    auto& reader = run.reader;
    const auto may_send = [&] {
        return run.now >= reader.service.not_before && try_take(reader.reads, run.now);
    };
    const bool needs_sections = reader.fetch && reader.section_read.id == 0;
    if (needs_sections && may_send()) {
        reader.section_read = {send_request(run, fetch_request(*reader.fetch, reader.prefix)),
                               run.now};
    }
    if (reader.wants_read && reader.head_read.id == 0 && may_send()) {
        reader.wants_read = false;
        reader.head_read = {send_request(run, kv_range{.key = head_key(reader.prefix)}), run.now};
    }
    const bool needs_watch =
        reader.wants_watch && reader.watch.id == 0 && reader.watch_from != 0 && !reader.wants_read;
    if (needs_watch && may_send()) {
        reader.watch = {send_request(run, kv_watch{.key = head_key(reader.prefix),
                                                   .from_revision = reader.watch_from}),
                        run.now};
        reader.is_watching = true;
    }
}

} // namespace

head_reader make_head_reader(std::string prefix, std::uint32_t reads_per_s, instant now) {
    head_reader reader;
    reader.prefix = std::move(prefix);
    reader.reads = make_token_bucket(reads_per_s, now);
    return reader;
}

void set_watching(head_reader& reader, bool wanted, instant now, reader_actions& actions) {
    if (reader.wants_watch == wanted) {
        return;
    }
    reader_run run{reader, now, actions};
    reader.wants_watch = wanted;
    if (!wanted) {
        close_watch(run);
        return;
    }
    reader.watch_from = 0;
    reader.service.failures = 0;
    reader.wants_read = true;
    reader.next_check = now + check_interval;
    proceed(run);
}

void refresh(head_reader& reader, instant now, reader_actions& actions) {
    // A read under way may have been answered from before the pause; one more follows it.
    reader_run run{reader, now, actions};
    reader.wants_read = true;
    proceed(run);
}

void on_held(head_reader& reader, const snapshot_ptr& held) {
    if (held) {
        reader.held = held;
    }
}

void on_tick(head_reader& reader, instant now, random_source& random, reader_actions& actions) {
    reader_run run{reader, now, actions};
    give_up_lost(run, random);
    if (reader.wants_watch && now >= reader.next_check) {
        reader.wants_read = true;
        reader.next_check = choose_next_check(check_interval, now, random);
    }
    proceed(run);
}

bool on_response(head_reader& reader, const kv_response& response, instant now,
                 random_source& random, reader_actions& actions) {
    if (!is_issued_from(reader_request_base, response.id)) {
        return false;
    }
    const bool is_expected = response.id == reader.head_read.id ||
                             response.id == reader.section_read.id ||
                             response.id == reader.watch.id;
    if (!is_expected) {
        return true;
    }
    reader_run run{reader, now, actions};
    if (const auto* failure = std::get_if<kv_failure>(&response.outcome)) {
        on_failure(run, response.id, *failure, random);
    } else if (const auto* changes = std::get_if<kv_changes>(&response.outcome)) {
        note_success(reader.service);
        on_watched(run, *changes);
    } else if (const auto* read = std::get_if<kv_entries>(&response.outcome)) {
        note_success(reader.service);
        if (response.id == reader.head_read.id) {
            on_head_read(run, *read);
        } else {
            on_sections_read(run, *read);
        }
    }
    proceed(run);
    return true;
}

} // namespace cyclamenhatch::store

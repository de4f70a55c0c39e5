#include "store/head_reader.h"

#include "model/digest.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace cyclamenhatch::store {
namespace {

/// A response that takes longer than this counts as lost.
constexpr seconds response_limit{10};
/// Interval at which the head is read in addition to the watch.
constexpr milliseconds check_interval{10'000};
/// Reported as the version of a head that cannot be decoded; newer than any real version.
constexpr config_version unreadable_version{std::numeric_limits<std::uint64_t>::max()};
constexpr backoff_limits failure_backoff{milliseconds{200}, milliseconds{5000}};

/// The arguments of one call of the reader, passed to its internal functions.
struct reader_context {
    head_reader& reader;
    instant now;
    reader_actions& actions;
};

std::uint64_t send_request(reader_context& context, kv_operation operation) {
    const auto id = context.reader.next_request++;
    context.actions.requests.push_back({id, std::move(operation)});
    return id;
}

/// Builds the configuration of a completely read head and reports it or its rejection.
void finish_fetch(reader_context& context) {
    auto& reader = context.reader;
    auto fetch = std::move(*reader.fetch);
    reader.fetch.reset();
    reader.reusable_sections.clear();
    reader.processed_head = reader.fetch_identity;
    auto built = build_snapshot(fetch.head.version, list_sections(fetch.available),
                                std::move(fetch.head.operations));
    if (auto* snapshot = std::get_if<snapshot_ptr>(&built)) {
        context.actions.snapshot = std::move(*snapshot);
        return;
    }
    context.actions.rejected_version = fetch.head.version;
    context.actions.rejection_reasons = std::get<findings>(std::move(built));
}

void reject(reader_context& context, const head_identity& identity, findings problems) {
    context.reader.processed_head = identity;
    context.reader.fetch.reset();
    context.actions.rejected_version = identity.version;
    context.actions.rejection_reasons = std::move(problems);
}

bool is_local(const head_reader& reader, const stored_head& head) {
    return reader.local_snapshot && reader.local_snapshot->version == head.version &&
           matches_sections(head, reader.local_snapshot->sections);
}

bool is_processed(const head_reader& reader, const digest_id& head) {
    return reader.processed_head && reader.processed_head->digest == head;
}

/// Starts to fetch the sections of a head; reuses those fetched for an earlier one.
void start_fetch(reader_context& context, stored_head head, head_identity identity,
                 std::int64_t mod_revision) {
    auto& reader = context.reader;
    if (reader.fetch && reader.fetch->mod_revision >= mod_revision) {
        return;
    }
    if (is_local(reader, head)) {
        reader.fetch.reset();
        reader.processed_head = std::move(identity);
        return;
    }
    if (reader.fetch) {
        reader.reusable_sections.merge(reader.fetch->available);
    }
    reader.section_read = {};
    reader.fetch_identity = std::move(identity);
    reader.fetch = begin_fetch(std::move(head), mod_revision,
                               {reader.local_snapshot ? &reader.local_snapshot->sections : nullptr,
                                &reader.reusable_sections});
    if (reader.fetch->missing.empty()) {
        finish_fetch(context);
    }
}

/// Processes a head that was read or reported by the watch; an absent head counts as version 0.
void process_head(reader_context& context, const kv_entry& entry) {
    const auto digest = compute_digest(entry.value);
    if (is_processed(context.reader, digest)) {
        return;
    }
    if (entry.value.empty()) {
        start_fetch(context, {}, {digest, {}}, entry.mod_revision);
        return;
    }
    auto decoded = decode_head(entry.value);
    if (auto* problems = std::get_if<findings>(&decoded)) {
        reject(context, {digest, unreadable_version}, std::move(*problems));
        return;
    }
    auto& head = std::get<stored_head>(decoded);
    const auto version = head.version;
    start_fetch(context, std::move(head), {digest, version}, entry.mod_revision);
}

void close_watch(reader_context& context) {
    auto& reader = context.reader;
    if (reader.watch.id != 0) {
        send_request(context, kv_watch_cancel{reader.watch.id});
    }
    reader.watch = {};
    reader.is_watching = false;
}

/// Whether the open watch should have reported the head that a read returned, since the watch was
/// opened before the read was sent.
bool has_watch_missed_head(const head_reader& reader, std::int64_t mod_revision) {
    return reader.is_watching && reader.watch.sent_at < reader.head_read.sent_at &&
           mod_revision >= reader.next_watch_revision;
}

/// Processes a read head. The next watch starts at the revision after the read.
void on_head_read(reader_context& context, const kv_entries& read) {
    auto& reader = context.reader;
    const auto entry = read.entries.empty() ? kv_entry{} : read.entries.front();
    const bool is_behind = read.revision + 1 < reader.next_watch_revision;
    if (is_behind || has_watch_missed_head(reader, entry.mod_revision)) {
        close_watch(context);
    }
    reader.head_read = {};
    if (is_behind) {
        // The answer was overtaken by a newer one, or a backup was restored: another read tells
        // which.
        reader.next_watch_revision = 0;
        reader.wants_read = true;
        return;
    }
    if (!reader.is_watching) {
        reader.next_watch_revision = read.revision + 1;
    }
    process_head(context, entry);
    const bool is_known =
        is_processed(reader, compute_digest(entry.value)) && !context.actions.snapshot;
    if (is_known && reader.local_snapshot &&
        reader.local_snapshot->version >= reader.processed_head->version) {
        context.actions.is_current = true;
        context.actions.snapshot = reader.local_snapshot;
    }
}

void on_sections_read(reader_context& context, const kv_entries& read) {
    auto& reader = context.reader;
    reader.section_read = {};
    if (!reader.fetch) {
        return;
    }
    auto problems = add_fetched_sections(*reader.fetch, reader.prefix, read.entries);
    if (!problems.empty()) {
        reject(context, reader.fetch_identity, std::move(problems));
    } else if (reader.fetch->missing.empty()) {
        finish_fetch(context);
    } else {
        // The write of a newer head has deleted the missing sections.
        reader.reusable_sections.merge(reader.fetch->available);
        reader.fetch.reset();
        reader.wants_read = true;
    }
}

void on_watched(reader_context& context, const kv_changes& changes) {
    auto& reader = context.reader;
    reader.next_watch_revision = std::max(reader.next_watch_revision, changes.revision + 1);
    for (const auto& change : changes.changes) {
        if (change.entry.key != head_key(reader.prefix)) {
            continue;
        }
        if (change.is_delete) {
            reader.wants_read = true;
        } else {
            process_head(context, change.entry);
        }
    }
}

void on_failure(reader_context& context, std::uint64_t id, const kv_failure& failure,
                random_source& random) {
    auto& reader = context.reader;
    if (id == reader.watch.id) {
        reader.watch = {};
        reader.is_watching = false;
        if (failure.kind == kv_failure_kind::compacted) {
            reader.next_watch_revision = 0;
            reader.wants_read = true;
            return;
        }
    } else if (id == reader.head_read.id) {
        reader.head_read = {};
        reader.wants_read = true;
    } else {
        reader.section_read = {};
    }
    note_failure(reader.service, failure_backoff, context.now, random);
}

void expire_lost_requests(reader_context& context, random_source& random) {
    for (const auto& request : {context.reader.head_read, context.reader.section_read}) {
        if (is_lost(request, response_limit, context.now)) {
            on_failure(context, request.id, {kv_failure_kind::unknown, "no response"}, random);
        }
    }
}

/// Sends the requests that are due, as far as the rate limit allows.
void proceed(reader_context& context) {
    auto& reader = context.reader;
    const auto may_send = [&] {
        return context.now >= reader.service.not_before && try_take(reader.reads, context.now);
    };
    const bool needs_sections = reader.fetch && reader.section_read.id == 0;
    if (needs_sections && may_send()) {
        reader.section_read = {
            send_request(context, make_fetch_request(*reader.fetch, reader.prefix)), context.now};
    }
    if (reader.wants_read && reader.head_read.id == 0 && may_send()) {
        reader.wants_read = false;
        reader.head_read = {send_request(context, kv_range{.key = head_key(reader.prefix)}),
                            context.now};
    }
    const bool needs_watch = reader.wants_watch && reader.watch.id == 0 &&
                             reader.next_watch_revision != 0 && !reader.wants_read;
    if (needs_watch && may_send()) {
        reader.watch = {
            send_request(context, kv_watch{.key = head_key(reader.prefix),
                                           .from_revision = reader.next_watch_revision}),
            context.now};
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

void set_watching(head_reader& reader, bool should_watch, instant now, reader_actions& actions) {
    if (reader.wants_watch == should_watch) {
        return;
    }
    reader_context context{reader, now, actions};
    reader.wants_watch = should_watch;
    if (!should_watch) {
        close_watch(context);
        return;
    }
    reader.next_watch_revision = 0;
    reader.service.failures = 0;
    reader.wants_read = true;
    reader.next_check = now + check_interval;
    proceed(context);
}

void refresh(head_reader& reader, instant now, reader_actions& actions) {
    // The answer to a read under way may date from before the pause, so another read follows it.
    reader_context context{reader, now, actions};
    reader.wants_read = true;
    proceed(context);
}

void set_local_snapshot(head_reader& reader, const snapshot_ptr& snapshot) {
    if (snapshot) {
        reader.local_snapshot = snapshot;
    }
}

void on_tick(head_reader& reader, instant now, random_source& random, reader_actions& actions) {
    reader_context context{reader, now, actions};
    expire_lost_requests(context, random);
    if (reader.wants_watch && now >= reader.next_check) {
        reader.wants_read = true;
        reader.next_check = choose_next_check(check_interval, now, random);
    }
    proceed(context);
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
    reader_context context{reader, now, actions};
    if (const auto* failure = std::get_if<kv_failure>(&response.outcome)) {
        on_failure(context, response.id, *failure, random);
    } else if (const auto* changes = std::get_if<kv_changes>(&response.outcome)) {
        note_success(reader.service);
        on_watched(context, *changes);
    } else if (const auto* read = std::get_if<kv_entries>(&response.outcome)) {
        note_success(reader.service);
        if (response.id == reader.head_read.id) {
            on_head_read(context, *read);
        } else {
            on_sections_read(context, *read);
        }
    }
    proceed(context);
    return true;
}

} // namespace cyclamenhatch::store

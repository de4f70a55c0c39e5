#include "store/config_writer.h"

#include "store/write_batch.h"
#include "store/writer_replies.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::store {
namespace {

/// A response that takes longer than this counts as lost.
constexpr seconds response_limit{10};
/// Bounds the size of the head, which lists the ids of recent operations.
constexpr std::size_t max_operation_length = 128;
constexpr backoff_limits failure_backoff{milliseconds{100}, milliseconds{2000}};
constexpr backoff_limits race_backoff{milliseconds{20}, milliseconds{1000}};

void note_failure(writer_context& context, const std::string& reason) {
    auto& writer = context.writer;
    writer.step = writer_step::idle;
    writer.last_failure = reason;
    if (++writer.failures == 1) {
        writer.failing_since = context.now;
    }
    writer.not_before =
        context.now + backoff_delay(failure_backoff, writer.failures, context.random);
    if (is_store_unavailable(writer, context.now)) {
        drop_unsent_writes(context);
    }
}

void note_lost_race(writer_context& context) {
    auto& writer = context.writer;
    writer.step = writer_step::idle;
    if (writer.base) {
        writer.base->is_stale = true;
    }
    ++writer.lost_races;
    if (writer.lost_races > 1) {
        writer.not_before =
            context.now + backoff_delay(race_backoff, writer.lost_races, context.random);
    }
}

void send_request(writer_context& context, writer_step step, kv_operation operation) {
    auto& writer = context.writer;
    writer.step = step;
    writer.request = writer.next_request++;
    writer.request_sent = context.now;
    context.actions.requests.push_back({writer.request, std::move(operation)});
}

/// Sends a read when the rate allows; otherwise a later tick tries again.
void send_read(writer_context& context, writer_step step, kv_range range) {
    if (try_take(context.writer.reads, context.now)) {
        send_request(context, step, std::move(range));
    }
}

void report_if_newer(writer_context& context, config_version version, const section_map& sections,
                     const std::vector<operation_id>& operations) {
    if (context.writer.local_snapshot && context.writer.local_snapshot->version >= version) {
        return;
    }
    auto built = build_snapshot(version, list_sections(sections), operations);
    if (auto* snapshot = std::get_if<snapshot_ptr>(&built)) {
        context.writer.local_snapshot = *snapshot;
        context.actions.newer_snapshot = std::move(*snapshot);
    }
}

/// Makes a completely read head the base. When the stored head is older than this node's
/// configuration, as after a restored backup, the base takes the node's configuration, so that no
/// accepted change is reverted.
void establish_base(writer_context& context) {
    auto& writer = context.writer;
    writer.step = writer_step::idle;
    writer.failures = 0;
    writer_base base;
    base.mod_revision = writer.fetch.mod_revision;
    base.head = writer.fetch.head;
    base.version = base.head.version;
    base.sections = std::move(writer.fetch.available);
    base.requested_at = writer.request_sent;
    if (writer.local_snapshot && writer.local_snapshot->version > base.version) {
        base.version = writer.local_snapshot->version;
        base.sections = writer.local_snapshot->sections;
    } else {
        report_if_newer(context, base.version, base.sections, base.head.operations);
    }
    writer.base = std::move(base);
}

void start_swap(writer_context& context, const write_batch& batch) {
    auto& writer = context.writer;
    if (!try_take(writer.writes, context.now)) {
        return;
    }
    auto next = make_next_head(*writer.base, batch, writer.queue);
    auto swap = make_swap(writer.config.prefix, *writer.base, batch.sections, next);
    writer.swap = {next, batch.version, batch.sections, next.operations};
    send_request(context, writer_step::swapping, std::move(swap));
}

void run_batch(writer_context& context) {
    // A batch that the write rate does not allow to be sent now would be formed for nothing.
    if (!has_token(context.writer.writes, context.now)) {
        return;
    }
    auto batch = form_batch(*context.writer.base, context.writer.queue);
    const bool has_work = !batch.included.empty() || batch.needs_fence;
    if (has_work) {
        start_swap(context, batch);
    } else if (batch.needs_fresh_base) {
        context.writer.base->is_stale = true;
    }
    answer_refused(context, std::move(batch.refused));
}

/// Starts the next step when the writer is idle.
void proceed(writer_context& context) {
    auto& writer = context.writer;
    const auto can_start = [&] {
        return writer.step == writer_step::idle && !writer.queue.empty() &&
               context.now >= writer.not_before;
    };
    if (can_start() && writer.base && !writer.base->is_stale) {
        resolve_queue(context);
        run_batch(context);
    }
    if (can_start() && (!writer.base || writer.base->is_stale)) {
        send_read(context, writer_step::reading_head, {.key = head_key(writer.config.prefix)});
    }
}

/// Marks the writes of the swap as unresolved, so that its effect is determined from the next read.
void mark_unresolved(config_writer& writer) {
    for (auto& queued : writer.queue) {
        if (is_in_swap(writer, queued.operation)) {
            queued.unresolved =
                unresolved_swap{writer.base->mod_revision, writer.base->head.version};
        }
    }
    writer.base->is_stale = true;
}

void on_swapped(writer_context& context, std::int64_t revision) {
    auto& writer = context.writer;
    answer_accepted(context);
    writer.step = writer_step::idle;
    writer.failures = 0;
    writer.lost_races = 0;
    report_if_newer(context, writer.swap.version, writer.swap.sections, writer.swap.operations);
    const bool is_superseded =
        writer.local_snapshot && writer.local_snapshot->version > writer.swap.version;
    writer.base = writer_base{.mod_revision = revision,
                              .head = std::move(writer.swap.head),
                              .version = writer.swap.version,
                              .sections = std::move(writer.swap.sections),
                              .requested_at = writer.request_sent,
                              .is_stale = is_superseded};
}

void on_head(writer_context& context, const kv_entries& read) {
    auto& writer = context.writer;
    stored_head head;
    std::int64_t mod_revision = 0;
    if (!read.entries.empty()) {
        auto decoded = decode_head(read.entries.front().value);
        if (const auto* problems = std::get_if<findings>(&decoded)) {
            note_failure(context, to_string(problems->front()));
            return;
        }
        head = std::get<stored_head>(std::move(decoded));
        mod_revision = read.entries.front().mod_revision;
    }
    writer.fetch = begin_fetch(std::move(head), mod_revision,
                               {writer.local_snapshot ? &writer.local_snapshot->sections : nullptr,
                                writer.base ? &writer.base->sections : nullptr});
    if (writer.fetch.missing.empty()) {
        establish_base(context);
        return;
    }
    writer.step = writer_step::reading_sections;
    writer.request = 0;
}

void on_sections(writer_context& context, const kv_entries& read) {
    const auto problems =
        add_fetched_sections(context.writer.fetch, context.writer.config.prefix, read.entries);
    if (!problems.empty()) {
        note_failure(context, to_string(problems.front()));
    } else if (context.writer.fetch.missing.empty()) {
        establish_base(context);
    } else {
        note_lost_race(context);
    }
}

/// Sends the read of missing sections once the rate allows it.
void send_fetch(writer_context& context) {
    auto& writer = context.writer;
    if (writer.step == writer_step::reading_sections && writer.request == 0) {
        const auto sent = writer.request_sent;
        send_read(context, writer_step::reading_sections,
                  make_fetch_request(writer.fetch, writer.config.prefix));
        // The age of the base counts from the read of its head.
        writer.request_sent = sent;
    }
}

void on_failure(writer_context& context, const kv_failure& failure) {
    auto& writer = context.writer;
    if (writer.step == writer_step::swapping) {
        if (failure.kind == kv_failure_kind::not_run) {
            writer.base->is_stale = true;
        } else {
            mark_unresolved(writer);
        }
    }
    note_failure(context, failure.reason);
}

void on_outcome(writer_context& context, const kv_response& response) {
    auto& writer = context.writer;
    if (const auto* failure = std::get_if<kv_failure>(&response.outcome)) {
        on_failure(context, *failure);
    } else if (const auto* read = std::get_if<kv_entries>(&response.outcome)) {
        if (writer.step == writer_step::reading_head) {
            on_head(context, *read);
        } else {
            on_sections(context, *read);
        }
    } else if (const auto* done = std::get_if<kv_transaction_done>(&response.outcome)) {
        if (done->succeeded) {
            on_swapped(context, done->revision);
            return;
        }
        note_lost_race(context);
    }
}

change_refused make_bad_operation_refusal() {
    return {refusal_kind::invalid,
            {{.path = "operation",
              .problem = "the operation id is empty or longer than 128 characters",
              .remedy = "use a unique id, such as a UUID"}}};
}

} // namespace

config_writer make_config_writer(writer_config config, instant now) {
    config_writer writer;
    writer.reads = make_token_bucket(config.reads_per_s, now);
    writer.writes = make_token_bucket(config.writes_per_s, now);
    writer.config = std::move(config);
    return writer;
}

void submit(config_writer& writer, write_request request, instant now, random_source& random,
            writer_actions& actions) {
    writer_context context{writer, now, random, actions};
    const auto duplicate =
        std::find_if(writer.queue.begin(), writer.queue.end(), [&](const queued_write& queued) {
            return queued.operation == request.operation;
        });
    if (duplicate != writer.queue.end()) {
        duplicate->deadlines.push_back(request.deadline);
        return;
    }
    if (request.operation.empty() || request.operation.value.size() > max_operation_length) {
        actions.replies.push_back({request.operation, make_bad_operation_refusal()});
        return;
    }
    // An accepted operation stays accepted, so a stale base can answer too.
    if (const auto version =
            writer.base ? find_accepted(*writer.base, request.operation) : std::nullopt) {
        actions.replies.push_back({request.operation, write_accepted{*version}});
        return;
    }
    if (is_store_unavailable(writer, now) && now < writer.not_before) {
        reply_not_run(context, request.operation,
                      "the store is unavailable: " + writer.last_failure);
        return;
    }
    if (writer.queue.size() >= writer.config.max_queue) {
        reply_not_run(context, request.operation, "the queue of writes is full");
        return;
    }
    const auto unresolved = find_unknown_swap(writer, request.operation);
    writer.queue.push_back({.operation = std::move(request.operation),
                            .requested_change = std::move(request.requested_change),
                            .submitted_at = now,
                            .deadlines = {request.deadline},
                            .unresolved = unresolved});
    proceed(context);
}

void on_tick(config_writer& writer, instant now, random_source& random, writer_actions& actions) {
    writer_context context{writer, now, random, actions};
    const bool is_waiting = writer.step != writer_step::idle && writer.request != 0;
    if (is_waiting && now - writer.request_sent >= response_limit) {
        on_failure(context, {kv_failure_kind::unknown, "no response"});
    }
    expire(context);
    send_fetch(context);
    proceed(context);
}

bool on_response(config_writer& writer, const kv_response& response, instant now,
                 random_source& random, writer_actions& actions) {
    if (!is_issued_from(writer_request_base, response.id)) {
        return false;
    }
    writer_context context{writer, now, random, actions};
    if (writer.step != writer_step::idle && response.id == writer.request) {
        on_outcome(context, response);
        send_fetch(context);
        proceed(context);
    }
    return true;
}

void update_local_snapshot(config_writer& writer, const snapshot_ptr& snapshot) {
    if (!snapshot ||
        (writer.local_snapshot && writer.local_snapshot->version >= snapshot->version)) {
        return;
    }
    writer.local_snapshot = snapshot;
    if (writer.base && snapshot->version > writer.base->version) {
        writer.base->is_stale = true;
    }
}

} // namespace cyclamenhatch::store

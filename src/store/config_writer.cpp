#include "store/config_writer.h"

#include "store/write_batch.h"
#include "store/writer_run.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::store {
namespace {

/// A response that takes longer than this is taken as lost.
constexpr seconds response_limit{10};
/// Operations are remembered in every head, so their ids stay short.
constexpr std::size_t max_operation_length = 128;
constexpr backoff_limits failure_backoff{milliseconds{100}, milliseconds{2000}};
constexpr backoff_limits race_backoff{milliseconds{20}, milliseconds{1000}};
void note_failure(writer_run& run, const std::string& reason) {
    auto& writer = run.writer;
    writer.step = writer_step::idle;
    writer.last_failure = reason;
    if (++writer.failures == 1) {
        writer.failing_since = run.now;
    }
    writer.not_before = run.now + backoff_delay(failure_backoff, writer.failures, run.random);
    if (is_store_away(writer, run.now)) {
        give_back_unsent(run);
    }
}

void note_lost_race(writer_run& run) {
    auto& writer = run.writer;
    writer.step = writer_step::idle;
    if (writer.base) {
        writer.base->is_stale = true;
    }
    ++writer.lost_races;
    if (writer.lost_races > 1) {
        writer.not_before = run.now + backoff_delay(race_backoff, writer.lost_races, run.random);
    }
}

void send_request(writer_run& run, writer_step step, kv_operation operation) {
    auto& writer = run.writer;
    writer.step = step;
    writer.request = writer.next_request++;
    writer.request_sent = run.now;
    run.actions.requests.push_back({writer.request, std::move(operation)});
}

/// Sends a read when the rate allows; otherwise a later tick tries again.
void send_read(writer_run& run, writer_step step, kv_range range) {
    if (try_take(run.writer.reads, run.now)) {
        send_request(run, step, std::move(range));
    }
}

void offer_newer(writer_run& run, config_version version, const section_map& sections,
                 const std::vector<operation_id>& operations) {
    if (run.writer.held && run.writer.held->version >= version) {
        return;
    }
    auto built = build_snapshot(version, list_sections(sections), operations);
    if (auto* newer = std::get_if<snapshot_ptr>(&built)) {
        run.writer.held = *newer;
        run.actions.newer = std::move(*newer);
    }
}

/// Makes a completely read head the base. When the store fell behind what the fleet holds, as after
/// a restored backup, the base is what is held, so that no accepted configuration reverts.
void establish_base(writer_run& run) {
    auto& writer = run.writer;
    writer.step = writer_step::idle;
    writer.failures = 0;
    writer_base base;
    base.mod_revision = writer.fetch.mod_revision;
    base.head = writer.fetch.head;
    base.version = base.head.version;
    base.sections = std::move(writer.fetch.have);
    base.established = writer.request_sent;
    if (writer.held && writer.held->version > base.version) {
        base.version = writer.held->version;
        base.sections = writer.held->sections;
    } else {
        offer_newer(run, base.version, base.sections, base.head.operations);
    }
    writer.base = std::move(base);
}

void start_swap(writer_run& run, const write_batch& batch) {
    auto& writer = run.writer;
    if (!try_take(writer.writes, run.now)) {
        return;
    }
    auto next = make_next_head(*writer.base, batch, writer.queue);
    auto swap = make_swap(writer.config.prefix, *writer.base, batch.sections, next);
    writer.swap = {next, batch.version, batch.sections, next.operations};
    send_request(run, writer_step::swapping, std::move(swap));
}

void run_batch(writer_run& run) {
    // Without a write to spend the batch would only be formed in vain.
    if (!has_token(run.writer.writes, run.now)) {
        return;
    }
    auto batch = form_batch(*run.writer.base, run.writer.queue);
    const bool has_work = !batch.included.empty() || batch.needs_fence;
    if (has_work) {
        start_swap(run, batch);
    } else if (batch.needs_fresh_base) {
        run.writer.base->is_stale = true;
    }
    answer_refused(run, std::move(batch.refused));
}

/// Takes the next step when none is under way.
void proceed(writer_run& run) {
    auto& writer = run.writer;
    const auto can_go = [&] {
        return writer.step == writer_step::idle && !writer.queue.empty() &&
               run.now >= writer.not_before;
    };
    if (can_go() && writer.base && !writer.base->is_stale) {
        resolve_queue(run);
        run_batch(run);
    }
    if (can_go() && (!writer.base || writer.base->is_stale)) {
        send_read(run, writer_step::reading_head, {.key = head_key(writer.config.prefix)});
    }
}

/// Records that the swap's effect has to be read back.
void mark_unresolved(config_writer& writer) {
    for (auto& each : writer.queue) {
        if (is_in_swap(writer, each.operation)) {
            each.unresolved = unresolved_swap{writer.base->mod_revision, writer.base->head.version};
        }
    }
    writer.base->is_stale = true;
}

void on_swapped(writer_run& run, std::int64_t revision) {
    auto& writer = run.writer;
    answer_accepted(run);
    writer.step = writer_step::idle;
    writer.failures = 0;
    writer.lost_races = 0;
    offer_newer(run, writer.swap.version, writer.swap.sections, writer.swap.operations);
    const bool has_moved = writer.held && writer.held->version > writer.swap.version;
    writer.base = writer_base{.mod_revision = revision,
                              .head = std::move(writer.swap.head),
                              .version = writer.swap.version,
                              .sections = std::move(writer.swap.sections),
                              .established = writer.request_sent,
                              .is_stale = has_moved};
}

void on_head(writer_run& run, const kv_entries& read) {
    auto& writer = run.writer;
    stored_head head;
    std::int64_t mod_revision = 0;
    if (!read.entries.empty()) {
        auto decoded = decode_head(read.entries.front().value);
        if (const auto* found = std::get_if<findings>(&decoded)) {
            note_failure(run, to_string(found->front()));
            return;
        }
        head = std::get<stored_head>(std::move(decoded));
        mod_revision = read.entries.front().mod_revision;
    }
    writer.fetch = begin_fetch(std::move(head), mod_revision,
                               {writer.held ? &writer.held->sections : nullptr,
                                writer.base ? &writer.base->sections : nullptr});
    if (writer.fetch.missing.empty()) {
        establish_base(run);
        return;
    }
    writer.step = writer_step::reading_sections;
    writer.request = 0;
}

void on_sections(writer_run& run, const kv_entries& read) {
    const auto found = absorb(run.writer.fetch, run.writer.config.prefix, read.entries);
    if (!found.empty()) {
        note_failure(run, to_string(found.front()));
    } else if (run.writer.fetch.missing.empty()) {
        establish_base(run);
    } else {
        note_lost_race(run);
    }
}

/// Sends the read of missing sections once the rate allows it.
void send_fetch(writer_run& run) {
    auto& writer = run.writer;
    if (writer.step == writer_step::reading_sections && writer.request == 0) {
        const auto sent = writer.request_sent;
        send_read(run, writer_step::reading_sections,
                  fetch_request(writer.fetch, writer.config.prefix));
        // The base is as old as the read of its head.
        writer.request_sent = sent;
    }
}

void on_failure(writer_run& run, const kv_failure& failure) {
    auto& writer = run.writer;
    if (writer.step == writer_step::swapping) {
        if (failure.kind == kv_failure_kind::not_run) {
            writer.base->is_stale = true;
        } else {
            mark_unresolved(writer);
        }
    }
    note_failure(run, failure.reason);
}

void on_outcome(writer_run& run, const kv_response& response) {
    auto& writer = run.writer;
    if (const auto* failure = std::get_if<kv_failure>(&response.outcome)) {
        on_failure(run, *failure);
    } else if (const auto* read = std::get_if<kv_entries>(&response.outcome)) {
        if (writer.step == writer_step::reading_head) {
            on_head(run, *read);
        } else {
            on_sections(run, *read);
        }
    } else if (const auto* done = std::get_if<kv_transaction_done>(&response.outcome)) {
        if (done->succeeded) {
            on_swapped(run, done->revision);
            return;
        }
        note_lost_race(run);
    }
}

change_refused refuse_operation() {
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
    writer_run run{writer, now, random, actions};
    const auto same =
        std::find_if(writer.queue.begin(), writer.queue.end(),
                     [&](const queued_write& each) { return each.operation == request.operation; });
    if (same != writer.queue.end()) {
        same->deadlines.push_back(request.deadline);
        return;
    }
    if (request.operation.empty() || request.operation.value.size() > max_operation_length) {
        actions.replies.push_back({request.operation, refuse_operation()});
        return;
    }
    // What has been accepted stays so, however old the base.
    if (const auto version =
            writer.base ? find_accepted(*writer.base, request.operation) : std::nullopt) {
        actions.replies.push_back({request.operation, write_accepted{*version}});
        return;
    }
    if (is_store_away(writer, now) && now < writer.not_before) {
        give_back(run, request.operation, "the store is away: " + writer.last_failure);
        return;
    }
    if (writer.queue.size() >= writer.config.max_queue) {
        give_back(run, request.operation, "the queue of writes is full");
        return;
    }
    const auto unresolved = find_unknown(writer, request.operation);
    writer.queue.push_back({.operation = std::move(request.operation),
                            .wanted = std::move(request.wanted),
                            .submitted = now,
                            .deadlines = {request.deadline},
                            .unresolved = unresolved});
    proceed(run);
}

void on_tick(config_writer& writer, instant now, random_source& random, writer_actions& actions) {
    writer_run run{writer, now, random, actions};
    const bool is_waiting = writer.step != writer_step::idle && writer.request != 0;
    if (is_waiting && now - writer.request_sent >= response_limit) {
        on_failure(run, {kv_failure_kind::unknown, "no response"});
    }
    expire(run);
    send_fetch(run);
    proceed(run);
}

bool on_response(config_writer& writer, const kv_response& response, instant now,
                 random_source& random, writer_actions& actions) {
    if (!is_issued_from(writer_request_base, response.id)) {
        return false;
    }
    writer_run run{writer, now, random, actions};
    if (writer.step != writer_step::idle && response.id == writer.request) {
        on_outcome(run, response);
        send_fetch(run);
        proceed(run);
    }
    return true;
}

void on_newer(config_writer& writer, const snapshot_ptr& held) {
    if (!held || (writer.held && writer.held->version >= held->version)) {
        return;
    }
    writer.held = held;
    if (writer.base && held->version > writer.base->version) {
        writer.base->is_stale = true;
    }
}

} // namespace cyclamenhatch::store

#include "feed/record_keeper.h"

#include "store/request_budget.h"

#include <utility>

namespace cyclamenhatch::feed {
namespace {

/// A request without a response after this time counts as lost.
constexpr seconds response_limit{3};
constexpr store::backoff_limits failure_backoff{milliseconds{100}, milliseconds{1000}};
constexpr std::int64_t unknown_revision = -1;
/// Longest delay before a record is written again.
constexpr milliseconds rewrite_spread{1000};

bool is_ending(const move_record& record) {
    return record.state != record_state::running;
}

std::string record_key(const record_keeper& keeper, const service_id& service) {
    return keeper.format.records_prefix + service.value;
}

void send(record_keeper& keeper, record_progress& progress, store::kv_operation operation,
          instant now, keeper_actions& actions) {
    progress.request = keeper.next_request++;
    progress.sent_at = now;
    actions.requests.push_back({progress.request, std::move(operation)});
}

void read(record_keeper& keeper, const service_id& service, record_progress& progress, instant now,
          keeper_actions& actions) {
    progress.is_writing = false;
    send(keeper, progress, store::kv_range{.key = record_key(keeper, service)}, now, actions);
}

void write(record_keeper& keeper, const service_id& service, record_progress& progress, instant now,
           keeper_actions& actions) {
    progress.is_writing = true;
    progress.last_sent = progress.desired;
    store::kv_transaction swap;
    swap.compares.push_back({record_key(keeper, service), progress.revision});
    swap.puts.push_back(
        {record_key(keeper, service), keeper.format.write_record(progress.desired), 0});
    send(keeper, progress, std::move(swap), now, actions);
}

void retry(record_progress& progress, instant now, random_source& random) {
    progress.request = 0;
    // This write or another node's may have taken effect: read before the next write.
    progress.revision = unknown_revision;
    ++progress.failures;
    progress.next_attempt = now + store::backoff_delay(failure_backoff, progress.failures, random);
}

void mark_settled(record_progress& progress, const move_record& stored, keeper_actions& actions) {
    progress.is_settled = true;
    if (is_ending(stored)) {
        actions.confirmed_endings.push_back(stored);
    }
}

/// Whether the stored record needs no write: it has the desired state, or it is an ending of the
/// same move, which is never replaced.
bool is_satisfied(const record_progress& progress, const move_record& stored) {
    return stored.move == progress.desired.move &&
           (is_ending(stored) || stored.state == progress.desired.state);
}

void on_read(record_keeper& keeper, record_progress& progress, const store::kv_entries& read,
             keeper_actions& actions) {
    progress.failures = 0;
    progress.revision = read.entries.empty() ? 0 : read.entries.front().mod_revision;
    if (read.entries.empty()) {
        return;
    }
    auto decoded = keeper.format.read_record(read.entries.front().value);
    if (const auto* record = std::get_if<move_record>(&decoded)) {
        if (is_satisfied(progress, *record)) {
            mark_settled(progress, *record, actions);
        }
    }
}

} // namespace

record_keeper make_record_keeper(config_format format) {
    record_keeper keeper;
    keeper.format = std::move(format);
    return keeper;
}

void request_record(record_keeper& keeper, const move_record& desired, instant now) {
    auto& progress = keeper.records[desired.service];
    const bool is_same_move = progress.desired.move == desired.move;
    const bool is_taken_back_first = !progress.is_settled &&
                                     progress.desired.state == record_state::done &&
                                     desired.state == record_state::taken_back;
    const bool is_kept = is_ending(progress.desired) || progress.desired.state == desired.state;
    if (is_same_move && is_kept && !is_taken_back_first) {
        return;
    }
    if (is_same_move && !desired.started_ms) {
        const auto started_ms = progress.desired.started_ms;
        progress.desired = desired;
        progress.desired.started_ms = started_ms;
    } else {
        progress.desired = desired;
    }
    progress.is_settled = false;
    progress.next_attempt = now;
}

bool has_unwritten_success(const record_keeper& keeper, const service_id& service,
                           const move_id& move) {
    const auto it = keeper.records.find(service);
    return it != keeper.records.end() && !it->second.is_settled &&
           it->second.desired.move == move && it->second.desired.state == record_state::done;
}

void on_new_era(record_keeper& keeper, instant now, random_source& random) {
    std::uniform_int_distribution<milliseconds::rep> delay_ms(0, rewrite_spread.count());
    for (auto& [service, progress] : keeper.records) {
        // A request in flight may have taken effect before or after the service came back.
        progress.request = 0;
        progress.revision = unknown_revision;
        progress.is_settled = false;
        progress.next_attempt = now + milliseconds{delay_ms(random)};
    }
}

void on_tick(record_keeper& keeper, instant now, random_source& random, keeper_actions& actions) {
    for (auto& [service, progress] : keeper.records) {
        if (progress.request != 0 && now - progress.sent_at >= response_limit) {
            retry(progress, now, random);
        }
        if (progress.is_settled || progress.request != 0 || now < progress.next_attempt) {
            continue;
        }
        if (progress.revision == unknown_revision) {
            read(keeper, service, progress, now, actions);
        } else {
            write(keeper, service, progress, now, actions);
        }
    }
}

bool on_response(record_keeper& keeper, const store::kv_response& response, instant now,
                 random_source& random, keeper_actions& actions) {
    if (!store::is_issued_from(store::record_request_base, response.id)) {
        return false;
    }
    for (auto& [service, progress] : keeper.records) {
        if (progress.request != response.id) {
            continue;
        }
        if (const auto* done = std::get_if<store::kv_transaction_done>(&response.outcome)) {
            progress.request = 0;
            progress.revision = done->succeeded ? done->revision : unknown_revision;
            progress.failures = 0;
            // An ending that was written is final, whatever is wished since.
            const bool is_final =
                is_ending(progress.last_sent) && progress.last_sent.move == progress.desired.move;
            if (done->succeeded && (is_final || progress.last_sent == progress.desired)) {
                progress.desired = progress.last_sent;
                mark_settled(progress, progress.desired, actions);
            }
        } else if (const auto* entries = std::get_if<store::kv_entries>(&response.outcome)) {
            progress.request = 0;
            on_read(keeper, progress, *entries, actions);
        } else {
            retry(progress, now, random);
        }
        break;
    }
    // Send the next request at once instead of at the next tick.
    on_tick(keeper, now, random, actions);
    return true;
}

} // namespace cyclamenhatch::feed

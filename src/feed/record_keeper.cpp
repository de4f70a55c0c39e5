#include "feed/record_keeper.h"

#include "store/request_budget.h"

#include <utility>

namespace cyclamenhatch::feed {
namespace {

/// A response that takes longer than this is taken as lost.
constexpr seconds response_limit{3};
constexpr store::backoff_limits failure_backoff{milliseconds{100}, milliseconds{1000}};
constexpr std::int64_t never_read = -1;

bool is_ending(const move_record& record) {
    return record.state != record_state::running;
}

std::string key_of(const record_keeper& keeper, const service_id& service) {
    return keeper.words.records_prefix + service.value;
}

void send(record_keeper& keeper, kept_record& of, store::kv_operation operation, instant now,
          keeper_actions& actions) {
    of.request = keeper.next_request++;
    of.sent = now;
    actions.requests.push_back({of.request, std::move(operation)});
}

void read(record_keeper& keeper, const service_id& service, kept_record& of, instant now,
          keeper_actions& actions) {
    of.is_writing = false;
    send(keeper, of, store::kv_range{.key = key_of(keeper, service)}, now, actions);
}

void write(record_keeper& keeper, const service_id& service, kept_record& of, instant now,
           keeper_actions& actions) {
    of.is_writing = true;
    of.written = of.wanted;
    store::kv_transaction swap;
    swap.compares.push_back({key_of(keeper, service), of.revision});
    swap.puts.push_back({key_of(keeper, service), keeper.words.write_record(of.wanted), 0});
    send(keeper, of, std::move(swap), now, actions);
}

void retry(kept_record& of, instant now, random_source& random) {
    of.request = 0;
    // The write may have taken effect, or another's may have: read before the next one.
    of.revision = never_read;
    ++of.failures;
    of.due = now + store::backoff_delay(failure_backoff, of.failures, random);
}

void settle(kept_record& of, const move_record& standing, keeper_actions& actions) {
    of.is_settled = true;
    if (is_ending(standing)) {
        actions.recorded.push_back(standing);
    }
}

/// What stands in the service is as wanted, or an ending of the same move, which no other replaces.
bool is_satisfied(const kept_record& of, const move_record& standing) {
    return standing.move == of.wanted.move &&
           (is_ending(standing) || standing.state == of.wanted.state);
}

void on_read(record_keeper& keeper, kept_record& of, const store::kv_entries& found,
             keeper_actions& actions) {
    of.failures = 0;
    of.revision = found.entries.empty() ? 0 : found.entries.front().mod_revision;
    if (found.entries.empty()) {
        return;
    }
    auto standing = keeper.words.read_record(found.entries.front().value);
    if (const auto* record = std::get_if<move_record>(&standing)) {
        if (is_satisfied(of, *record)) {
            settle(of, *record, actions);
        }
    }
}

} // namespace

record_keeper make_record_keeper(dialect words) {
    record_keeper keeper;
    keeper.words = std::move(words);
    return keeper;
}

void want_record(record_keeper& keeper, const move_record& wanted, instant now) {
    auto& held = keeper.records[wanted.service];
    const bool is_same_move = held.wanted.move == wanted.move;
    if (is_same_move && (is_ending(held.wanted) || held.wanted.state == wanted.state)) {
        return;
    }
    if (is_same_move && !wanted.begun_ms) {
        const auto begun = held.wanted.begun_ms;
        held.wanted = wanted;
        held.wanted.begun_ms = begun;
    } else {
        held.wanted = wanted;
    }
    held.is_settled = false;
    held.due = now;
}

void on_tick(record_keeper& keeper, instant now, random_source& random, keeper_actions& actions) {
    for (auto& [service, each] : keeper.records) {
        if (each.request != 0 && now - each.sent >= response_limit) {
            retry(each, now, random);
        }
        if (each.is_settled || each.request != 0 || now < each.due) {
            continue;
        }
        if (each.revision == never_read) {
            read(keeper, service, each, now, actions);
        } else {
            write(keeper, service, each, now, actions);
        }
    }
}

bool on_response(record_keeper& keeper, const store::kv_response& response, instant now,
                 random_source& random, keeper_actions& actions) {
    if (!store::is_issued_from(store::record_request_base, response.id)) {
        return false;
    }
    for (auto& [service, each] : keeper.records) {
        if (each.request != response.id) {
            continue;
        }
        if (const auto* done = std::get_if<store::kv_transaction_done>(&response.outcome)) {
            each.request = 0;
            each.revision = done->succeeded ? done->revision : never_read;
            each.failures = 0;
            if (done->succeeded && each.written == each.wanted) {
                settle(each, each.wanted, actions);
            }
        } else if (const auto* found = std::get_if<store::kv_entries>(&response.outcome)) {
            each.request = 0;
            on_read(keeper, each, *found, actions);
        } else {
            retry(each, now, random);
        }
        break;
    }
    // The next step follows at once.
    on_tick(keeper, now, random, actions);
    return true;
}

} // namespace cyclamenhatch::feed

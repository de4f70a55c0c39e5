#include "store/contacts.h"

#include "store/head_codec.h"
#include "store/request_budget.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace cyclamenhatch::store {
namespace {

/// A response that takes longer than this is taken as lost.
constexpr seconds response_limit{10};
constexpr milliseconds first_own_backoff{500};
/// The longest wait before another try for the own entry, as a part of its lease: others shall find
/// it again soon after the service has returned.
constexpr int own_backoff_divisor = 2;
constexpr backoff_limits read_backoff{milliseconds{500}, milliseconds{10'000}};
/// How long to wait before looking again when contacts were read but led nowhere.
constexpr milliseconds read_interval{2000};
/// The same when nobody else stood there: others may be starting at this moment.
constexpr milliseconds empty_read_interval{400};
constexpr milliseconds audit_interval{8000};
/// A node that looks for others stands in the store itself when fewer others than this do.
constexpr std::size_t least_others = 2;

/// One step of the keeper with all that it needs.
struct keeper_run {
    contact_keeper& keeper;
    instant now;
    random_source& random;
    contact_actions& actions;
};

std::string encode_address(const peer_address& address) {
    return address.ip + ":" + std::to_string(address.port);
}

bool decode_address(const std::string& text, peer_address& address) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0) {
        return false;
    }
    address.ip = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, address.port);
    return error == std::errc{} && rest == end && address.port != 0;
}

milliseconds jitter(milliseconds full, random_source& random) {
    std::uniform_int_distribution<std::int64_t> part(full.count() * 3 / 4, full.count() * 5 / 4);
    return milliseconds{part(random)};
}

void send_own(keeper_run& run, contact_step step, kv_operation operation) {
    auto& keeper = run.keeper;
    keeper.step = step;
    keeper.own_request = keeper.next_request++;
    keeper.own_sent = run.now;
    run.actions.requests.push_back({keeper.own_request, std::move(operation)});
}

void send_put(keeper_run& run) {
    auto& keeper = run.keeper;
    kv_transaction put;
    put.puts.push_back(
        {contact_key(keeper.prefix, keeper.node), encode_address(keeper.own), keeper.lease});
    send_own(run, contact_step::putting, std::move(put));
}

/// Starts over: the lease is gone, or its state is not known.
void start_over(keeper_run& run) {
    run.keeper.step = contact_step::absent;
    run.keeper.lease = 0;
    run.keeper.own_request = 0;
}

void retry_own(keeper_run& run) {
    auto& keeper = run.keeper;
    ++keeper.own_failures;
    const milliseconds longest = milliseconds{seconds{keeper.lease_s}} / own_backoff_divisor;
    keeper.own_due = run.now + backoff_delay({std::min(first_own_backoff, longest), longest},
                                             keeper.own_failures, run.random);
    keeper.own_request = 0;
    if (keeper.lease == 0) {
        start_over(run);
    }
}

void on_lease(keeper_run& run, const kv_lease& lease) {
    auto& keeper = run.keeper;
    if (lease.ttl == seconds{0}) {
        start_over(run);
        return;
    }
    keeper.lease = lease.lease;
    keeper.own_failures = 0;
    if (keeper.step == contact_step::granting) {
        send_put(run);
        return;
    }
    keeper.step = contact_step::held;
    keeper.own_due = run.now + jitter(milliseconds{lease.ttl} / 3, run.random);
}

void on_put(keeper_run& run) {
    auto& keeper = run.keeper;
    keeper.step = contact_step::held;
    keeper.own_failures = 0;
    keeper.own_due = run.now + jitter(milliseconds{seconds{keeper.lease_s}} / 3, run.random);
}

void on_own_response(keeper_run& run, const kv_response& response) {
    auto& keeper = run.keeper;
    if (std::holds_alternative<kv_failure>(response.outcome)) {
        // A refused put may mean that its lease has lapsed.
        const bool is_put = keeper.step == contact_step::putting;
        retry_own(run);
        if (is_put) {
            start_over(run);
        }
        return;
    }
    keeper.own_request = 0;
    if (keeper.step == contact_step::removing) {
        start_over(run);
    } else if (const auto* lease = std::get_if<kv_lease>(&response.outcome)) {
        on_lease(run, *lease);
    } else {
        on_put(run);
    }
}

void on_read(keeper_run& run, const kv_entries& read) {
    auto& keeper = run.keeper;
    keeper.read_failures = 0;
    for (const auto& each : read.entries) {
        peer_address address;
        if (decode_address(each.value, address) && address != keeper.own) {
            run.actions.found.push_back(std::move(address));
        }
    }
    keeper.others = run.actions.found.size();
    keeper.read_due =
        run.now + jitter(keeper.others == 0U ? empty_read_interval : read_interval, run.random);
    std::shuffle(run.actions.found.begin(), run.actions.found.end(), run.random);
}

void on_read_response(keeper_run& run, const kv_response& response) {
    auto& keeper = run.keeper;
    keeper.read_request = 0;
    if (const auto* read = std::get_if<kv_entries>(&response.outcome)) {
        on_read(run, *read);
        return;
    }
    ++keeper.read_failures;
    keeper.read_due = run.now + backoff_delay(read_backoff, keeper.read_failures, run.random);
}

void attend_own_entry(keeper_run& run, bool has_duty) {
    auto& keeper = run.keeper;
    if (keeper.own_request != 0 || run.now < keeper.own_due) {
        return;
    }
    const bool has_lease = keeper.lease != 0;
    if (!has_duty) {
        if (has_lease) {
            send_own(run, contact_step::removing, kv_lease_revoke{keeper.lease});
        }
        return;
    }
    if (!has_lease) {
        send_own(run, contact_step::granting, kv_lease_grant{seconds{keeper.lease_s}});
    } else {
        send_own(run, contact_step::renewing, kv_lease_keepalive{keeper.lease});
    }
}

void give_up_lost(keeper_run& run) {
    auto& keeper = run.keeper;
    const kv_failure lost{kv_failure_kind::unknown, "no response"};
    if (keeper.own_request != 0 && run.now - keeper.own_sent >= response_limit) {
        on_own_response(run, {keeper.own_request, lost});
    }
    if (keeper.read_request != 0 && run.now - keeper.read_sent >= response_limit) {
        on_read_response(run, {keeper.read_request, lost});
    }
}

} // namespace

contact_keeper make_contact_keeper(std::string prefix, std::string node, peer_address own,
                                   std::uint32_t lease_s, instant now) {
    contact_keeper keeper;
    keeper.prefix = std::move(prefix);
    keeper.node = std::move(node);
    keeper.own = std::move(own);
    keeper.lease_s = std::max<std::uint32_t>(lease_s, 1);
    keeper.own_due = now;
    return keeper;
}

void on_tick(contact_keeper& keeper, bool has_duty, bool needs_contacts, instant now,
             random_source& random, contact_actions& actions, bool audits) {
    keeper_run run{keeper, now, random, actions};
    give_up_lost(run);
    const bool are_few = needs_contacts && keeper.others && *keeper.others < least_others;
    attend_own_entry(run, has_duty || are_few);
    if (!needs_contacts && !audits) {
        return;
    }
    if (!needs_contacts && keeper.read_due) {
        keeper.read_due = std::max(*keeper.read_due, keeper.read_sent + audit_interval);
    }
    if (!keeper.read_due) {
        std::uniform_int_distribution<std::int64_t> wait(0, keeper.first_read_spread.count());
        keeper.read_due = now + milliseconds{wait(random)};
    }
    if (keeper.read_request == 0 && now >= *keeper.read_due) {
        keeper.read_request = keeper.next_request++;
        keeper.read_sent = now;
        actions.requests.push_back(
            {keeper.read_request, kv_range{contact_prefix(keeper.prefix), true}});
    }
}

bool on_response(contact_keeper& keeper, const kv_response& response, instant now,
                 random_source& random, contact_actions& actions) {
    if (!is_issued_from(contact_request_base, response.id)) {
        return false;
    }
    keeper_run run{keeper, now, random, actions};
    if (response.id == keeper.own_request) {
        on_own_response(run, response);
    } else if (response.id == keeper.read_request) {
        on_read_response(run, response);
    }
    return true;
}

void leave(contact_keeper& keeper, contact_actions& actions) {
    if (keeper.lease == 0) {
        return;
    }
    kv_transaction removal;
    removal.deletes.push_back(contact_key(keeper.prefix, keeper.node));
    const kv_lease_revoke revoke{keeper.lease};
    for (kv_operation operation : {kv_operation{std::move(removal)}, kv_operation{revoke}}) {
        actions.requests.push_back({keeper.next_request++, std::move(operation)});
    }
    keeper.lease = 0;
    keeper.step = contact_step::absent;
    keeper.own_request = 0;
}

} // namespace cyclamenhatch::store

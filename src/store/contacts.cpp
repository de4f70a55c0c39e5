#include "store/contacts.h"

#include "messages/address_text.h"
#include "store/head_codec.h"
#include "store/request_budget.h"

#include <algorithm>
#include <map>
#include <utility>

namespace cyclamenhatch::store {
namespace {

/// A response that takes longer than this counts as lost.
constexpr seconds response_limit{10};
constexpr milliseconds first_own_backoff{500};
/// The longest backoff for the own entry is its lease divided by this, so that others find the
/// entry soon after the service has recovered.
constexpr int own_backoff_divisor = 2;
constexpr backoff_limits read_backoff{milliseconds{500}, milliseconds{10'000}};
/// Delay before contacts are read again when those found led to no other node.
constexpr milliseconds read_interval{2000};
/// Delay when the last read showed no other node, since others may just be starting.
constexpr milliseconds empty_read_interval{400};
constexpr milliseconds audit_interval{8000};
/// Longest delay before an entry that the service has lost is published again.
constexpr milliseconds republish_spread{500};
/// The mean time by which first reads precede the longest delay is that delay divided by this.
constexpr double first_delay_divisor = 6;
/// A node that needs contacts publishes its own entry when there are fewer other entries than this.
constexpr std::size_t min_other_entries = 2;
/// Number of entries without an address that are remembered as logged.
constexpr std::size_t max_odd_entries = 16;
/// Maximum number of bytes of a key or value in a log line.
constexpr std::size_t max_logged_text = 100;

/// The arguments of one call of the keeper, passed to its internal functions.
struct keeper_context {
    contact_keeper& keeper;
    instant now;
    random_source& random;
    contact_actions& actions;
};

std::string encode_address(const peer_address& address) {
    return address.ip + ":" + std::to_string(address.port);
}

milliseconds jitter(milliseconds interval, random_source& random) {
    std::uniform_int_distribution<std::int64_t> distribution(interval.count() * 3 / 4,
                                                             interval.count() * 5 / 4);
    return milliseconds{distribution(random)};
}

/// Exponentially distributed, counted backwards from the longest delay: the number of nodes that
/// have read grows by the same factor in equal times, however many nodes start.
milliseconds draw_first_delay(milliseconds longest, random_source& random) {
    const double scale = static_cast<double>(longest.count()) / first_delay_divisor;
    std::exponential_distribution<double> before_longest(1.0);
    const auto delay = static_cast<double>(longest.count()) - scale * before_longest(random);
    return milliseconds{static_cast<std::int64_t>(std::max(delay, 0.0))};
}

void send_own(keeper_context& context, contact_step step, kv_operation operation) {
    auto& keeper = context.keeper;
    keeper.step = step;
    keeper.own_request = keeper.next_request++;
    keeper.own_sent = context.now;
    context.actions.requests.push_back({keeper.own_request, std::move(operation)});
}

void send_put(keeper_context& context) {
    auto& keeper = context.keeper;
    kv_transaction put;
    put.puts.push_back({contact_key(keeper.prefix, keeper.node), encode_address(keeper.own_address),
                        keeper.lease});
    send_own(context, contact_step::putting, std::move(put));
}

/// Forgets the lease, which has lapsed or whose state is not known.
void reset_own_entry(keeper_context& context) {
    context.keeper.step = contact_step::absent;
    context.keeper.lease = 0;
    context.keeper.own_request = 0;
}

void retry_own(keeper_context& context) {
    auto& keeper = context.keeper;
    ++keeper.own_failures;
    const milliseconds longest = milliseconds{seconds{keeper.lease_s}} / own_backoff_divisor;
    keeper.own_due = context.now + backoff_delay({std::min(first_own_backoff, longest), longest},
                                                 keeper.own_failures, context.random);
    keeper.own_request = 0;
    if (keeper.lease == 0) {
        reset_own_entry(context);
    }
}

void on_lease(keeper_context& context, const kv_lease& lease) {
    auto& keeper = context.keeper;
    if (lease.ttl == seconds{0}) {
        reset_own_entry(context);
        return;
    }
    keeper.lease = lease.lease;
    keeper.own_failures = 0;
    if (keeper.step == contact_step::granting) {
        send_put(context);
        return;
    }
    keeper.step = contact_step::published;
    keeper.own_due = context.now + jitter(milliseconds{lease.ttl} / 3, context.random);
}

void on_put(keeper_context& context) {
    auto& keeper = context.keeper;
    keeper.step = contact_step::published;
    keeper.own_failures = 0;
    keeper.own_due =
        context.now + jitter(milliseconds{seconds{keeper.lease_s}} / 3, context.random);
}

void on_own_response(keeper_context& context, const kv_response& response) {
    auto& keeper = context.keeper;
    if (std::holds_alternative<kv_failure>(response.outcome)) {
        // A refused put may mean that its lease has lapsed.
        const bool is_put = keeper.step == contact_step::putting;
        retry_own(context);
        if (is_put) {
            reset_own_entry(context);
        }
        return;
    }
    keeper.own_request = 0;
    if (keeper.step == contact_step::removing) {
        reset_own_entry(context);
    } else if (const auto* lease = std::get_if<kv_lease>(&response.outcome)) {
        on_lease(context, *lease);
    } else {
        on_put(context);
    }
}

/// Logs those odd entries that were not logged at this revision, up to max_odd_entries.
void log_odd_entries(keeper_context& context, const std::vector<const kv_entry*>& odd_entries) {
    std::map<std::string, std::int64_t> logged;
    for (const auto* entry : odd_entries) {
        if (logged.size() == max_odd_entries) {
            break;
        }
        logged.emplace(entry->key, entry->mod_revision);
        const auto known = context.keeper.logged_odd_entries.find(entry->key);
        if (known == context.keeper.logged_odd_entries.end() ||
            known->second != entry->mod_revision) {
            context.actions.logs.push_back({log_level::warning,
                                            "contact_refused",
                                            {{"key", entry->key.substr(0, max_logged_text)},
                                             {"value", entry->value.substr(0, max_logged_text)},
                                             {"bytes", std::to_string(entry->value.size())}}});
        }
    }
    context.keeper.logged_odd_entries = std::move(logged);
}

void on_read(keeper_context& context, const kv_entries& read) {
    auto& keeper = context.keeper;
    keeper.read_failures = 0;
    std::vector<const kv_entry*> odd_entries;
    for (const auto& entry : read.entries) {
        if (is_leave_key(keeper.prefix, entry.key)) {
            continue;
        }
        auto address = parse_address(entry.value);
        if (!address) {
            odd_entries.push_back(&entry);
        } else if (*address != keeper.own_address) {
            context.actions.contacts.push_back(std::move(*address));
        }
    }
    log_odd_entries(context, odd_entries);
    keeper.other_entries = context.actions.contacts.size();
    keeper.read_due =
        context.now +
        jitter(keeper.other_entries == 0U ? empty_read_interval : read_interval, context.random);
    std::shuffle(context.actions.contacts.begin(), context.actions.contacts.end(), context.random);
}

void on_read_response(keeper_context& context, const kv_response& response) {
    auto& keeper = context.keeper;
    keeper.read_request = 0;
    if (const auto* read = std::get_if<kv_entries>(&response.outcome)) {
        on_read(context, *read);
        return;
    }
    ++keeper.read_failures;
    keeper.read_due =
        context.now + backoff_delay(read_backoff, keeper.read_failures, context.random);
}

/// Whether this node finds so few other entries that it publishes its own.
bool lacks_others(const contact_keeper& keeper) {
    return keeper.needs_contacts && keeper.other_entries &&
           *keeper.other_entries < min_other_entries;
}

void update_own_entry(keeper_context& context, bool has_duty) {
    auto& keeper = context.keeper;
    if (keeper.own_request != 0 || context.now < keeper.own_due) {
        return;
    }
    const bool has_lease = keeper.lease != 0;
    if (!has_duty) {
        if (has_lease) {
            send_own(context, contact_step::removing, kv_lease_revoke{keeper.lease});
        }
        return;
    }
    if (!has_lease) {
        send_own(context, contact_step::granting, kv_lease_grant{seconds{keeper.lease_s}});
    } else {
        send_own(context, contact_step::renewing, kv_lease_keepalive{keeper.lease});
    }
}

void expire_lost_requests(keeper_context& context) {
    auto& keeper = context.keeper;
    const kv_failure lost{kv_failure_kind::unknown, "no response"};
    if (keeper.own_request != 0 && context.now - keeper.own_sent >= response_limit) {
        on_own_response(context, {keeper.own_request, lost});
    }
    if (keeper.read_request != 0 && context.now - keeper.read_sent >= response_limit) {
        on_read_response(context, {keeper.read_request, lost});
    }
}

} // namespace

contact_keeper make_contact_keeper(std::string prefix, std::string node, peer_address own_address,
                                   std::uint32_t lease_s, instant now) {
    contact_keeper keeper;
    keeper.prefix = std::move(prefix);
    keeper.node = std::move(node);
    keeper.own_address = std::move(own_address);
    keeper.lease_s = std::max<std::uint32_t>(lease_s, 1);
    keeper.own_due = now;
    return keeper;
}

void on_tick(contact_keeper& keeper, bool has_duty, bool needs_contacts, instant now,
             random_source& random, contact_actions& actions, bool audits) {
    keeper_context context{keeper, now, random, actions};
    expire_lost_requests(context);
    keeper.needs_contacts = needs_contacts;
    update_own_entry(context, has_duty || lacks_others(keeper));
    if (!needs_contacts && !audits) {
        return;
    }
    if (!needs_contacts && keeper.read_due) {
        keeper.read_due = std::max(*keeper.read_due, keeper.read_sent + audit_interval);
    }
    if (!keeper.read_due) {
        keeper.read_due = now + draw_first_delay(keeper.first_read_spread, random);
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
    keeper_context context{keeper, now, random, actions};
    if (response.id == keeper.own_request) {
        on_own_response(context, response);
    } else if (response.id == keeper.read_request) {
        on_read_response(context, response);
        if (lacks_others(keeper)) {
            // At once, so that the nodes that read next find this entry.
            update_own_entry(context, true);
        }
    }
    return true;
}

void on_new_era(contact_keeper& keeper, instant now, random_source& random) {
    contact_actions ignored;
    keeper_context context{keeper, now, random, ignored};
    reset_own_entry(context);
    std::uniform_int_distribution<std::int64_t> delay(0, republish_spread.count());
    keeper.own_due = now + milliseconds{delay(random)};
    keeper.other_entries.reset();
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

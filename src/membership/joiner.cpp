#include "membership/joiner.h"

#include "membership/announced_leave.h"
#include "membership/prober.h"
#include "membership/record_merge.h"
#include "membership/stable_hash.h"
#include "membership/updates.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cyclamenhatch::membership {
namespace {

constexpr std::size_t page_records = 64;
constexpr milliseconds page_timeout{500};
/// The same while no member is known: a contact may not have joined yet when it is first asked.
constexpr milliseconds first_page_timeout{250};
constexpr std::uint64_t page_jitter_ms = 300;
/// Divides the patience of a node that others ask for its table. When all nodes start at once,
/// these join first without a table, so that the others find one instead of joining alone.
constexpr int contact_patience_divisor = 2;
/// Limit of rounds of one sync. Another round follows one that changed more than a fiftieth of the
/// table or got no complete answer.
constexpr int round_limit = 6;
constexpr std::size_t changed_records_divisor = 50;
constexpr milliseconds round_pause{1000};
constexpr std::uint64_t round_jitter_ms = 2000;
constexpr std::uint32_t pages_per_window = 40;
constexpr milliseconds page_window{1000};
/// Parallel requests for the first page, so that one silent contact causes no delay.
constexpr int initial_requests = 2;
constexpr milliseconds rejoin_interval{3000};
constexpr milliseconds isolated_rejoin_interval{1000};
constexpr milliseconds fast_rejoin_interval{200};
constexpr milliseconds fast_rejoin_time{10'000};
constexpr std::uint64_t rejoin_jitter_ms = 500;
constexpr milliseconds audit_interval{5000};
constexpr std::uint64_t audit_jitter_ms = 5000;
constexpr int rechecks_per_tick = 2;

milliseconds jitter(std::uint64_t limit_ms, random_source& random) {
    return milliseconds{static_cast<std::int64_t>(random() % limit_ms)};
}

outgoing make_sync(const table& state, const node_id& receiver, const peer_address& address) {
    msg::member_sync_msg request;
    request.after = state.sync.after;
    request.updates.push_back(std::make_unique<msg::member_record_msg>(state.self));
    return {.to = receiver, .address = address, .message = std::move(request)};
}

/// Asks a random member for the next page, or the next contact if that is preferred or no member is
/// known.
void request_page(table& state, bool prefers_contact, random_source& random,
                  std::vector<outgoing>& sends) {
    const auto members = choose_members(state, 1, random);
    if (!state.contacts.empty() && (members.empty() || prefers_contact)) {
        const auto& contact = state.contacts[state.sync.next_contact++ % state.contacts.size()];
        sends.push_back(make_sync(state, {}, contact));
        return;
    }
    if (!members.empty()) {
        sends.push_back(
            make_sync(state, node_id{members.front()->node}, link_address(*members.front())));
    }
}

void begin_round(table& state, instant now) {
    auto& sync = state.sync;
    sync.is_active = true;
    sync.after = state.self.node;
    sync.has_wrapped = false;
    sync.retry_at = now;
    sync.progress = now;
    sync.changed_records = 0;
    ++sync.rounds;
}

/// Ends a round, and schedules another one if it changed many records or got no complete answer:
/// the members that answered may have had incomplete tables themselves.
void end_round(table& state, bool is_complete, instant now, random_source& random) {
    auto& sync = state.sync;
    sync.is_active = false;
    state.has_joined = true;
    const bool has_many_changes =
        sync.changed_records * changed_records_divisor > state.members.size();
    const bool needs_another_round =
        (has_many_changes || !is_complete) && sync.rounds < round_limit;
    sync.next_round =
        needs_another_round ? now + round_pause + jitter(round_jitter_ms, random) : instant::max();
}

bool is_first_page(const table& state) {
    return !state.sync.has_wrapped && state.sync.after == state.self.node;
}

milliseconds patience(const table& state) {
    const milliseconds patience{state.settings.join_patience_ms};
    if (state.sync.is_asked) {
        return patience / contact_patience_divisor;
    }
    if (state.contacts.empty()) {
        return patience;
    }
    const auto spread = stable_hash(state.self.node) % std::max(1U, state.settings.join_spread_ms);
    return patience + milliseconds{static_cast<std::int64_t>(spread)};
}

void tick_sync(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    auto& sync = state.sync;
    if (!sync.is_active && now >= sync.next_round) {
        begin_round(state, now);
    }
    if (!sync.is_active) {
        return;
    }
    if (now - sync.progress >= patience(state)) {
        end_round(state, false, now, random);
        return;
    }
    if (now < sync.retry_at) {
        return;
    }
    sync.retry_at = now + (state.members.empty() ? first_page_timeout : page_timeout) +
                    jitter(page_jitter_ms, random);
    const bool has_choice = state.contacts.size() > 1 || !state.members.empty();
    const bool asks_contact = is_first_page(state) && !state.has_joined;
    const int requests = is_first_page(state) && has_choice ? initial_requests : 1;
    for (int i = 0; i < requests; ++i) {
        request_page(state, asks_contact && i == 0, random, sends);
    }
}

/// Advances the position to the end of a page. Returns false when the round is complete.
bool advance_round(table& state, const std::string& next) {
    auto& sync = state.sync;
    if (!next.empty()) {
        sync.after = next;
        return !sync.has_wrapped || next < state.self.node;
    }
    const bool was_wrapped = std::exchange(sync.has_wrapped, true);
    sync.after.clear();
    return !was_wrapped;
}

/// Up to one record more than fits a page, with ids after `after` in order of id. Includes this
/// node's own record and those of departed members.
std::vector<const msg::member_record_msg*> records_after(const table& state,
                                                         const std::string& after) {
    std::vector<const msg::member_record_msg*> records;
    bool is_self_placed = state.self.node <= after;
    for (auto it = state.members.upper_bound(node_id{after});
         it != state.members.end() && records.size() <= page_records; ++it) {
        if (!is_self_placed && state.self.node < it->first.value) {
            records.push_back(&state.self);
            is_self_placed = true;
        }
        records.push_back(&it->second.record);
    }
    if (!is_self_placed && records.size() <= page_records) {
        records.push_back(&state.self);
    }
    return records;
}

/// Counts a page request. Returns false when the limit of the current window is exceeded.
bool admit_page_request(table& state, instant now) {
    if (now - state.page_window >= page_window) {
        state.page_window = now;
        state.pages_in_window = 0;
    }
    return ++state.pages_in_window <= pages_per_window;
}

bool is_live_address(const table& state, const peer_address& address) {
    return std::any_of(state.members.begin(), state.members.end(), [&](const auto& other) {
        return is_live(other.second.record) && link_address(other.second.record) == address;
    });
}

void recheck(table& state, std::vector<outgoing>& sends) {
    int remaining = rechecks_per_tick;
    for (auto& [node, other] : state.members) {
        if (!other.wants_recheck) {
            continue;
        }
        other.wants_recheck = false;
        if (!is_live(other.record) || other.must_learn_leave) {
            sends.push_back(make_untracked_probe(state, node));
            --remaining;
        }
        if (remaining == 0) {
            return;
        }
    }
}

/// Reads one page of a random member's table from a random position, to find records that gossip
/// has missed.
void audit(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    if (now < state.next_audit) {
        return;
    }
    state.next_audit = now + audit_interval + jitter(audit_jitter_ms, random);
    const auto chosen = choose_members(state, 2, random);
    if (chosen.size() < 2) {
        return;
    }
    auto request = make_sync(state, node_id{chosen[0]->node}, link_address(*chosen[0]));
    std::get<msg::member_sync_msg>(request.message).after = chosen[1]->node;
    sends.push_back(std::move(request));
}

milliseconds rejoin_wait(const table& state, instant now) {
    if (now < state.fast_rejoin_until) {
        return fast_rejoin_interval;
    }
    const bool is_isolated =
        std::none_of(state.members.begin(), state.members.end(),
                     [](const auto& other) { return is_live(other.second.record); });
    return is_isolated ? isolated_rejoin_interval : rejoin_interval;
}

/// Contacts one random dead member, or one contact that is no live member.
void rejoin(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    if (now < state.next_rejoin) {
        return;
    }
    state.next_rejoin = now + rejoin_wait(state, now) + jitter(rejoin_jitter_ms, random);
    std::vector<node_id> departed;
    for (const auto& [node, other] : state.members) {
        if (other.record.state == msg::liveness::dead) {
            departed.push_back(node);
        }
    }
    std::vector<peer_address> missing;
    for (const auto& contact : state.contacts) {
        if (!is_live_address(state, contact)) {
            missing.push_back(contact);
        }
    }
    const auto candidates = departed.size() + missing.size();
    if (candidates == 0) {
        return;
    }
    const auto chosen = random() % candidates;
    if (chosen < departed.size()) {
        sends.push_back(make_untracked_probe(state, departed[chosen]));
        return;
    }
    sends.push_back(make_sync(state, {}, missing[chosen - departed.size()]));
}

} // namespace

void start_sync(table& state, instant now) {
    state.has_joined = false;
    state.sync.is_asked = false;
    state.sync.rounds = 0;
    begin_round(state, now);
}

void tick_joins(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    tick_sync(state, now, random, sends);
    if (!state.sync.is_active) {
        audit(state, now, random, sends);
        recheck(state, sends);
        rejoin(state, now, random, sends);
    }
}

void note_new_contacts(table& state, instant now) {
    if (state.sync.is_active && state.members.empty()) {
        state.sync.retry_at = now;
        state.sync.progress = now;
    }
}

void answer_sync(table& state, const node_id& sender, const msg::member_sync_msg& request,
                 instant now, std::vector<outgoing>& sends) {
    state.sync.is_asked |= !state.has_joined;
    if (!state.has_joined || !admit_page_request(state, now)) {
        return;
    }
    msg::member_page_msg page;
    page.after = request.after;
    for (const auto* record : records_after(state, request.after)) {
        if (page.records.size() == page_records) {
            page.next = page.records.back()->node;
            break;
        }
        page.records.push_back(std::make_unique<msg::member_record_msg>(*record));
    }
    const auto* requester = find_record(state, sender);
    if (requester != nullptr && is_lasting_leave(requester->upstream.get())) {
        page.records.push_back(std::make_unique<msg::member_record_msg>(*requester));
    }
    sends.push_back({.to = sender,
                     .address = requester == nullptr ? peer_address{} : link_address(*requester),
                     .message = std::move(page)});
}

void merge_page(table& state, const msg::member_page_msg& page, instant now, random_source& random,
                std::vector<outgoing>& sends) {
    std::size_t changed_records = 0;
    for (const auto& record : page.records) {
        changed_records += record && merge_record(state, *record, record_source::page, now) ? 1 : 0;
    }
    auto& sync = state.sync;
    if (!sync.is_active && changed_records * changed_records_divisor > state.members.size()) {
        // A contact that was retried knows members that this node did not: read its whole table.
        sync.rounds = 0;
        begin_round(state, now);
    }
    // An answer to an earlier request does not advance the round.
    if (!sync.is_active || page.after != sync.after) {
        return;
    }
    sync.changed_records += changed_records;
    sync.progress = now;
    if (!advance_round(state, page.next)) {
        end_round(state, true, now, random);
        return;
    }
    sync.retry_at = now + page_timeout + jitter(page_jitter_ms, random);
    request_page(state, false, random, sends);
}

void accelerate_rejoins(table& state, instant now) {
    state.fast_rejoin_until = now + fast_rejoin_time;
    state.next_rejoin = std::min(state.next_rejoin, now + fast_rejoin_interval);
}

} // namespace cyclamenhatch::membership

#include "membership/joiner.h"

#include "membership/prober.h"
#include "membership/record_merge.h"
#include "membership/updates.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace cyclamenhatch::membership {
namespace {

constexpr std::size_t page_records = 64;
constexpr milliseconds page_timeout{500};
constexpr std::uint64_t page_jitter_ms = 300;
/// Silence after which this node counts as joined without anybody's table.
constexpr milliseconds join_patience{2000};
/// Requests that open a sync, so that one silent contact costs no time.
constexpr int opening_requests = 2;
constexpr milliseconds rejoin_interval{3000};
constexpr milliseconds lonely_rejoin_interval{1000};
constexpr milliseconds hurried_rejoin_interval{200};
constexpr milliseconds hurry_time{10'000};
constexpr std::uint64_t rejoin_jitter_ms = 500;
constexpr int rechecks_per_tick = 2;

milliseconds jitter(std::uint64_t limit_ms, random_source& random) {
    return milliseconds{static_cast<std::int64_t>(random() % limit_ms)};
}

outgoing make_sync(const table& state, const node_id& to, const peer_address& address) {
    msg::member_sync_msg request;
    request.after = state.sync.after;
    request.updates.push_back(std::make_unique<msg::member_record_msg>(state.self));
    return {.to = to, .address = address, .message = std::move(request)};
}

/// Asks a random member, or the next contact while few members are known or in every second case.
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

void tick_sync(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    auto& sync = state.sync;
    if (!sync.is_active) {
        return;
    }
    if (now - sync.progress >= join_patience) {
        sync.is_active = false;
        state.has_joined = true;
        return;
    }
    if (now < sync.retry_at) {
        return;
    }
    sync.retry_at = now + page_timeout + jitter(page_jitter_ms, random);
    const bool is_opening = sync.after.empty();
    const bool has_choice = state.contacts.size() > 1 || !state.members.empty();
    for (int i = 0; i < (is_opening && has_choice ? opening_requests : 1); ++i) {
        request_page(state, is_opening && i == 0, random, sends);
    }
}

bool is_live_address(const table& state, const peer_address& address) {
    return std::any_of(state.members.begin(), state.members.end(), [&](const auto& each) {
        return is_live(each.second.record) && link_address(each.second.record) == address;
    });
}

void recheck(table& state, std::vector<outgoing>& sends) {
    int left = rechecks_per_tick;
    for (auto& [node, each] : state.members) {
        if (!each.wants_recheck) {
            continue;
        }
        each.wants_recheck = false;
        if (!is_live(each.record)) {
            sends.push_back(make_free_probe(state, node));
            --left;
        }
        if (left == 0) {
            return;
        }
    }
}

milliseconds rejoin_wait(const table& state, instant now) {
    if (now < state.rejoining_until) {
        return hurried_rejoin_interval;
    }
    const bool is_lonely =
        std::none_of(state.members.begin(), state.members.end(),
                     [](const auto& each) { return is_live(each.second.record); });
    return is_lonely ? lonely_rejoin_interval : rejoin_interval;
}

/// Tries one departed member, or one contact that is no live member.
void rejoin(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    if (now < state.next_rejoin) {
        return;
    }
    state.next_rejoin = now + rejoin_wait(state, now) + jitter(rejoin_jitter_ms, random);
    std::vector<node_id> departed;
    for (const auto& [node, each] : state.members) {
        if (each.record.state == msg::liveness::dead) {
            departed.push_back(node);
        }
    }
    std::vector<peer_address> missing;
    for (const auto& each : state.contacts) {
        if (!is_live_address(state, each)) {
            missing.push_back(each);
        }
    }
    const auto candidates = departed.size() + missing.size();
    if (candidates == 0) {
        return;
    }
    const auto chosen = random() % candidates;
    if (chosen < departed.size()) {
        sends.push_back(make_free_probe(state, departed[chosen]));
        return;
    }
    state.sync.after.clear();
    sends.push_back(make_sync(state, {}, missing[chosen - departed.size()]));
}

} // namespace

void start_sync(table& state, instant now) {
    state.has_joined = false;
    state.sync = {.is_active = true,
                  .retry_at = now,
                  .progress = now,
                  .next_contact = state.sync.next_contact};
}

void tick_joins(table& state, instant now, random_source& random, std::vector<outgoing>& sends) {
    tick_sync(state, now, random, sends);
    if (!state.sync.is_active) {
        recheck(state, sends);
        rejoin(state, now, random, sends);
    }
}

void answer_sync(table& state, const node_id& from, const msg::member_sync_msg& request,
                 std::vector<outgoing>& sends) {
    if (!state.has_joined) {
        return;
    }
    msg::member_page_msg page;
    for (const auto* record : live_records(state)) {
        if (record->node <= request.after) {
            continue;
        }
        if (page.records.size() == page_records) {
            page.next = page.records.back()->node;
            break;
        }
        page.records.push_back(std::make_unique<msg::member_record_msg>(*record));
    }
    const auto* asker = find_record(state, from);
    sends.push_back({.to = from,
                     .address = asker == nullptr ? peer_address{} : link_address(*asker),
                     .message = std::move(page)});
}

void take_page(table& state, const msg::member_page_msg& page, instant now, random_source& random,
               std::vector<outgoing>& sends) {
    bool is_news = false;
    for (const auto& record : page.records) {
        is_news |= record && merge_record(state, *record, record_source::page, now);
    }
    auto& sync = state.sync;
    // A contact that was tried again leads to members that were not known: read on there.
    sync.is_active |= is_news && !page.next.empty();
    if (!sync.is_active || (!page.next.empty() && page.next <= sync.after)) {
        return;
    }
    sync.progress = now;
    if (page.next.empty()) {
        sync.is_active = false;
        sync.after.clear();
        state.has_joined = true;
        return;
    }
    sync.after = page.next;
    sync.retry_at = now + page_timeout + jitter(page_jitter_ms, random);
    request_page(state, false, random, sends);
}

void hurry_rejoins(table& state, instant now) {
    state.rejoining_until = now + hurry_time;
    state.next_rejoin = std::min(state.next_rejoin, now + hurried_rejoin_interval);
}

} // namespace cyclamenhatch::membership

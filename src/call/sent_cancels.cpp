#include "call/sent_cancels.h"

namespace cyclamenhatch::call {
namespace {

/// Time for a lost link to be dialled again before its cancels are repeated.
constexpr microseconds repeat_delay{100'000};
/// A cancel is repeated for this long: a link is closed and replaced within the time after which
/// membership declares its peer dead.
constexpr microseconds repeat_time{3'000'000};
constexpr std::size_t max_cancels = 10'000;

void forget_oldest(sent_cancels& cancels) {
    cancels.by_call.erase(cancels.order.front().second);
    cancels.order.pop_front();
}

void repeat(sent_cancel& cancel, instant now) {
    if (!cancel.repeat_at) {
        cancel.repeat_at = now + repeat_delay;
    }
}

} // namespace

void note_sent(sent_cancels& cancels, const call_id& call, const node_id& node,
               const peer_address& address, instant now) {
    const auto [place, is_new] = cancels.by_call.try_emplace(call, sent_cancel{node, address, {}});
    if (!is_new) {
        return;
    }
    cancels.order.emplace_back(now, call);
    if (cancels.order.size() > max_cancels) {
        forget_oldest(cancels);
    }
}

void note_undelivered(sent_cancels& cancels, const call_id& call, instant now) {
    const auto it = cancels.by_call.find(call);
    if (it != cancels.by_call.end()) {
        repeat(it->second, now);
    }
}

void note_link_lost(sent_cancels& cancels, const node_id& node, instant now) {
    for (auto& [call, cancel] : cancels.by_call) {
        if (cancel.node == node) {
            repeat(cancel, now);
        }
    }
}

std::vector<repeated_cancel> take_due(sent_cancels& cancels, instant now) {
    while (!cancels.order.empty() && cancels.order.front().first + repeat_time <= now) {
        forget_oldest(cancels);
    }
    std::vector<repeated_cancel> due;
    for (auto& [call, cancel] : cancels.by_call) {
        if (cancel.repeat_at && *cancel.repeat_at <= now) {
            cancel.repeat_at.reset();
            due.push_back({call, cancel.node, cancel.address});
        }
    }
    return due;
}

} // namespace cyclamenhatch::call

#include "wire/link_choice.h"

#include "clock/process_clock.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::wire {
namespace {

/// Hands what waits on a link over to another one. Nothing of it was written: that begins with the
/// peer's hello, so it keeps its order before whatever the other link is given later.
void take_queue(link& giver, link& taker) {
    for (auto& frame : giver.queue) {
        giver.queued_bytes -= frame.bytes.size();
        taker.queued_bytes += frame.bytes.size();
        taker.queue.push_back(std::move(frame));
    }
    giver.queue.clear();
    // What the moved messages ask of the giver's health is asked of the taker's.
    taker.times.last_call = std::max(taker.times.last_call, giver.times.last_call);
    taker.times.last_sent = std::max(taker.times.last_sent, giver.times.last_sent);
    taker.times.last_used = std::max(taker.times.last_used, giver.times.last_used);
}

/// Sends what this node has for the peer over this link from now on.
void use_link(link_pool& pool, const link_ptr& used) {
    pool.by_node[used->peer] = used;
    auto& addressed = pool.by_address[used->address];
    if (addressed && addressed != used && !addressed->times.is_established) {
        take_queue(*addressed, *used);
        return;
    }
    addressed = used;
}

/// Whether this link's peer answered it while the link that it was dialled for answered nothing.
bool proves_silence(const link& spare, const link& doubted) {
    return !doubted.is_closed && doubted.peer == spare.peer &&
           is_proof_of_silence(spare.times, doubted.times);
}

} // namespace

link_ptr find_other_link(const link_pool& pool, const link& besides) {
    link_ptr latest;
    for (const auto& each : pool.links) {
        const bool is_other = each.get() != &besides && !each->is_closed &&
                              each->times.is_established && each->peer == besides.peer;
        if (is_other && (!latest || each->times.last_received > latest->times.last_received)) {
            latest = each;
        }
    }
    return latest;
}

void choose_link(const pool_ptr& pool, const link_ptr& established) {
    const bool is_spare = established->is_spare;
    const auto doubted = established->doubted.lock();
    if (doubted && proves_silence(*established, *doubted)) {
        const auto named = pool->by_node.find(doubted->peer);
        if (named != pool->by_node.end() && named->second == doubted) {
            named->second = established;
        }
        close_link(*pool, doubted, {close_cause::replaced, ""});
    }
    const auto named = pool->by_node.find(established->peer);
    if (named == pool->by_node.end() || named->second == established) {
        use_link(*pool, established);
        return;
    }
    take_queue(*established, *named->second);
    start_write(pool, named->second);
    if (is_spare) {
        close_link(*pool, established, {close_cause::spare, ""});
    }
}

void follow_peer(link_pool& pool, const link_ptr& chosen) {
    if (chosen->is_peers_choice) {
        return;
    }
    chosen->is_peers_choice = true;
    const auto open = pool.links; // Closing a link changes the list.
    for (const auto& each : open) {
        if (each == chosen || !each->is_peers_choice || each->peer != chosen->peer) {
            continue;
        }
        const auto named = pool.by_node.find(chosen->peer);
        if (named != pool.by_node.end() && named->second == each) {
            use_link(pool, chosen);
        }
        close_link(pool, each, {close_cause::replaced, ""});
    }
}

} // namespace cyclamenhatch::wire

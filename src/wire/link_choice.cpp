#include "wire/link_choice.h"

#include "clock/process_clock.h"
#include "model/handler_guard.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::wire {
namespace {

/// Moves the queue of a link that isn't established to another link. Nothing in it was written yet,
/// since writing starts at the peer's hello, so the order of messages is kept.
void move_queue(link& source, link& destination) {
    for (auto& frame : source.queue) {
        source.queued_bytes -= frame.bytes.size();
        destination.queued_bytes += frame.bytes.size();
        destination.queue.push_back(std::move(frame));
    }
    source.queue.clear();
    // The destination must now be pinged as the moved messages require.
    destination.times.last_call = std::max(destination.times.last_call, source.times.last_call);
    destination.times.last_sent = std::max(destination.times.last_sent, source.times.last_sent);
    destination.times.last_used = std::max(destination.times.last_used, source.times.last_used);
}

/// Makes this the link that messages to the peer are sent over.
void use_link(link_pool& pool, const link_ptr& peer_link) {
    pool.by_node[peer_link->peer] = peer_link;
    auto& link_at_address = pool.by_address[peer_link->address];
    if (link_at_address && link_at_address != peer_link && !link_at_address->times.is_established) {
        move_queue(*link_at_address, *peer_link);
        return;
    }
    link_at_address = peer_link;
}

/// Whether the spare was answered while the link that it tests showed no sign of life.
bool proves_silence(const link& spare, const link& suspect) {
    return !suspect.is_closed && suspect.peer == spare.peer &&
           is_proof_of_silence(spare.times, suspect.times);
}

} // namespace

link_ptr find_other_link(const link_pool& pool, const link& excluded) {
    link_ptr latest;
    for (const auto& candidate : pool.links) {
        const bool is_usable = candidate.get() != &excluded && !candidate->is_closed &&
                               candidate->times.is_established && candidate->peer == excluded.peer;
        if (is_usable &&
            (!latest || candidate->times.last_received > latest->times.last_received)) {
            latest = candidate;
        }
    }
    return latest;
}

void choose_link(const pool_ptr& pool, const link_ptr& new_link) {
    const shared_state_scope scope;
    const bool is_spare = new_link->is_spare;
    const auto suspect = new_link->suspect.lock();
    if (suspect && proves_silence(*new_link, *suspect)) {
        const auto in_use = pool->by_node.find(suspect->peer);
        if (in_use != pool->by_node.end() && in_use->second == suspect) {
            in_use->second = new_link;
        }
        close_link(*pool, suspect, {close_cause::replaced, ""});
    }
    const auto in_use = pool->by_node.find(new_link->peer);
    if (in_use == pool->by_node.end() || in_use->second == new_link) {
        use_link(*pool, new_link);
        return;
    }
    move_queue(*new_link, *in_use->second);
    start_write(pool, in_use->second);
    if (is_spare) {
        close_link(*pool, new_link, {close_cause::spare, ""});
    }
}

void follow_peer(link_pool& pool, const link_ptr& current) {
    if (current->is_used_by_peer) {
        return;
    }
    const shared_state_scope scope;
    current->is_used_by_peer = true;
    const auto open_links = pool.links; // Closing a link changes the list.
    for (const auto& other : open_links) {
        if (other == current || !other->is_used_by_peer || other->peer != current->peer) {
            continue;
        }
        const auto in_use = pool.by_node.find(current->peer);
        if (in_use != pool.by_node.end() && in_use->second == other) {
            use_link(pool, current);
        }
        close_link(pool, other, {close_cause::replaced, ""});
    }
}

} // namespace cyclamenhatch::wire

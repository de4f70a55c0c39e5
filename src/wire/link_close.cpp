#include "clock/process_clock.h"
#include "model/handler_guard.h"
#include "wire/link_choice.h"
#include "wire/link_pool_state.h"

#include <algorithm>
#include <iterator>
#include <string>
#include <utility>

namespace cyclamenhatch::wire {
namespace {

void remove_link(link_pool& pool, const link_ptr& closed_link) {
    pool.links.erase(std::remove(pool.links.begin(), pool.links.end(), closed_link),
                     pool.links.end());
    const auto in_use = pool.by_node.find(closed_link->peer);
    if (in_use != pool.by_node.end() && in_use->second == closed_link) {
        in_use->second = find_other_link(pool, *closed_link);
        if (!in_use->second) {
            pool.by_node.erase(in_use);
        }
    }
    const auto at_address = pool.by_address.find(closed_link->address);
    const bool is_at_address =
        at_address != pool.by_address.end() && at_address->second == closed_link;
    const auto spare = closed_link->spare.lock();
    if (spare && !spare->is_closed && (is_at_address || at_address == pool.by_address.end())) {
        // Later messages for the peer wait for the dial that is already in progress.
        pool.by_address[closed_link->address] = spare;
    } else if (is_at_address) {
        pool.by_address.erase(at_address);
    }
}

std::string address_of(const link& peer_link) {
    return peer_link.address.ip + ":" + std::to_string(peer_link.address.port);
}

std::string ms_since(instant since, instant now) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(now - since).count());
}

/// Whether links are closed for this cause in normal operation.
bool is_ordinary(close_cause cause) {
    return cause == close_cause::idle || cause == close_cause::spare ||
           cause == close_cause::stopping;
}

} // namespace

void log_link(link_pool& pool, log_level level, const char* name, const link& peer_link,
              const std::string& detail) {
    pool.events.on_log(
        {level,
         name,
         {{"peer", peer_link.peer.value}, {"address", address_of(peer_link)}, {"detail", detail}}});
}

void record_close(link_pool& pool, const link& closed_link, const close_reason& reason) {
    const auto cause = static_cast<std::size_t>(reason.cause);
    pool.counts.links_closed.at(cause).fetch_add(1, std::memory_order_relaxed);
    const auto& times = closed_link.times;
    if (!times.is_established) {
        return;
    }
    const auto now = current_time();
    log_event event{
        is_ordinary(reason.cause) ? log_level::info : log_level::warning,
        "link_closed",
        {{"peer", closed_link.peer.value},
         {"address", address_of(closed_link)},
         {"cause", std::string(cause_name(cause))},
         {"age_ms", ms_since(times.opened, now)},
         {"received_ms", ms_since(std::max(times.last_received, times.opened), now)},
         {"queued_bytes", std::to_string(closed_link.queued_bytes)},
         {"queued_frames", std::to_string(closed_link.urgent.size() + closed_link.queue.size())},
         {"is_dialled", closed_link.is_dialled ? "true" : "false"}}};
    if (times.last_ping > times.last_received) {
        event.fields.push_back({"pinged_ms", ms_since(times.last_ping, now)});
    }
    if (!reason.error.empty()) {
        event.fields.push_back({"error", reason.error});
    }
    pool.events.on_log(std::move(event));
}

void return_undelivered(link_pool& pool, outgoing message) {
    pool.counts.messages_undelivered.fetch_add(1, std::memory_order_relaxed);
    pool.events.on_undelivered(std::move(message));
}

void close_link(link_pool& pool, const link_ptr& peer_link, const close_reason& reason) {
    if (peer_link->is_closed) {
        return;
    }
    const shared_state_scope scope;
    peer_link->is_closed = true;
    record_close(pool, *peer_link, reason);
    boost::system::error_code ignored;
    peer_link->socket.close(ignored);
    remove_link(pool, peer_link);
    auto unsent = std::exchange(peer_link->urgent, {});
    std::erase_if(unsent, [](const queued_frame& frame) {
        return kind_of(frame.message.message) == traffic_kind::link;
    });
    std::move(peer_link->queue.begin(), peer_link->queue.end(), std::back_inserter(unsent));
    peer_link->queue.clear();
    for (auto& frame : unsent) {
        return_undelivered(pool, std::move(frame.message));
    }
    // The peer isn't lost while another link is open, unless calls were lost with this one.
    const bool carried_calls = peer_link->times.last_call != instant{};
    if (peer_link->times.is_established && (carried_calls || !find_other_link(pool, *peer_link))) {
        pool.events.on_link_lost(peer_link->peer);
    }
}

} // namespace cyclamenhatch::wire

#include "clock/process_clock.h"
#include "wire/link_choice.h"
#include "wire/link_pool_state.h"

#include <algorithm>
#include <string>

namespace cyclamenhatch::wire {
namespace {

void forget_link(link_pool& pool, const link_ptr& closed) {
    pool.links.erase(std::remove(pool.links.begin(), pool.links.end(), closed), pool.links.end());
    const auto named = pool.by_node.find(closed->peer);
    if (named != pool.by_node.end() && named->second == closed) {
        named->second = find_other_link(pool, *closed);
        if (!named->second) {
            pool.by_node.erase(named);
        }
    }
    const auto addressed = pool.by_address.find(closed->address);
    const bool is_its_own = addressed != pool.by_address.end() && addressed->second == closed;
    const auto spare = closed->spare.lock();
    if (spare && !spare->is_closed && (is_its_own || addressed == pool.by_address.end())) {
        // What comes for the peer waits for the dial that is under way already.
        pool.by_address[closed->address] = spare;
    } else if (is_its_own) {
        pool.by_address.erase(addressed);
    }
}

std::string address_of(const link& about) {
    return about.address.ip + ":" + std::to_string(about.address.port);
}

std::string ms_since(instant then, instant now) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(now - then).count());
}

/// Ends of links that are part of a calm day.
bool is_ordinary(close_cause cause) {
    return cause == close_cause::idle || cause == close_cause::spare ||
           cause == close_cause::stopping;
}

} // namespace

void log_link(link_pool& pool, log_level level, const char* name, const link& about,
              const std::string& detail) {
    pool.events.on_log(
        {level,
         name,
         {{"peer", about.peer.value}, {"address", address_of(about)}, {"detail", detail}}});
}

void note_closed(link_pool& pool, const link& closed, const closing& why) {
    const auto cause = static_cast<std::size_t>(why.cause);
    pool.counts.links_closed.at(cause).fetch_add(1, std::memory_order_relaxed);
    const auto& times = closed.times;
    if (!times.is_established) {
        return;
    }
    const auto now = current_time();
    log_event event{is_ordinary(why.cause) ? log_level::info : log_level::warning,
                    "link_closed",
                    {{"peer", closed.peer.value},
                     {"address", address_of(closed)},
                     {"cause", std::string(cause_name(cause))},
                     {"age_ms", ms_since(times.opened, now)},
                     {"received_ms", ms_since(std::max(times.last_received, times.opened), now)},
                     {"queued_bytes", std::to_string(closed.queued_bytes)},
                     {"queued_frames", std::to_string(closed.urgent.size() + closed.queue.size())},
                     {"is_dialled", closed.is_dialled ? "true" : "false"}}};
    if (times.last_ping > times.last_received) {
        event.fields.push_back({"pinged_ms", ms_since(times.last_ping, now)});
    }
    if (!why.error.empty()) {
        event.fields.push_back({"error", why.error});
    }
    pool.events.on_log(std::move(event));
}

void return_undelivered(link_pool& pool, outgoing message) {
    pool.counts.messages_undelivered.fetch_add(1, std::memory_order_relaxed);
    pool.events.on_undelivered(std::move(message));
}

void close_link(link_pool& pool, const link_ptr& ended, const closing& why) {
    if (ended->is_closed) {
        return;
    }
    ended->is_closed = true;
    note_closed(pool, *ended, why);
    boost::system::error_code ignored;
    ended->socket.close(ignored);
    forget_link(pool, ended);
    auto unsent = std::move(ended->queue);
    ended->queue.clear();
    for (auto& frame : unsent) {
        return_undelivered(pool, std::move(frame.message));
    }
    // A link that carried no call takes none along, and the peer may be reached over another one.
    const bool carried_calls = ended->times.last_call != instant{};
    if (ended->times.is_established && (carried_calls || !find_other_link(pool, *ended))) {
        pool.events.on_link_lost(ended->peer);
    }
}

} // namespace cyclamenhatch::wire

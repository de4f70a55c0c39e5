#include "wire/link_pool.h"

#include "clock/process_clock.h"
#include "messages/envelope.h"
#include "wire/link_pool_state.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <future>
#include <stdexcept>

namespace cyclamenhatch::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t max_paced_addresses = 4096;
constexpr milliseconds health_interval{100};
constexpr milliseconds flush_timeout{300};

void start_accept(const pool_ptr& pool) {
    pool->acceptor.async_accept([pool](const error_code& error, tcp::socket socket) {
        if (pool->is_stopping) {
            return;
        }
        if (!error) {
            const auto accepted = add_link(*pool);
            accepted->socket = std::move(socket);
            error_code unknown_peer;
            const auto remote = accepted->socket.remote_endpoint(unknown_peer);
            accepted->address.ip = unknown_peer ? "" : remote.address().to_string();
            begin_link(pool, accepted);
        }
        start_accept(pool);
    });
}

/// A link that is being dialled, or null when the address may not be dialled now. Messages are put
/// on it only when its address is entered in by_address.
link_ptr dial(const pool_ptr& pool, const peer_address& address) {
    error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (pool->pacing.size() > max_paced_addresses) {
        pool->pacing.clear();
    }
    if (error || address.port == 0 || !may_dial(pool->pacing[address], current_time())) {
        return nullptr;
    }
    auto dialled = add_link(*pool);
    dialled->is_dialled = true;
    dialled->address = address;
    // Counted as failed until the peer's hello says otherwise.
    on_dial_failed(pool->pacing[address], *pool->settings.link, current_time(), pool->random);
    dialled->socket.async_connect(
        tcp::endpoint(ip, address.port), [pool, dialled](const error_code& failed) {
            if (dialled->is_closed) {
                return;
            }
            if (failed) {
                close_link(*pool, dialled, {close_cause::dial_failed, failed.message()});
                return;
            }
            begin_link(pool, dialled);
        });
    return dialled;
}

/// Finds out by a second link whether the doubted one is silent or its peer is. One at a time.
void dial_spare(const pool_ptr& pool, const link_ptr& doubted) {
    const auto former = doubted->spare.lock();
    if (former && !former->is_closed) {
        return;
    }
    const auto spare = dial(pool, doubted->address);
    if (spare) {
        spare->is_spare = true;
        spare->doubted = doubted;
        doubted->spare = spare;
    }
}

/// The link that this node sends to a peer over, or null.
link_ptr find_used(const link_pool& pool, const node_id& peer) {
    const auto named = pool.by_node.find(peer);
    return named != pool.by_node.end() ? named->second : nullptr;
}

link_ptr find_link(const pool_ptr& pool, const outgoing& message) {
    if (auto used = find_used(*pool, message.to)) {
        return used;
    }
    const auto addressed = pool->by_address.find(message.address);
    if (addressed != pool->by_address.end()) {
        auto used = find_used(*pool, addressed->second->peer);
        return used ? used : addressed->second;
    }
    auto dialled = dial(pool, message.address);
    if (dialled) {
        pool->by_address[message.address] = dialled;
    }
    return dialled;
}

void send_on_thread(const pool_ptr& pool, outgoing message, std::string frame) {
    if (pool->is_stopping) {
        return;
    }
    const auto used = find_link(pool, message);
    if (!used) {
        return_undelivered(*pool, std::move(message));
        return;
    }
    enqueue(pool, used, std::move(message), std::move(frame));
}

void check_link(const pool_ptr& pool, const link_ptr& checked, instant now) {
    const auto step = next_step(checked->times, *pool->settings.link, now);
    switch (step) {
    case link_step::none:
        return;
    case link_step::ping:
        if (checked->times.last_ping <= checked->times.last_received) {
            checked->times.unanswered_since = now;
        }
        checked->times.last_ping = now;
        send_link_message(pool, checked, msg::ping_msg{});
        return;
    case link_step::dial_spare:
        dial_spare(pool, checked);
        return;
    case link_step::close_silent:
        close_link(*pool, checked, {close_cause::silent, ""});
        return;
    case link_step::close_idle:
        close_link(*pool, checked, {close_cause::idle, ""});
        return;
    case link_step::close_unconnected:
        close_link(*pool, checked, {close_cause::unconnected, ""});
        return;
    }
}

void start_health_timer(const pool_ptr& pool) {
    pool->timer.expires_after(health_interval);
    pool->timer.async_wait([pool](const error_code& error) {
        if (error || pool->is_stopping) {
            return;
        }
        check_links(pool, current_time());
        start_health_timer(pool);
    });
}

void listen(link_pool& pool) {
    const auto& own = *pool.settings.listen;
    const tcp::endpoint at(asio::ip::make_address(own.ip), own.link_port);
    pool.acceptor.open(at.protocol());
    pool.acceptor.set_option(tcp::acceptor::reuse_address(true));
    pool.acceptor.bind(at);
    pool.acceptor.listen();
    pool.settings.listen->link_port = pool.acceptor.local_endpoint().port();
}

link_status describe(const link& from, instant now) {
    const auto age = [now](instant then) {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(now - then).count());
    };
    const bool is_heard = from.times.last_received != instant{};
    return {.peer = from.peer,
            .address = from.address,
            .is_established = from.times.is_established,
            .is_dialled = from.is_dialled,
            .age_ms = age(from.times.opened),
            .last_received_ms = is_heard ? age(from.times.last_received) : 0,
            .queued_bytes = from.queued_bytes};
}

std::vector<link_status> list_on_thread(const link_pool& pool, std::size_t limit) {
    std::vector<link_status> found;
    const auto now = current_time();
    for (const auto& each : pool.links) {
        if (found.size() == limit) {
            break;
        }
        found.push_back(describe(*each, now));
    }
    return found;
}

/// Stops the io_context once all queues are empty or the flush timeout has passed.
void stop_when_flushed(const pool_ptr& pool, instant give_up) {
    const bool is_flushed =
        std::all_of(pool->links.begin(), pool->links.end(),
                    [](const link_ptr& each) { return each->queued_bytes == 0; });
    if (is_flushed || current_time() >= give_up) {
        pool->context.stop();
        return;
    }
    pool->timer.expires_after(milliseconds{10});
    pool->timer.async_wait([pool, give_up](const error_code& error) {
        if (!error) {
            stop_when_flushed(pool, give_up);
        }
    });
}

} // namespace

void check_links(const pool_ptr& pool, instant now) {
    const auto checked = pool->links; // Closing a link changes the list.
    for (const auto& each : checked) {
        check_link(pool, each, now);
    }
}

std::shared_ptr<link_pool> open_link_pool(const msg::settings_msg& settings, link_events events,
                                          asio::io_context* shared) {
    auto pool = std::make_shared<link_pool>(settings, std::move(events), shared);
    try {
        listen(*pool);
    } catch (const boost::system::system_error& failed) {
        throw std::runtime_error("cannot listen for links on " + settings.listen->ip + ":" +
                                 std::to_string(settings.listen->link_port) + ": " + failed.what());
    }
    start_accept(pool);
    start_health_timer(pool);
    return pool;
}

std::uint16_t link_port(const link_pool& pool) {
    return pool.settings.listen->link_port;
}

void start(link_pool& pool) {
    if (!pool.own_context) {
        return;
    }
    pool.thread = std::thread([owner = pool.shared_from_this()] { owner->context.run(); });
}

void send(link_pool& pool, outgoing message) {
    // Encoding here keeps that work off the pool's one thread.
    auto frame =
        make_frame(encode_envelope(node_id{pool.settings.identity->node}, message.message));
    if (frame.size() > pool.settings.link->max_frame_bytes + frame_header_bytes) {
        return_undelivered(pool, std::move(message));
        return;
    }
    asio::post(pool.context, [owner = pool.shared_from_this(), message = std::move(message),
                              frame = std::move(frame)]() mutable {
        send_on_thread(owner, std::move(message), std::move(frame));
    });
}

link_counters counters(const link_pool& pool) {
    const auto& from = pool.counts;
    link_counters read{.control_bytes_sent = from.control_bytes_sent,
                       .control_bytes_received = from.control_bytes_received,
                       .call_bytes_sent = from.call_bytes_sent,
                       .call_bytes_received = from.call_bytes_received,
                       .messages_sent = from.messages_sent,
                       .messages_received = from.messages_received,
                       .messages_undelivered = from.messages_undelivered,
                       .links_opened = from.links_opened,
                       .links_refused = from.links_refused,
                       .frames_broken = from.frames_broken};
    std::copy(from.bytes_sent.begin(), from.bytes_sent.end(), read.bytes_sent.begin());
    std::copy(from.links_closed.begin(), from.links_closed.end(), read.links_closed.begin());
    read.links_silent = read.links_closed.at(static_cast<std::size_t>(close_cause::silent));
    return read;
}

std::vector<link_status> list_links(link_pool& pool, std::size_t limit) {
    if (!pool.own_context) {
        return list_on_thread(pool, limit);
    }
    auto listed = std::make_shared<std::promise<std::vector<link_status>>>();
    auto ready = listed->get_future();
    asio::post(pool.context, [owner = pool.shared_from_this(), listed, limit] {
        listed->set_value(list_on_thread(*owner, limit));
    });
    if (ready.wait_for(seconds{1}) != std::future_status::ready) {
        return {};
    }
    return ready.get();
}

void stop(link_pool& pool) {
    if (!pool.own_context) {
        pool.is_stopping = true;
        error_code ignored;
        pool.acceptor.close(ignored);
        pool.timer.cancel();
        const auto open = pool.links; // Closing a link changes the list.
        for (const auto& each : open) {
            close_link(pool, each, {close_cause::stopping, ""});
        }
        return;
    }
    asio::post(pool.context, [owner = pool.shared_from_this()] {
        owner->is_stopping = true;
        error_code ignored;
        owner->acceptor.close(ignored);
        stop_when_flushed(owner, current_time() + flush_timeout);
    });
    if (pool.thread.joinable()) {
        pool.thread.join();
    }
    for (const auto& each : pool.links) {
        note_closed(pool, *each, {close_cause::stopping, ""});
        error_code ignored;
        each->socket.close(ignored);
    }
}

} // namespace cyclamenhatch::wire

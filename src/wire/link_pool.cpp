#include "wire/link_pool.h"

#include "clock/process_clock.h"
#include "messages/envelope.h"
#include "model/handler_guard.h"
#include "wire/link_pool_state.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <cstdlib>
#include <future>
#include <stdexcept>

namespace cyclamenhatch::wire {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

constexpr std::size_t max_backoff_addresses = 4096;
constexpr milliseconds health_interval{100};
constexpr milliseconds flush_timeout{300};

void start_accept(const pool_ptr& pool) {
    pool->acceptor.async_accept([pool](const error_code& error, tcp::socket socket) {
        if (pool->is_stopping) {
            return;
        }
        if (!error) {
            const auto new_link = add_link(*pool);
            new_link->socket = std::move(socket);
            error_code endpoint_error;
            const auto remote = new_link->socket.remote_endpoint(endpoint_error);
            new_link->address.ip = endpoint_error ? "" : remote.address().to_string();
            begin_link(pool, new_link);
        }
        start_accept(pool);
    });
}

/// Dials an address. Returns the new link, or null when the address is invalid or in backoff.
/// Messages are queued on the link only once the caller has entered it in by_address.
link_ptr dial(const pool_ptr& pool, const peer_address& address) {
    error_code error;
    const auto ip = asio::ip::make_address(address.ip, error);
    if (pool->backoffs.size() > max_backoff_addresses) {
        pool->backoffs.clear();
    }
    if (error || address.port == 0 || !may_dial(pool->backoffs[address], current_time())) {
        return nullptr;
    }
    auto new_link = add_link(*pool);
    new_link->is_dialled = true;
    new_link->address = address;
    // Counts as failed until the peer's hello arrives.
    on_dial_failed(pool->backoffs[address], *pool->settings.link, current_time(), pool->random);
    new_link->socket.async_connect(
        tcp::endpoint(ip, address.port), [pool, new_link](const error_code& failure) {
            if (new_link->is_closed) {
                return;
            }
            if (failure) {
                close_link(*pool, new_link, {close_cause::dial_failed, failure.message()});
                return;
            }
            begin_link(pool, new_link);
        });
    return new_link;
}

/// Dials a second link to test whether the suspect one is dead or its peer is silent. Does nothing
/// while an earlier spare of the link is open.
void dial_spare(const pool_ptr& pool, const link_ptr& suspect) {
    const auto previous = suspect->spare.lock();
    if (previous && !previous->is_closed) {
        return;
    }
    const auto spare = dial(pool, suspect->address);
    if (spare) {
        spare->is_spare = true;
        spare->suspect = suspect;
        suspect->spare = spare;
    }
}

/// Returns the link that messages to a peer are sent over, or null.
link_ptr find_link_in_use(const link_pool& pool, const node_id& peer) {
    const auto in_use = pool.by_node.find(peer);
    return in_use != pool.by_node.end() ? in_use->second : nullptr;
}

link_ptr find_link(const pool_ptr& pool, const outgoing& message) {
    if (auto peer_link = find_link_in_use(*pool, message.to)) {
        return peer_link;
    }
    const auto at_address = pool->by_address.find(message.address);
    if (at_address != pool->by_address.end()) {
        auto peer_link = find_link_in_use(*pool, at_address->second->peer);
        return peer_link ? peer_link : at_address->second;
    }
    auto new_link = dial(pool, message.address);
    if (new_link) {
        pool->by_address[message.address] = new_link;
    }
    return new_link;
}

void send_on_thread(const pool_ptr& pool, outgoing message, std::string frame) {
    if (pool->is_stopping) {
        return;
    }
    const auto peer_link = find_link(pool, message);
    if (!peer_link) {
        return_undelivered(*pool, std::move(message));
        return;
    }
    enqueue(pool, peer_link, std::move(message), std::move(frame));
}

void check_link(const pool_ptr& pool, const link_ptr& peer_link, instant now) {
    const auto step = next_step(peer_link->times, *pool->settings.link, now);
    switch (step) {
    case link_step::none:
        return;
    case link_step::ping:
        if (peer_link->times.last_ping <= peer_link->times.last_received) {
            peer_link->times.unanswered_since = now;
        }
        peer_link->times.last_ping = now;
        send_link_message(pool, peer_link, msg::ping_msg{});
        return;
    case link_step::dial_spare:
        dial_spare(pool, peer_link);
        return;
    case link_step::close_silent:
        close_link(*pool, peer_link, {close_cause::silent, ""});
        return;
    case link_step::close_idle:
        close_link(*pool, peer_link, {close_cause::idle, ""});
        return;
    case link_step::close_unconnected:
        close_link(*pool, peer_link, {close_cause::unconnected, ""});
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
    const auto& listen_settings = *pool.settings.listen;
    const tcp::endpoint endpoint(asio::ip::make_address(listen_settings.ip),
                                 listen_settings.link_port);
    pool.acceptor.open(endpoint.protocol());
    pool.acceptor.set_option(tcp::acceptor::reuse_address(true));
    pool.acceptor.bind(endpoint);
    pool.acceptor.listen();
    pool.settings.listen->link_port = pool.acceptor.local_endpoint().port();
}

link_status describe(const link& peer_link, instant now) {
    const auto age = [now](instant since) {
        return static_cast<std::uint64_t>(
            std::chrono::duration_cast<milliseconds>(now - since).count());
    };
    const bool has_received = peer_link.times.last_received != instant{};
    return {.peer = peer_link.peer,
            .address = peer_link.address,
            .is_established = peer_link.times.is_established,
            .is_dialled = peer_link.is_dialled,
            .age_ms = age(peer_link.times.opened),
            .last_received_ms = has_received ? age(peer_link.times.last_received) : 0,
            .queued_bytes = peer_link.queued_bytes};
}

std::vector<link_status> list_on_thread(const link_pool& pool, std::size_t limit) {
    std::vector<link_status> statuses;
    const auto now = current_time();
    for (const auto& peer_link : pool.links) {
        if (statuses.size() == limit) {
            break;
        }
        statuses.push_back(describe(*peer_link, now));
    }
    return statuses;
}

/// Stops the io_context once all queues are empty or the deadline has passed.
void stop_when_flushed(const pool_ptr& pool, instant deadline) {
    const bool is_flushed =
        std::all_of(pool->links.begin(), pool->links.end(),
                    [](const link_ptr& peer_link) { return peer_link->queued_bytes == 0; });
    if (is_flushed || current_time() >= deadline) {
        pool->context.stop();
        return;
    }
    pool->timer.expires_after(milliseconds{10});
    pool->timer.async_wait([pool, deadline](const error_code& error) {
        if (!error) {
            stop_when_flushed(pool, deadline);
        }
    });
}

} // namespace

void check_links(const pool_ptr& pool, instant now) {
    const auto open_links = pool->links; // Closing a link changes the list.
    for (const auto& peer_link : open_links) {
        check_link(pool, peer_link, now);
    }
}

std::shared_ptr<link_pool> open_link_pool(const msg::settings_msg& settings, link_events events,
                                          asio::io_context* shared_context) {
    auto pool = std::make_shared<link_pool>(settings, std::move(events), shared_context);
    try {
        listen(*pool);
    } catch (const boost::system::system_error& failure) {
        throw std::runtime_error("cannot listen for links on " + settings.listen->ip + ":" +
                                 std::to_string(settings.listen->link_port) + ": " +
                                 failure.what());
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
    pool.thread = std::thread([self = pool.shared_from_this()] {
        if (!run_logged([&] { self->context.run(); }, self->events.on_log)) {
            std::abort();
        }
    });
}

void send(link_pool& pool, outgoing message) {
    // Encoded here to keep the work off the pool's only thread.
    auto frame = make_frame(
        encode_envelope(node_id{pool.settings.identity->node}, message.message, time_since_boot()));
    if (frame.size() > pool.settings.link->max_frame_bytes + frame_header_bytes) {
        return_undelivered(pool, std::move(message));
        return;
    }
    asio::post(pool.context, [self = pool.shared_from_this(), message = std::move(message),
                              frame = std::move(frame)]() mutable {
        send_on_thread(self, std::move(message), std::move(frame));
    });
}

link_counters counters(const link_pool& pool) {
    const auto& counts = pool.counts;
    link_counters result{.control_bytes_sent = counts.control_bytes_sent,
                         .control_bytes_received = counts.control_bytes_received,
                         .call_bytes_sent = counts.call_bytes_sent,
                         .call_bytes_received = counts.call_bytes_received,
                         .messages_sent = counts.messages_sent,
                         .messages_received = counts.messages_received,
                         .messages_undelivered = counts.messages_undelivered,
                         .calls_withdrawn = counts.calls_withdrawn,
                         .links_opened = counts.links_opened,
                         .links_refused = counts.links_refused,
                         .frames_broken = counts.frames_broken};
    std::copy(counts.bytes_sent.begin(), counts.bytes_sent.end(), result.bytes_sent.begin());
    std::copy(counts.links_closed.begin(), counts.links_closed.end(), result.links_closed.begin());
    result.links_silent = result.links_closed.at(static_cast<std::size_t>(close_cause::silent));
    return result;
}

std::vector<link_status> list_links(link_pool& pool, std::size_t limit) {
    if (!pool.own_context) {
        return list_on_thread(pool, limit);
    }
    auto promise = std::make_shared<std::promise<std::vector<link_status>>>();
    auto future = promise->get_future();
    asio::post(pool.context, [self = pool.shared_from_this(), promise, limit] {
        promise->set_value(list_on_thread(*self, limit));
    });
    if (future.wait_for(seconds{1}) != std::future_status::ready) {
        return {};
    }
    return future.get();
}

void stop(link_pool& pool) {
    if (!pool.own_context) {
        pool.is_stopping = true;
        error_code ignored;
        pool.acceptor.close(ignored);
        pool.timer.cancel();
        const auto open_links = pool.links; // Closing a link changes the list.
        for (const auto& peer_link : open_links) {
            close_link(pool, peer_link, {close_cause::stopping, ""});
        }
        return;
    }
    asio::post(pool.context, [self = pool.shared_from_this()] {
        self->is_stopping = true;
        error_code ignored;
        self->acceptor.close(ignored);
        stop_when_flushed(self, current_time() + flush_timeout);
    });
    if (pool.thread.joinable()) {
        pool.thread.join();
    }
    for (const auto& peer_link : pool.links) {
        record_close(pool, *peer_link, {close_cause::stopping, ""});
        error_code ignored;
        peer_link->socket.close(ignored);
    }
}

} // namespace cyclamenhatch::wire

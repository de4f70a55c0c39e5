#include "edge/caller_listener.h"

#include "edge/caller_session.h"

#include <boost/asio/dispatch.hpp>

#include <stdexcept>
#include <utility>
#include <vector>

namespace cyclamenhatch::edge {

using asio::ip::tcp;
using boost::system::error_code;

namespace {

void accept_next(const std::shared_ptr<caller_listener>& listener) {
    listener->acceptor.async_accept(
        asio::make_strand(listener->io), [listener](error_code failed, caller_socket socket) {
            if (failed == asio::error::operation_aborted || listener->is_stopping) {
                return;
            }
            if (!failed) {
                error_code ignored;
                socket.set_option(tcp::no_delay(true), ignored);
                const auto on = std::make_shared<caller_session>(listener, std::move(socket));
                asio::dispatch(on->executor, [on] { read_head(on); });
            }
            accept_next(listener);
        });
}

/// Runs a function on each session's strand.
template <class Function> void for_each_session(caller_listener& listener, Function function) {
    std::vector<caller_session_ptr> open;
    {
        const std::lock_guard guard(listener.lock);
        for (auto* each : listener.sessions) {
            if (auto held = each->weak_from_this().lock()) {
                open.push_back(std::move(held));
            }
        }
    }
    for (const auto& each : open) {
        asio::dispatch(each->executor, [each, function] { function(each); });
    }
}

} // namespace

const char* name_of(caller_end cause) {
    switch (cause) {
    case caller_end::left:
        return "caller_left";
    case caller_end::stalled:
        return "caller_stalled";
    case caller_end::closing:
        return "connection_closing";
    case caller_end::bad_request:
        return "bad_request";
    case caller_end::node_stops:
        return "node_stops";
    }
    return "";
}

std::shared_ptr<caller_listener> start_listener(asio::io_context& io, const std::string& ip,
                                                std::uint16_t port, const listener_limits& limits,
                                                listener_events events) {
    auto listener = std::make_shared<caller_listener>(io, limits, std::move(events));
    const auto where = ip + ":" + std::to_string(port);
    try {
        const tcp::endpoint at(asio::ip::make_address(ip), port);
        listener->acceptor.open(at.protocol());
        listener->acceptor.set_option(tcp::acceptor::reuse_address(true));
        listener->acceptor.bind(at);
        listener->acceptor.listen();
    } catch (const boost::system::system_error& failed) {
        throw std::runtime_error("callers' port " + where + ": " + failed.what());
    }
    accept_next(listener);
    return listener;
}

std::uint16_t listening_port(const caller_listener& listener) {
    error_code failed;
    return listener.acceptor.local_endpoint(failed).port();
}

void stop_accepting(caller_listener& listener) {
    if (listener.is_stopping.exchange(true)) {
        return;
    }
    asio::dispatch(listener.acceptor.get_executor(), [&listener] {
        error_code ignored;
        listener.acceptor.close(ignored);
    });
    for_each_session(listener, [](const caller_session_ptr& each) {
        if (each->open.empty()) {
            close_session(each, caller_end::node_stops);
        }
    });
}

void set_limits(caller_listener& listener, const listener_limits& limits) {
    const std::lock_guard guard(listener.lock);
    listener.limits = limits;
}

void begin_drain(caller_listener& listener) {
    listener.is_draining = true;
}

void close_listener(caller_listener& listener) {
    stop_accepting(listener);
    for_each_session(listener, [](const caller_session_ptr& each) {
        close_session(each, caller_end::node_stops);
    });
}

void close_silent(caller_listener& listener) {
    const auto now = std::chrono::steady_clock::now();
    for_each_session(listener, [now](const caller_session_ptr& each) { check_silence(each, now); });
}

std::size_t count_connections(const caller_listener& listener) {
    const std::lock_guard guard(listener.lock);
    return listener.sessions.size();
}

void read_body(const caller_exchange_ptr& exchange, std::function<void(body_piece)> done) {
    asio::dispatch(exchange->owner->executor, [exchange, done = std::move(done)]() mutable {
        if (exchange->is_over) {
            return;
        }
        exchange->on_piece = std::move(done);
        read_piece(exchange->owner, exchange);
    });
}

void start_answer(const caller_exchange_ptr& exchange, answer_head head, body_piece first,
                  std::function<void()> done) {
    asio::dispatch(exchange->owner->executor, [exchange, head = std::move(head),
                                               first = std::move(first),
                                               done = std::move(done)]() mutable {
        if (exchange->is_over || std::exchange(exchange->is_answered, true)) {
            return;
        }
        queue_piece(exchange,
                    {.head = std::move(head), .piece = std::move(first), .done = std::move(done)});
    });
}

void write_body(const caller_exchange_ptr& exchange, body_piece piece, std::function<void()> done) {
    asio::dispatch(exchange->owner->executor, [exchange, piece = std::move(piece),
                                               done = std::move(done)]() mutable {
        if (!exchange->is_over) {
            queue_piece(exchange,
                        {.head = std::nullopt, .piece = std::move(piece), .done = std::move(done)});
        }
    });
}

void break_off(const caller_exchange_ptr& exchange) {
    asio::dispatch(exchange->owner->executor, [exchange] {
        if (!exchange->is_over) {
            break_answer(exchange);
        }
    });
}

} // namespace cyclamenhatch::edge

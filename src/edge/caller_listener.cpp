#include "edge/caller_listener.h"

#include "edge/caller_request.h"
#include "edge/caller_session.h"

#include <boost/asio/dispatch.hpp>

#include <stdexcept>
#include <utility>
#include <vector>

namespace cyclamenhatch::edge {

using asio::ip::tcp;
using boost::system::error_code;

namespace {

void begin_session(const std::shared_ptr<caller_listener>& listener, caller_socket socket) {
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    const auto session = std::make_shared<caller_session>(listener, std::move(socket));
    asio::dispatch(session->executor,
                   [session] { run_handler(session, nullptr, [&] { read_head(session); }); });
}

void accept_next(const std::shared_ptr<caller_listener>& listener) {
    listener->acceptor.async_accept(
        asio::make_strand(listener->io), [listener](error_code error, caller_socket socket) {
            if (error == asio::error::operation_aborted || listener->is_stopping) {
                return;
            }
            if (!error) {
                begin_session(listener, std::move(socket));
            }
            accept_next(listener);
        });
}

/// Runs a function on each session's strand.
template <class Function> void for_each_session(caller_listener& listener, Function function) {
    std::vector<caller_session_ptr> sessions;
    {
        const std::lock_guard guard(listener.lock);
        for (auto* session : listener.sessions) {
            if (auto strong = session->weak_from_this().lock()) {
                sessions.push_back(std::move(strong));
            }
        }
    }
    for (const auto& session : sessions) {
        asio::dispatch(session->executor, [session, function] {
            run_handler(session, nullptr, [&] { function(session); });
        });
    }
}

} // namespace

const char* name_of(disconnect_cause cause) {
    switch (cause) {
    case disconnect_cause::caller_left:
        return "caller_left";
    case disconnect_cause::caller_stalled:
        return "caller_stalled";
    case disconnect_cause::connection_closing:
        return "connection_closing";
    case disconnect_cause::bad_request:
        return "bad_request";
    case disconnect_cause::node_stops:
        return "node_stops";
    case disconnect_cause::handler_failed:
        return "handler_failed";
    }
    return "";
}

std::shared_ptr<caller_listener> start_listener(asio::io_context& io, const std::string& ip,
                                                std::uint16_t port, const listener_limits& limits,
                                                listener_events events) {
    auto listener = std::make_shared<caller_listener>(io, limits, std::move(events));
    const auto address_text = ip + ":" + std::to_string(port);
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
        listener->acceptor.open(endpoint.protocol());
        listener->acceptor.set_option(tcp::acceptor::reuse_address(true));
        listener->acceptor.bind(endpoint);
        listener->acceptor.listen();
    } catch (const boost::system::system_error& error) {
        throw std::runtime_error("callers' port " + address_text + ": " + error.what());
    }
    accept_next(listener);
    return listener;
}

std::uint16_t listening_port(const caller_listener& listener) {
    error_code error;
    return listener.acceptor.local_endpoint(error).port();
}

void stop_accepting(caller_listener& listener) {
    if (listener.is_stopping.exchange(true)) {
        return;
    }
    asio::dispatch(listener.acceptor.get_executor(), [&listener] {
        error_code ignored;
        listener.acceptor.close(ignored);
    });
    for_each_session(listener, [](const caller_session_ptr& session) {
        if (session->open.empty()) {
            close_session(session, disconnect_cause::node_stops);
        }
    });
}

void set_limits(caller_listener& listener, const listener_limits& limits) {
    {
        const std::lock_guard guard(listener.lock);
        if (listener.limits == limits) {
            return;
        }
        listener.limits = limits;
    }
    for_each_session(listener, apply_limits);
}

void begin_drain(caller_listener& listener) {
    listener.is_draining = true;
}

void close_listener(caller_listener& listener) {
    stop_accepting(listener);
    for_each_session(listener, [](const caller_session_ptr& session) {
        close_session(session, disconnect_cause::node_stops);
    });
}

void close_silent(caller_listener& listener) {
    const auto now = std::chrono::steady_clock::now();
    for_each_session(listener,
                     [now](const caller_session_ptr& session) { check_silence(session, now); });
}

std::size_t count_connections(const caller_listener& listener) {
    const std::lock_guard guard(listener.lock);
    return listener.sessions.size();
}

void read_body(const caller_exchange_ptr& exchange, std::function<void(body_piece)> on_done) {
    asio::dispatch(exchange->owner->executor, [exchange, on_done = std::move(on_done)]() mutable {
        if (exchange->is_over) {
            return;
        }
        exchange->on_piece = std::move(on_done);
        run_handler(exchange->owner, exchange, [&] { read_piece(exchange->owner, exchange); });
    });
}

void start_answer(const caller_exchange_ptr& exchange, answer_head head, body_piece first,
                  std::function<void()> on_done) {
    asio::dispatch(exchange->owner->executor,
                   [exchange, head = std::move(head), first = std::move(first),
                    on_done = std::move(on_done)]() mutable {
                       if (exchange->is_over || std::exchange(exchange->is_answered, true)) {
                           return;
                       }
                       run_handler(exchange->owner, exchange, [&] {
                           queue_piece(exchange, {.head = std::move(head),
                                                  .piece = std::move(first),
                                                  .on_done = std::move(on_done)});
                       });
                   });
}

void write_body(const caller_exchange_ptr& exchange, body_piece piece,
                std::function<void()> on_done) {
    asio::dispatch(exchange->owner->executor,
                   [exchange, piece = std::move(piece), on_done = std::move(on_done)]() mutable {
                       if (!exchange->is_over) {
                           run_handler(exchange->owner, exchange, [&] {
                               queue_piece(exchange, {.head = std::nullopt,
                                                      .piece = std::move(piece),
                                                      .on_done = std::move(on_done)});
                           });
                       }
                   });
}

void run_if_caller_waits(const caller_exchange_ptr& exchange, std::function<void()> next) {
    asio::dispatch(exchange->owner->executor, [exchange, next = std::move(next)] {
        if (exchange->is_over) {
            return;
        }
        const auto& session = exchange->owner;
        run_handler(session, exchange, [&] {
            if (has_caller_left(*session)) {
                close_session(session, disconnect_cause::caller_left);
            } else {
                next();
            }
        });
    });
}

void break_off(const caller_exchange_ptr& exchange) {
    asio::dispatch(exchange->owner->executor, [exchange] {
        if (!exchange->is_over) {
            run_handler(exchange->owner, exchange, [&] { break_answer(exchange); });
        }
    });
}

} // namespace cyclamenhatch::edge

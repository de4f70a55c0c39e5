#include "net/http_service.h"

#include "model/handler_guard.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>
#include <stdexcept>
#include <utility>

namespace cyclamenhatch::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

constexpr std::uint64_t max_request_bytes = 65'536;
/// Maximum number of bytes of a request that are read but not parsed yet: fits a head at Beast's
/// limit of 8 KB and one read of 64 KB. Longer chunk framing ends the session.
constexpr std::size_t max_unparsed_bytes = 131'072;
/// A client that sends nothing for this long is disconnected.
constexpr std::chrono::seconds max_silence{60};

struct session;
using session_ptr = std::shared_ptr<session>;

} // namespace

struct http_service : std::enable_shared_from_this<http_service> {
    http_service(asio::io_context& io, deferred_handler request_handler, service_log log_writer)
        : acceptor(io), handler(std::move(request_handler)), log(std::move(log_writer)) {}

    tcp::acceptor acceptor;
    deferred_handler handler;
    service_log log;
    std::set<session_ptr> sessions;
    bool is_stopped = false;
};

namespace {

using service_ptr = std::shared_ptr<http_service>;

struct session {
    explicit session(tcp::socket socket) : stream(std::move(socket)) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    std::optional<http::request_parser<http::string_body>> parser;
    http::response<http::string_body> answer;
};

void end_session(const service_ptr& service, const session_ptr& self) {
    error_code ignored;
    self->stream.socket().close(ignored);
    service->sessions.erase(self);
}

/// Path of the request being handled, without its query; empty when there is none.
std::string path_of(const session& self) {
    const std::string target(self.parser ? self.parser->get().target() : "");
    return target.substr(0, target.find('?'));
}

/// Runs the body of one of the session's handlers; an exception ends the session.
template <class Body>
void run_handler(const service_ptr& service, const session_ptr& self, Body&& body) {
    guard_handler(std::forward<Body>(body), [&](const std::string& reason) {
        if (service->log) {
            service->log(make_handler_failed("http_service", path_of(*self), reason));
        }
        end_session(service, self);
    });
}

void read_next(const service_ptr& service, const session_ptr& self);

void reply(const service_ptr& service, const session_ptr& self, service_answer answer,
           bool keeps_alive) {
    self->answer = {};
    self->answer.version(11);
    self->answer.result(answer.status);
    if (!answer.body.empty()) {
        self->answer.set(http::field::content_type, answer.content_type);
    }
    self->answer.body() = std::move(answer.body);
    self->answer.keep_alive(keeps_alive);
    self->answer.prepare_payload();
    http::async_write(self->stream, self->answer,
                      [service, self, keeps_alive](error_code error, std::size_t /*bytes*/) {
                          if (error || !keeps_alive) {
                              end_session(service, self);
                              return;
                          }
                          run_handler(service, self, [&] { read_next(service, self); });
                      });
}

void on_request(const service_ptr& service, const session_ptr& self, error_code error) {
    if (service->is_stopped) {
        return;
    }
    if (error == http::error::body_limit) {
        reply(service, self, {.status = 413}, false);
        return;
    }
    if (error) {
        end_session(service, self);
        return;
    }
    auto& message = self->parser->get();
    const service_request request{.method = std::string(message.method_string()),
                                  .target = std::string(message.target()),
                                  .body = std::move(message.body())};
    const bool keeps_alive = message.keep_alive();
    service->handler(request, [service, self, keeps_alive](service_answer answer) {
        if (!service->is_stopped && service->sessions.contains(self)) {
            run_handler(service, self,
                        [&] { reply(service, self, std::move(answer), keeps_alive); });
        }
    });
}

void read_next(const service_ptr& service, const session_ptr& self) {
    self->parser.emplace();
    self->parser->body_limit(max_request_bytes);
    self->stream.expires_after(max_silence);
    http::async_read(self->stream, self->buffer, *self->parser,
                     [service, self](error_code error, std::size_t /*bytes*/) {
                         run_handler(service, self, [&] { on_request(service, self, error); });
                     });
}

void accept_next(const service_ptr& service) {
    service->acceptor.async_accept([service](error_code error, tcp::socket socket) {
        if (service->is_stopped) {
            return;
        }
        if (!error) {
            error_code ignored;
            socket.set_option(tcp::no_delay(true), ignored);
            const auto new_session = std::make_shared<session>(std::move(socket));
            service->sessions.insert(new_session);
            run_handler(service, new_session, [&] { read_next(service, new_session); });
        }
        accept_next(service);
    });
}

} // namespace

std::shared_ptr<http_service> start_http_service(asio::io_context& io, const std::string& ip,
                                                 std::uint16_t port, service_handler handler,
                                                 service_log log) {
    return start_http_service(
        io, ip, port,
        deferred_handler([handler = std::move(handler)](const service_request& request,
                                                        const service_reply& reply) {
            reply(handler(request));
        }),
        std::move(log));
}

std::shared_ptr<http_service> start_http_service(asio::io_context& io, const std::string& ip,
                                                 std::uint16_t port, deferred_handler handler,
                                                 service_log log) {
    auto service = std::make_shared<http_service>(io, std::move(handler), std::move(log));
    try {
        const tcp::endpoint endpoint(asio::ip::make_address(ip), port);
        service->acceptor.open(endpoint.protocol());
        service->acceptor.set_option(tcp::acceptor::reuse_address(true));
        service->acceptor.bind(endpoint);
        service->acceptor.listen();
    } catch (const boost::system::system_error& error) {
        throw std::runtime_error("cannot listen on " + ip + ":" + std::to_string(port) + ": " +
                                 error.what());
    }
    accept_next(service);
    return service;
}

std::uint16_t service_port(const http_service& service) {
    error_code error;
    return service.acceptor.local_endpoint(error).port();
}

void stop(http_service& service) {
    service.is_stopped = true;
    error_code ignored;
    service.acceptor.close(ignored);
    for (const auto& open_session : std::exchange(service.sessions, {})) {
        open_session->stream.socket().close(ignored);
    }
}

} // namespace cyclamenhatch::net

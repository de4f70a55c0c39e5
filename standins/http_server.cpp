#include "http_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <map>
#include <sstream>
#include <utility>

namespace cyclamenhatch::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

constexpr std::uint64_t max_body_bytes = 1ULL << 30U;

} // namespace

struct http_server {
    http_server(asio::io_context& context, const asio::ip::tcp::endpoint& where,
                request_handler handle)
        : acceptor(context, where), handler(std::move(handle)) {}

    asio::ip::tcp::acceptor acceptor;
    request_handler handler;
    std::map<std::uint64_t, std::weak_ptr<exchange>> exchanges;
};

struct exchange {
    explicit exchange(asio::ip::tcp::socket from) : socket(std::move(from)) {}

    std::uint64_t id = 0;
    asio::ip::tcp::socket socket;
    std::shared_ptr<http_server> server;
    beast::flat_buffer buffer;
    std::unique_ptr<http::request_parser<http::string_body>> parser;
    http_request request;
    http::response<http::string_body> reply;
    std::deque<std::string> lines;
    bool is_streaming = false;
    bool is_writing = false;
    /// Counts requests, so that a wait for the peer's close does not outlive its request.
    std::uint64_t round = 0;
    std::function<void()> closed;
};

namespace {

void close(const std::shared_ptr<exchange>& of) {
    error_code ignored;
    of->socket.close(ignored);
    of->server->exchanges.erase(of->id);
    if (auto closed = std::exchange(of->closed, nullptr)) {
        closed();
    }
}

void take_request(exchange& from) {
    const auto& message = from.parser->get();
    from.request = {std::string(message.method_string()), std::string(message.target()), {}, ""};
    for (const auto& field : message) {
        from.request.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    from.request.body = std::move(from.parser->get().body());
}

/// While a request is under way nothing should arrive but the peer's close.
void watch_close(const std::shared_ptr<exchange>& of) {
    const auto round = of->round;
    of->socket.async_wait(asio::ip::tcp::socket::wait_read, [of, round](error_code error) {
        if (error || of->round != round) {
            return;
        }
        error_code probe;
        if (of->socket.available(probe) == 0 || probe) {
            close(of);
        }
    });
}

void read_request(const std::shared_ptr<exchange>& from) {
    from->parser = std::make_unique<http::request_parser<http::string_body>>();
    from->parser->body_limit(max_body_bytes);
    ++from->round;
    http::async_read(from->socket, from->buffer, *from->parser,
                     [from](error_code error, std::size_t) {
                         if (error) {
                             close(from);
                             return;
                         }
                         take_request(*from);
                         ++from->round;
                         watch_close(from);
                         from->server->handler(from);
                     });
}

void accept(const std::shared_ptr<http_server>& server) {
    static std::uint64_t next_id = 1;
    server->acceptor.async_accept([server](error_code error, asio::ip::tcp::socket socket) {
        if (error) {
            return;
        }
        error_code ignored;
        socket.set_option(asio::ip::tcp::no_delay(true), ignored);
        auto accepted = std::make_shared<exchange>(std::move(socket));
        accepted->id = next_id++;
        accepted->server = server;
        server->exchanges[accepted->id] = accepted;
        read_request(accepted);
        accept(server);
    });
}

void write_lines(const std::shared_ptr<exchange>& to) {
    if (to->is_writing || to->lines.empty()) {
        return;
    }
    to->is_writing = true;
    asio::async_write(to->socket, asio::buffer(to->lines.front()),
                      [to](error_code error, std::size_t) {
                          to->is_writing = false;
                          if (error) {
                              close(to);
                              return;
                          }
                          to->lines.pop_front();
                          write_lines(to);
                      });
}

} // namespace

std::shared_ptr<http_server> start_http_server(asio::io_context& context, const std::string& ip,
                                               std::uint16_t port, request_handler handler) {
    const asio::ip::tcp::endpoint where(asio::ip::make_address(ip), port);
    auto server = std::make_shared<http_server>(context, where, std::move(handler));
    accept(server);
    return server;
}

void stop(http_server& server) {
    error_code ignored;
    server.acceptor.close(ignored);
    const auto exchanges = std::exchange(server.exchanges, {});
    for (const auto& [id, held] : exchanges) {
        if (const auto open = held.lock()) {
            close(open);
        }
    }
}

const http_request& request_of(const exchange& from) {
    return from.request;
}

std::uint64_t id_of(const exchange& from) {
    return from.id;
}

void answer(const std::shared_ptr<exchange>& to, http_reply reply) {
    to->closed = nullptr;
    to->reply = {};
    to->reply.version(11);
    to->reply.result(reply.status);
    to->reply.set(http::field::content_type, "application/json");
    for (const auto& each : reply.headers) {
        to->reply.set(each.name, each.value);
    }
    to->reply.body() = std::move(reply.body);
    to->reply.prepare_payload();
    to->reply.keep_alive(to->parser->get().keep_alive());
    http::async_write(to->socket, to->reply, [to](error_code error, std::size_t) {
        if (error || !to->reply.keep_alive()) {
            close(to);
            return;
        }
        read_request(to);
    });
}

void abandon(const std::shared_ptr<exchange>& to) {
    close(to);
}

void start_stream(const std::shared_ptr<exchange>& to) {
    if (std::exchange(to->is_streaming, true)) {
        return;
    }
    to->lines.emplace_back("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n");
    write_lines(to);
}

void stream_line(const std::shared_ptr<exchange>& to, const std::string& line) {
    std::ostringstream chunk;
    chunk << std::hex << line.size() + 1 << "\r\n" << line << "\n\r\n";
    to->lines.push_back(chunk.str());
    write_lines(to);
}

void on_closed(exchange& of, std::function<void()> closed) {
    of.closed = std::move(closed);
}

} // namespace cyclamenhatch::standin

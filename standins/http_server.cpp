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
    http_server(asio::io_context& context, const asio::ip::tcp::endpoint& endpoint,
                request_handler handle)
        : acceptor(context, endpoint), handler(std::move(handle)) {}

    asio::ip::tcp::acceptor acceptor;
    request_handler handler;
    std::map<std::uint64_t, std::weak_ptr<exchange>> exchanges;
};

struct exchange {
    explicit exchange(asio::ip::tcp::socket accepted) : socket(std::move(accepted)) {}

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
    /// Changes before and after each request is read, so that a wait for the peer to close the
    /// connection ends with its request.
    std::uint64_t read_phase = 0;
    std::function<void()> close_handler;
};

namespace {

void close(const std::shared_ptr<exchange>& connection) {
    error_code ignored;
    connection->socket.close(ignored);
    connection->server->exchanges.erase(connection->id);
    if (auto handler = std::exchange(connection->close_handler, nullptr)) {
        handler();
    }
}

void copy_request(exchange& connection) {
    const auto& message = connection.parser->get();
    connection.request = {
        std::string(message.method_string()), std::string(message.target()), {}, ""};
    for (const auto& field : message) {
        connection.request.headers.push_back(
            {std::string(field.name_string()), std::string(field.value())});
    }
    connection.request.body = std::move(connection.parser->get().body());
}

/// Closes the connection when the peer closes it before the request is answered. Other data is not
/// expected until then.
void watch_close(const std::shared_ptr<exchange>& connection) {
    const auto read_phase = connection->read_phase;
    connection->socket.async_wait(asio::ip::tcp::socket::wait_read,
                                  [connection, read_phase](error_code error) {
                                      if (error || connection->read_phase != read_phase) {
                                          return;
                                      }
                                      error_code probe;
                                      if (connection->socket.available(probe) == 0 || probe) {
                                          close(connection);
                                      }
                                  });
}

void read_request(const std::shared_ptr<exchange>& connection) {
    connection->parser = std::make_unique<http::request_parser<http::string_body>>();
    connection->parser->body_limit(max_body_bytes);
    ++connection->read_phase;
    http::async_read(connection->socket, connection->buffer, *connection->parser,
                     [connection](error_code error, std::size_t) {
                         if (error) {
                             close(connection);
                             return;
                         }
                         copy_request(*connection);
                         ++connection->read_phase;
                         watch_close(connection);
                         connection->server->handler(connection);
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
        auto connection = std::make_shared<exchange>(std::move(socket));
        connection->id = next_id++;
        connection->server = server;
        server->exchanges[connection->id] = connection;
        read_request(connection);
        accept(server);
    });
}

void write_lines(const std::shared_ptr<exchange>& connection) {
    if (connection->is_writing || connection->lines.empty()) {
        return;
    }
    connection->is_writing = true;
    asio::async_write(connection->socket, asio::buffer(connection->lines.front()),
                      [connection](error_code error, std::size_t) {
                          connection->is_writing = false;
                          if (error) {
                              close(connection);
                              return;
                          }
                          connection->lines.pop_front();
                          write_lines(connection);
                      });
}

} // namespace

std::shared_ptr<http_server> start_http_server(asio::io_context& context, const std::string& ip,
                                               std::uint16_t port, request_handler handler) {
    const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(ip), port);
    auto server = std::make_shared<http_server>(context, endpoint, std::move(handler));
    accept(server);
    return server;
}

void stop(http_server& server) {
    error_code ignored;
    server.acceptor.close(ignored);
    const auto exchanges = std::exchange(server.exchanges, {});
    for (const auto& [id, exchange_ref] : exchanges) {
        if (const auto connection = exchange_ref.lock()) {
            close(connection);
        }
    }
}

const http_request& request_of(const exchange& connection) {
    return connection.request;
}

std::uint64_t id_of(const exchange& connection) {
    return connection.id;
}

void answer(const std::shared_ptr<exchange>& connection, http_reply reply) {
    connection->close_handler = nullptr;
    connection->reply = {};
    connection->reply.version(11);
    connection->reply.result(reply.status);
    connection->reply.set(http::field::content_type, "application/json");
    for (const auto& header : reply.headers) {
        connection->reply.set(header.name, header.value);
    }
    connection->reply.body() = std::move(reply.body);
    connection->reply.prepare_payload();
    connection->reply.keep_alive(connection->parser->get().keep_alive());
    http::async_write(connection->socket, connection->reply,
                      [connection](error_code error, std::size_t) {
                          if (error || !connection->reply.keep_alive()) {
                              close(connection);
                              return;
                          }
                          read_request(connection);
                      });
}

void abandon(const std::shared_ptr<exchange>& connection) {
    close(connection);
}

void start_stream(const std::shared_ptr<exchange>& connection) {
    if (std::exchange(connection->is_streaming, true)) {
        return;
    }
    connection->lines.emplace_back("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                   "Transfer-Encoding: chunked\r\n\r\n");
    write_lines(connection);
}

void stream_line(const std::shared_ptr<exchange>& connection, const std::string& line) {
    std::ostringstream chunk;
    chunk << std::hex << line.size() + 1 << "\r\n" << line << "\n\r\n";
    connection->lines.push_back(chunk.str());
    write_lines(connection);
}

void set_close_handler(exchange& connection, std::function<void()> handler) {
    connection.close_handler = std::move(handler);
}

} // namespace cyclamenhatch::standin

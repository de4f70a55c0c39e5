#include "net/http_client.h"

#include "net/answer_parser.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace cyclamenhatch::net {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

namespace {

/// A connection that was idle for longer is not reused: the server may be closing it.
constexpr std::chrono::seconds max_idle{5};
constexpr unsigned first_status = 100;
constexpr unsigned switching_protocols = 101;
constexpr unsigned first_final_status = 200;
/// Maximum total size of the informational answers discarded before the final answer: room for
/// several heads of the maximum size.
constexpr std::size_t max_informational_bytes = 65'536;
/// Maximum number of bytes of an answer that are read but not parsed yet: fits a head at Beast's
/// limit of 8 KB and one read of 64 KB. Longer framing, such as a chunk's size line or trailers,
/// fails the request.
constexpr std::size_t max_unparsed_bytes = 131'072;

struct connection {
    explicit connection(asio::io_context& io) : stream(io) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    std::chrono::steady_clock::time_point idle_since;
};

using connection_ptr = std::shared_ptr<connection>;

/// One request in flight.
struct exchange {
    connection_ptr conn;
    http::request<http::string_body> request;
    std::optional<answer_parser<http::string_body>> parser;
    std::chrono::steady_clock::time_point deadline;
    std::size_t informational_bytes = 0;
    std::function<void(http_outcome)> done;
};

using exchange_ptr = std::shared_ptr<exchange>;

} // namespace

struct http_client : std::enable_shared_from_this<http_client> {
    http_client(asio::io_context& context, http_client_settings client_settings)
        : io(context), settings(std::move(client_settings)),
          server(asio::ip::make_address(settings.ip), settings.port) {}

    asio::io_context& io;
    const http_client_settings settings;
    const tcp::endpoint server;
    std::vector<connection_ptr> idle_connections;
    std::set<exchange_ptr> open_exchanges;
    bool is_closed = false;
};

namespace {

using client_ptr = std::shared_ptr<http_client>;

void finish(const client_ptr& client, const exchange_ptr& self, http_outcome outcome) {
    if (client->open_exchanges.erase(self) == 0) {
        return;
    }
    const auto done = std::exchange(self->done, nullptr);
    done(std::move(outcome));
}

void drop(const exchange_ptr& self) {
    error_code ignored;
    self->conn->stream.socket().close(ignored);
}

void keep(const client_ptr& client, const connection_ptr& conn) {
    if (client->is_closed ||
        client->idle_connections.size() >= client->settings.max_idle_connections) {
        error_code ignored;
        conn->stream.socket().close(ignored);
        return;
    }
    conn->stream.expires_never();
    conn->idle_since = std::chrono::steady_clock::now();
    client->idle_connections.push_back(conn);
}

/// Identifies the request by its path without the query, since these requests have no ids.
void log_fault(const http_client& client, const exchange& request_exchange, std::string reason,
               std::size_t bytes) {
    if (!client.settings.log || bytes == 0) {
        return;
    }
    const std::string target(request_exchange.request.target());
    client.settings.log(
        {log_level::warning,
         "server_bytes_refused",
         {{"server", client.settings.ip + ":" + std::to_string(client.settings.port)},
          {"request", target.substr(0, target.find('?'))},
          {"reason", std::move(reason)},
          {"bytes", std::to_string(bytes)}}});
}

void give_up(const client_ptr& client, const exchange_ptr& self, std::string reason,
             std::size_t bytes) {
    log_fault(*client, *self, reason, bytes + self->conn->buffer.size());
    drop(self);
    finish(client, self, no_answer{std::move(reason)});
}

void read_answer(const client_ptr& client, const exchange_ptr& self);

void on_answer(const client_ptr& client, const exchange_ptr& self, error_code error,
               std::size_t bytes) {
    if (error) {
        give_up(client, self, error.message(), bytes);
        return;
    }
    const auto status = self->parser->get().result_int();
    if (status < first_status || status == switching_protocols) {
        give_up(client, self, "status out of place", bytes);
        return;
    }
    if (status < first_final_status) {
        self->informational_bytes += bytes;
        if (self->informational_bytes > max_informational_bytes) {
            give_up(client, self, "too much before the answer", self->informational_bytes);
            return;
        }
        read_answer(client, self);
        return;
    }
    http_response answer{.status = self->parser->get().result_int(),
                         .body = std::move(self->parser->get().body()),
                         .kept_header = {}};
    if (!client->settings.kept_header.empty()) {
        answer.kept_header = std::string(self->parser->get()[client->settings.kept_header]);
    }
    if (self->parser->keep_alive() && self->conn->buffer.size() == 0) {
        keep(client, self->conn);
    } else {
        log_fault(*client, *self, "bytes after the answer's end", self->conn->buffer.size());
        drop(self);
    }
    finish(client, self, std::move(answer));
}

void read_answer(const client_ptr& client, const exchange_ptr& self) {
    self->parser.emplace();
    self->parser->body_limit(client->settings.max_answer_bytes);
    http::async_read(self->conn->stream, self->conn->buffer, *self->parser,
                     [client, self](error_code error, std::size_t bytes) {
                         on_answer(client, self, error, bytes);
                     });
}

void write(const client_ptr& client, const exchange_ptr& self) {
    self->conn->stream.expires_at(self->deadline);
    http::async_write(self->conn->stream, self->request,
                      [client, self](error_code error, std::size_t bytes) {
                          if (error) {
                              drop(self);
                              if (bytes == 0) {
                                  finish(client, self, not_sent{error.message()});
                              } else {
                                  finish(client, self, no_answer{error.message()});
                              }
                              return;
                          }
                          read_answer(client, self);
                      });
}

void connect(const client_ptr& client, const exchange_ptr& self) {
    self->conn->stream.expires_after(client->settings.connect_timeout);
    self->conn->stream.async_connect(client->server, [client, self](error_code error) {
        if (error) {
            drop(self);
            finish(client, self, not_sent{error.message()});
            return;
        }
        error_code ignored;
        self->conn->stream.socket().set_option(tcp::no_delay(true), ignored);
        write(client, self);
    });
}

/// Takes an idle connection that the server has not closed; null if there is none.
connection_ptr take_kept(http_client& client) {
    const auto now = std::chrono::steady_clock::now();
    while (!client.idle_connections.empty()) {
        auto conn = std::move(client.idle_connections.back());
        client.idle_connections.pop_back();
        char byte = 0;
        auto& socket = conn->stream.socket();
        const auto received = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool is_quiet = received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (is_quiet && now - conn->idle_since < max_idle) {
            return conn;
        }
        error_code ignored;
        socket.close(ignored);
    }
    return nullptr;
}

} // namespace

std::shared_ptr<http_client> make_http_client(asio::io_context& io, http_client_settings settings) {
    return std::make_shared<http_client>(io, std::move(settings));
}

void send(http_client& client, http_request request, milliseconds timeout,
          std::function<void(http_outcome)> done) {
    const auto shared_client = client.shared_from_this();
    auto self = std::make_shared<exchange>();
    self->deadline = std::chrono::steady_clock::now() + timeout;
    self->done = std::move(done);
    self->request.method_string(request.method);
    self->request.target(request.target);
    self->request.version(11);
    self->request.set(http::field::host, client.settings.ip);
    if (!request.body.empty()) {
        self->request.set(http::field::content_type, "application/json");
    }
    self->request.body() = std::move(request.body);
    self->request.prepare_payload();
    client.open_exchanges.insert(self);
    asio::post(client.io, [shared_client, self] {
        if (shared_client->is_closed) {
            return;
        }
        self->conn = take_kept(*shared_client);
        if (self->conn) {
            write(shared_client, self);
            return;
        }
        self->conn = std::make_shared<connection>(shared_client->io);
        connect(shared_client, self);
    });
}

void close(http_client& client) {
    client.is_closed = true;
    client.idle_connections.clear();
    for (const auto& open_exchange : std::exchange(client.open_exchanges, {})) {
        if (open_exchange->conn) {
            drop(open_exchange);
        }
    }
}

} // namespace cyclamenhatch::net

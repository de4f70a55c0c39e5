#include "net/http_client.h"

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

/// A kept connection that was idle for longer is not used again: the server may be closing it.
constexpr std::chrono::seconds max_idle{5};
constexpr unsigned first_status = 100;
constexpr unsigned switching_protocols = 101;
constexpr unsigned first_final_status = 200;
/// Informational answers before the one that counts are read and dropped up to this size in all:
/// room for several heads at their bound.
constexpr std::size_t max_informational_bytes = 65'536;
/// Bytes of an answer that may be read and not yet parsed: a head at Beast's bound of 8 KB and one
/// read of 64 KB fit. Framing that is longer, as a chunk's size line or its trailers, is no answer.
constexpr std::size_t max_unparsed_bytes = 131'072;

struct connection {
    explicit connection(asio::io_context& io) : stream(io) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer{max_unparsed_bytes};
    std::chrono::steady_clock::time_point idle_since;
};

using connection_ptr = std::shared_ptr<connection>;

/// One request under way.
struct exchange {
    connection_ptr on;
    http::request<http::string_body> request;
    std::optional<http::response_parser<http::string_body>> parser;
    std::chrono::steady_clock::time_point deadline;
    std::size_t informational_bytes = 0;
    std::function<void(http_outcome)> done;
};

using exchange_ptr = std::shared_ptr<exchange>;

} // namespace

struct http_client : std::enable_shared_from_this<http_client> {
    http_client(asio::io_context& context, http_client_settings from)
        : io(context), settings(std::move(from)),
          server(asio::ip::make_address(settings.ip), settings.port) {}

    asio::io_context& io;
    const http_client_settings settings;
    const tcp::endpoint server;
    std::vector<connection_ptr> kept;
    std::set<exchange_ptr> under_way;
    bool is_closed = false;
};

namespace {

using client_ptr = std::shared_ptr<http_client>;

void finish(const client_ptr& client, const exchange_ptr& self, http_outcome outcome) {
    if (client->under_way.erase(self) == 0) {
        return;
    }
    const auto done = std::exchange(self->done, nullptr);
    done(std::move(outcome));
}

void drop(const exchange_ptr& self) {
    error_code ignored;
    self->on->stream.socket().close(ignored);
}

void keep(const client_ptr& client, const connection_ptr& link) {
    if (client->is_closed || client->kept.size() >= client->settings.max_kept) {
        error_code ignored;
        link->stream.socket().close(ignored);
        return;
    }
    link->stream.expires_never();
    link->idle_since = std::chrono::steady_clock::now();
    client->kept.push_back(link);
}

/// Requests to these servers have no ids; the path without its query names them.
void log_fault(const http_client& client, const exchange& of, std::string reason,
               std::size_t bytes) {
    if (!client.settings.log || bytes == 0) {
        return;
    }
    const std::string target(of.request.target());
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
    log_fault(*client, *self, reason, bytes + self->on->buffer.size());
    drop(self);
    finish(client, self, no_answer{std::move(reason)});
}

void read_answer(const client_ptr& client, const exchange_ptr& self);

void on_answer(const client_ptr& client, const exchange_ptr& self, error_code failed,
               std::size_t bytes) {
    if (failed) {
        give_up(client, self, failed.message(), bytes);
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
                         .body = std::move(self->parser->get().body())};
    if (self->parser->keep_alive() && self->on->buffer.size() == 0) {
        keep(client, self->on);
    } else {
        log_fault(*client, *self, "bytes after the answer's end", self->on->buffer.size());
        drop(self);
    }
    finish(client, self, std::move(answer));
}

void read_answer(const client_ptr& client, const exchange_ptr& self) {
    self->parser.emplace();
    self->parser->body_limit(client->settings.max_answer_bytes);
    http::async_read(self->on->stream, self->on->buffer, *self->parser,
                     [client, self](error_code failed, std::size_t bytes) {
                         on_answer(client, self, failed, bytes);
                     });
}

void write(const client_ptr& client, const exchange_ptr& self) {
    self->on->stream.expires_at(self->deadline);
    http::async_write(self->on->stream, self->request,
                      [client, self](error_code failed, std::size_t bytes) {
                          if (failed) {
                              drop(self);
                              if (bytes == 0) {
                                  finish(client, self, not_sent{failed.message()});
                              } else {
                                  finish(client, self, no_answer{failed.message()});
                              }
                              return;
                          }
                          read_answer(client, self);
                      });
}

void connect(const client_ptr& client, const exchange_ptr& self) {
    self->on->stream.expires_after(client->settings.connect_timeout);
    self->on->stream.async_connect(client->server, [client, self](error_code failed) {
        if (failed) {
            drop(self);
            finish(client, self, not_sent{failed.message()});
            return;
        }
        error_code ignored;
        self->on->stream.socket().set_option(tcp::no_delay(true), ignored);
        write(client, self);
    });
}

/// A kept connection that the server has not closed, or null.
connection_ptr take_kept(http_client& client) {
    const auto now = std::chrono::steady_clock::now();
    while (!client.kept.empty()) {
        auto link = std::move(client.kept.back());
        client.kept.pop_back();
        char byte = 0;
        auto& socket = link->stream.socket();
        const auto got = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        const bool is_quiet = got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
        if (is_quiet && now - link->idle_since < max_idle) {
            return link;
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
    const auto owner = client.shared_from_this();
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
    client.under_way.insert(self);
    asio::post(client.io, [owner, self] {
        if (owner->is_closed) {
            return;
        }
        self->on = take_kept(*owner);
        if (self->on) {
            write(owner, self);
            return;
        }
        self->on = std::make_shared<connection>(owner->io);
        connect(owner, self);
    });
}

void close(http_client& client) {
    client.is_closed = true;
    client.kept.clear();
    for (const auto& each : std::exchange(client.under_way, {})) {
        if (each->on) {
            drop(each);
        }
    }
}

} // namespace cyclamenhatch::net

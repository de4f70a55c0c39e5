#include "http_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <map>
#include <utility>
#include <vector>

namespace cyclamenhatch::standin {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using error_code = boost::system::error_code;

constexpr std::uint64_t max_body_bytes = 1ULL << 30U;

} // namespace

struct client_pool {
    asio::io_context& context;
    std::map<base_url, std::vector<std::unique_ptr<beast::tcp_stream>>> idle;
};

namespace {

/// A request in progress on its connection.
struct client_call {
    std::shared_ptr<client_pool> pool;
    base_url target;
    std::unique_ptr<beast::tcp_stream> stream;
    http::request<http::string_body> request;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    std::chrono::milliseconds timeout{0};
    std::function<void(http_outcome)> done;
};

using call_ptr = std::shared_ptr<client_call>;

void fail(const call_ptr& call, error_code error, bool is_connecting) {
    http_outcome outcome;
    outcome.is_refused = is_connecting && error == asio::error::connection_refused;
    outcome.error = error.message();
    call->done(std::move(outcome));
}

void finish(const call_ptr& call) {
    auto& message = call->parser.get();
    http_reply reply;
    reply.status = message.result_int();
    for (const auto& field : message) {
        reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    reply.body = std::move(message.body());
    if (message.keep_alive()) {
        call->stream->expires_never();
        call->pool->idle[call->target].push_back(std::move(call->stream));
    }
    call->done({.reply = std::move(reply)});
}

void read_reply(const call_ptr& call) {
    call->parser.body_limit(max_body_bytes);
    http::async_read(*call->stream, call->buffer, call->parser,
                     [call](error_code error, std::size_t) {
                         if (error) {
                             fail(call, error, false);
                         } else {
                             finish(call);
                         }
                     });
}

void write_request(const call_ptr& call) {
    http::async_write(*call->stream, call->request, [call](error_code error, std::size_t) {
        if (error) {
            fail(call, error, false);
        } else {
            read_reply(call);
        }
    });
}

/// Takes an idle connection that the peer has not closed; null when there is none.
std::unique_ptr<beast::tcp_stream> take_idle(client_pool& pool, const base_url& target) {
    auto& idle = pool.idle[target];
    while (!idle.empty()) {
        auto stream = std::move(idle.back());
        idle.pop_back();
        error_code error;
        char probe = 0;
        stream->socket().non_blocking(true, error);
        stream->socket().receive(asio::buffer(&probe, 1), asio::socket_base::message_peek, error);
        if (error == asio::error::would_block) {
            return stream;
        }
    }
    return nullptr;
}

} // namespace

std::optional<base_url> parse_base_url(std::string text) {
    constexpr std::string_view scheme = "http://";
    if (text.rfind(scheme, 0) != 0) {
        return std::nullopt;
    }
    text.erase(0, scheme.size());
    if (!text.empty() && text.back() == '/') {
        text.pop_back();
    }
    const auto colon = text.rfind(':');
    base_url url;
    if (colon == std::string::npos) {
        return std::nullopt;
    }
    url.ip = text.substr(0, colon);
    const char* end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + colon + 1, end, url.port);
    if (error != std::errc{} || rest != end) {
        return std::nullopt;
    }
    return url;
}

std::shared_ptr<client_pool> make_client_pool(asio::io_context& context) {
    return std::make_shared<client_pool>(client_pool{context, {}});
}

void send_request(const std::shared_ptr<client_pool>& pool, const base_url& target,
                  const http_request& request, std::chrono::milliseconds timeout,
                  std::function<void(http_outcome)> done) {
    auto call = std::make_shared<client_call>();
    call->pool = pool;
    call->target = target;
    call->timeout = timeout;
    call->done = std::move(done);
    call->request.version(11);
    call->request.method_string(request.method);
    call->request.target(request.target);
    call->request.set(http::field::host, target.ip + ":" + std::to_string(target.port));
    for (const auto& header : request.headers) {
        call->request.set(header.name, header.value);
    }
    call->request.body() = request.body;
    call->request.prepare_payload();
    call->stream = take_idle(*pool, target);
    if (call->stream != nullptr) {
        call->stream->expires_after(timeout);
        write_request(call);
        return;
    }
    call->stream = std::make_unique<beast::tcp_stream>(pool->context);
    call->stream->expires_after(timeout);
    call->stream->async_connect(
        asio::ip::tcp::endpoint(asio::ip::make_address(target.ip), target.port),
        [call](error_code error) {
            if (error) {
                fail(call, error, true);
                return;
            }
            error_code ignored;
            call->stream->socket().set_option(asio::ip::tcp::no_delay(true), ignored);
            write_request(call);
        });
}

} // namespace cyclamenhatch::standin

#include "admin/server.h"
#include "admin/api.h"
#include "admin/measures.h"
#include "admin/problem.h"
#include "admin/watch_hub.h"

#include <algorithm>
#include <atomic>
#include <charconv>
#include <cpprest/http_listener.h>
#include <cpprest/producerconsumerstream.h>
#include <limits>
#include <optional>
#include <random>
#include <stdexcept>

namespace cyclamenhatch::admin {
namespace {

namespace http = web::http;
using http::experimental::listener::http_listener;
using byte_buffer = concurrency::streams::producer_consumer_buffer<std::uint8_t>;

/// A watcher with more unread bytes than this is dropped.
constexpr std::size_t max_unread_bytes = std::size_t{8} << 20U;

constexpr seconds watch_retry_after{5};

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

web::uri make_address(const msg::listen_settings_msg& listen) {
    const bool is_ipv6 = listen.ip.find(':') != std::string::npos;
    web::uri_builder builder;
    builder.set_scheme("http");
    builder.set_host(is_ipv6 ? "[" + listen.ip + "]" : listen.ip);
    builder.set_port(listen.admin_port);
    return builder.to_uri();
}

/// Reads all but the body; nothing when the path or the query is not properly encoded.
std::optional<api_request> read_head(const http::http_request& message) try {
    api_request request;
    request.method = message.method();
    const auto uri = message.relative_uri();
    for (const auto& segment : web::uri::split_path(uri.path())) {
        request.path.push_back(web::uri::decode(segment));
    }
    for (const auto& [name, value] : web::uri::split_query(uri.query())) {
        request.query[name] = web::uri::decode(value);
    }
    for (const auto& [name, value] : message.headers()) {
        request.headers[to_lower(name)] = value;
    }
    request.remote_ip = message.remote_address();
    return request;
} catch (const web::uri_exception&) {
    return std::nullopt;
}

http::http_response to_http(const api_response& response) {
    http::http_response message(static_cast<http::status_code>(response.status));
    message.set_body(response.body, response.content_type);
    for (const auto& [name, value] : response.headers) {
        message.headers()[name] = value;
    }
    return message;
}

/// Sends the response. Errors are ignored, since the caller may have disconnected.
void send(const http::http_request& request, const http::http_response& response) {
    request.reply(response).then([](const pplx::task<void>& sent) {
        try {
            sent.get();
        } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
        }
    });
}

std::string make_operation_id() {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr int length = 24;
    std::random_device source;
    std::string name = "op-";
    for (int i = 0; i < length; ++i) {
        name += digits[source() % digits.size()];
    }
    return name;
}

instant read_system_clock() {
    return std::chrono::time_point_cast<microseconds>(std::chrono::system_clock::now());
}

bool is_too_long(const http::http_request& request) {
    const auto length = request.headers().content_length();
    return length != std::numeric_limits<utility::size64_t>::max() && length > max_body_bytes;
}

/// The version after which a watch starts: the current one when the request names none, nothing
/// when it is malformed.
std::optional<config_version> read_watch_start(const api_request& request, const backend& node) {
    const auto after = request.query.find("after");
    if (after == request.query.end()) {
        const auto config = node.configuration();
        return config ? config->version : config_version{};
    }
    config_version version;
    const auto& text = after->second;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), version.value);
    const bool is_whole = read.ec == std::errc{} && read.ptr == text.data() + text.size();
    return is_whole ? std::optional(version) : std::nullopt;
}

} // namespace

struct admin_server {
    api_context context;
    std::function<instant()> now;
    std::shared_ptr<watch_hub> watches;
    std::shared_ptr<metrics_collector> collector = make_metrics_collector();
    http_listener listener;
    std::atomic<bool> is_stopped{false};
};

namespace {

watcher make_watcher(const http::http_request& request, watch_cursor cursor) {
    byte_buffer buffer;
    auto is_closed = std::make_shared<std::atomic<bool>>(false);
    http::http_response response(http::status_codes::OK);
    response.set_body(buffer.create_istream(), "application/x-ndjson");
    request.reply(response).then([is_closed](const pplx::task<void>& sent) {
        is_closed->store(true);
        try {
            sent.get();
        } catch (const std::exception&) { // NOLINT(bugprone-empty-catch)
        }
    });
    const auto write = [buffer, is_closed](const std::string& lines) mutable {
        if (is_closed->load() || buffer.in_avail() > max_unread_bytes) {
            return false;
        }
        const auto* bytes = reinterpret_cast<const std::uint8_t*>(lines.data());
        buffer.putn_nocopy(bytes, lines.size()).wait();
        buffer.sync().wait();
        return true;
    };
    const auto close = [buffer]() mutable { buffer.close(std::ios_base::out).wait(); };
    return {.cursor = std::move(cursor), .write = write, .close = close};
}

void open_watch(admin_server& server, const http::http_request& request,
                const api_request& parsed) {
    if (!is_authorised(server.context, parsed)) {
        send(request, to_http(make_unauthorised()));
        return;
    }
    const auto after = read_watch_start(parsed, server.context.node);
    if (!after) {
        send(request, to_http(make_problem({.status = 400, .detail = "after is no version"})));
        return;
    }
    if (is_full(*server.watches)) {
        send(request, to_http(make_problem({.status = 503,
                                            .detail = "too many watchers on this node",
                                            .retry_after = watch_retry_after})));
        return;
    }
    auto client = make_watcher(request, make_watch_cursor(*after, server.now()));
    const auto close = client.close;
    if (!add_watcher(*server.watches, std::move(client))) {
        close();
    }
}

void on_body(admin_server& server, const http::http_request& request, api_request parsed,
             const pplx::task<std::vector<unsigned char>>& body) {
    try {
        const auto& bytes = body.get();
        parsed.body.assign(bytes.begin(), bytes.end());
    } catch (const std::exception&) {
        send(request, to_http(make_problem({.status = 400, .detail = "the body broke off"})));
        return;
    }
    const auto begin = server.now();
    handle(server.context, parsed, begin, operation_id{make_operation_id()},
           [request, begin, method = parsed.method, now = server.now,
            collector = server.collector](const api_response& response) {
               record_request(*collector, method, response.status, now() - begin);
               send(request, to_http(response));
           });
}

void on_request(const std::shared_ptr<admin_server>& server, const http::http_request& request) {
    const auto head = read_head(request);
    if (!head) {
        send(request, to_http(make_problem({.status = 400, .detail = "malformed path or query"})));
        return;
    }
    const auto& parsed = *head;
    if (is_watch(parsed)) {
        open_watch(*server, request, parsed);
        return;
    }
    if (is_too_long(request)) {
        send(request,
             to_http(make_problem(
                 {.status = 413, .detail = "the body is too long", .outcome = "not-run"})));
        return;
    }
    request.extract_vector().then(
        [server, request, parsed](const pplx::task<std::vector<unsigned char>>& body) {
            on_body(*server, request, parsed, body);
        });
}

} // namespace

std::shared_ptr<admin_server> start_admin_server(const msg::settings_msg& settings, backend node) {
    auto server = std::make_shared<admin_server>();
    server->now = node.now ? node.now : read_system_clock;
    server->watches = start_watch_hub(node, server->now);
    server->context = {.node = {},
                       .preview = store::apply_change,
                       .extra_metrics = [collector = server->collector,
                                         node] { return write_metrics(*collector, node); },
                       .token = settings.admin->token,
                       .own_ip = settings.listen->ip,
                       .write_deadline = milliseconds{settings.store->write_deadline_ms}};
    server->context.node = std::move(node);
    const auto address = make_address(*settings.listen);
    server->listener = http_listener(address);
    server->listener.support(
        [weak_server = std::weak_ptr<admin_server>(server)](const http::http_request& request) {
            if (const auto locked_server = weak_server.lock()) {
                on_request(locked_server, request);
            }
        });
    try {
        server->listener.open().wait();
    } catch (const std::exception& error) {
        stop(*server->watches);
        throw std::runtime_error("admin: cannot listen on " + address.to_string() + ": " +
                                 error.what());
    }
    return server;
}

void end_watches(admin_server& server) {
    stop(*server.watches);
}

void stop(admin_server& server) {
    if (server.is_stopped.exchange(true)) {
        return;
    }
    end_watches(server);
    server.listener.close().wait();
}

} // namespace cyclamenhatch::admin

#include "bench/http_load.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>
#include <unordered_set>
#include <utility>

namespace cyclamenhatch::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace {

struct connection;

} // namespace

struct bench_upstream {
    explicit bench_upstream(const upstream_options& settings)
        : options(settings), service_us(settings.service_time.count()), io(1),
          acceptor(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), settings.port)) {}
    bench_upstream(const bench_upstream&) = delete;
    bench_upstream& operator=(const bench_upstream&) = delete;
    ~bench_upstream() {
        io.stop();
        if (worker.joinable()) {
            worker.join();
        }
    }

    const upstream_options options;
    std::atomic<std::int64_t> service_us;
    std::atomic<std::uint64_t> runs{0};
    std::atomic<std::uint64_t> doubled{0};
    asio::io_context io;
    tcp::acceptor acceptor;
    // The members below are used by the worker thread only.
    unsigned running = 0;
    std::deque<std::function<void()>> waiting;
    std::unordered_set<std::string> seen_ids;
    std::thread worker;
};

namespace {

/// A connection, which is used only on the thread of the upstream.
struct connection : std::enable_shared_from_this<connection> {
    connection(bench_upstream& server, tcp::socket accepted)
        : upstream(server), socket(std::move(accepted)), timer(server.io) {}

    void read() {
        request = {};
        http::async_read(socket, buffer, request,
                         [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                             if (!error) {
                                 self->start_or_wait();
                             }
                         });
    }

    void start_or_wait() {
        if (upstream.running >= upstream.options.slots) {
            upstream.waiting.push_back([self = shared_from_this()] { self->run(); });
            return;
        }
        run();
    }

    void run() {
        ++upstream.running;
        ++upstream.runs;
        const std::string id(request["x-call"]);
        if (!id.empty() && !upstream.seen_ids.insert(id).second) {
            ++upstream.doubled;
        }
        const auto time = upstream.service_us.load();
        if (time == 0) {
            finish();
            return;
        }
        timer.expires_after(std::chrono::microseconds(time));
        timer.async_wait(
            [self = shared_from_this()](boost::system::error_code) { self->finish(); });
    }

    void finish() {
        --upstream.running;
        if (!upstream.waiting.empty()) {
            auto next = std::move(upstream.waiting.front());
            upstream.waiting.pop_front();
            next();
        }
        answer = {};
        answer.result(200);
        answer.set(http::field::content_type, "text/plain");
        answer.body().assign(upstream.options.answer_bytes, 'a');
        answer.prepare_payload();
        http::async_write(
            socket, answer,
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                if (!error) {
                    self->read();
                }
            });
    }

    bench_upstream& upstream;
    tcp::socket socket;
    asio::steady_timer timer;
    boost::beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> answer;
};

void accept_next(bench_upstream& upstream) {
    upstream.acceptor.async_accept(
        [&upstream](boost::system::error_code error, tcp::socket socket) {
            if (error) {
                return;
            }
            socket.set_option(tcp::no_delay(true));
            std::make_shared<connection>(upstream, std::move(socket))->read();
            accept_next(upstream);
        });
}

} // namespace

std::shared_ptr<bench_upstream> start_upstream(const upstream_options& options) {
    auto upstream = std::make_shared<bench_upstream>(options);
    accept_next(*upstream);
    upstream->worker = std::thread([server = upstream.get()] { server->io.run(); });
    return upstream;
}

std::uint16_t port_of(const bench_upstream& upstream) {
    return upstream.acceptor.local_endpoint().port();
}

upstream_counts counts_of(const bench_upstream& upstream) {
    return {.runs = upstream.runs, .doubled = upstream.doubled};
}

bool has_run(const bench_upstream& upstream, const std::string& id) {
    return upstream.seen_ids.count(id) > 0;
}

void set_service_time(bench_upstream& upstream, microseconds service_time) {
    upstream.service_us = service_time.count();
}

} // namespace cyclamenhatch::bench

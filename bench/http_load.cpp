#include "bench/http_load.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <deque>
#include <thread>
#include <utility>

namespace cyclamenhatch::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using steady = std::chrono::steady_clock;

namespace {

/// Limit of the calls that wait for a free connection; further ones are dropped so that memory
/// stays bounded.
constexpr std::size_t max_waiting = 20'000;

struct caller;

/// One thread of the load, with its own connections and its share of the rate.
struct load_worker {
    const load_options& options;
    double calls_per_s = 0;
    std::uint64_t next_id = 0;
    asio::io_context io{1};
    asio::steady_timer pace{io};
    steady::time_point start;
    std::uint64_t issued = 0;
    std::uint64_t in_flight = 0;
    std::vector<std::shared_ptr<caller>> idle;
    std::deque<steady::time_point> waiting;
    load_result result;
};

/// One connection to an entry, which sends one call at a time.
struct caller : std::enable_shared_from_this<caller> {
    caller(load_worker& parent, std::uint16_t entry)
        : worker(parent), port(entry), socket(parent.io) {}

    bool connect() {
        boost::system::error_code error;
        socket = tcp::socket(worker.io);
        buffer.clear();
        socket.connect({asio::ip::make_address("127.0.0.1"), port}, error);
        if (!error) {
            socket.set_option(tcp::no_delay(true), error);
        }
        return !error;
    }

    void send(steady::time_point due) {
        due_at = due;
        request = {};
        request.method(http::verb::get);
        request.target("/work");
        request.set(http::field::host, "bench");
        request.set("x-call", std::to_string(++worker.next_id));
        if (worker.options.deadline_ms > 0) {
            request.set("cyclamenhatch-deadline-ms", std::to_string(worker.options.deadline_ms));
        }
        http::async_write(
            socket, request,
            [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                if (error) {
                    self->finish(false);
                    return;
                }
                self->read();
            });
    }

    void read() {
        answer = {};
        http::async_read(socket, buffer, answer,
                         [self = shared_from_this()](boost::system::error_code error, std::size_t) {
                             self->finish(!error);
                         });
    }

    void finish(bool is_answered);

    load_worker& worker;
    std::uint16_t port;
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    http::request<http::empty_body> request;
    http::response<http::string_body> answer;
    steady::time_point due_at;
};

bool is_counted(const load_worker& worker, steady::time_point due) {
    return due - worker.start >= worker.options.warm_up;
}

void count_answer(load_worker& worker, const caller& connection, bool is_answered) {
    if (!is_counted(worker, connection.due_at)) {
        return;
    }
    auto& result = worker.result;
    const auto outcome = connection.answer["cyclamenhatch-outcome"];
    if (is_answered && connection.answer.result_int() == 200) {
        const auto latency = steady::now() - connection.due_at;
        ++result.ok;
        const auto end = worker.start + worker.options.warm_up + worker.options.duration;
        result.ok_in_time += steady::now() <= end ? 1 : 0;
        result.latencies_us.push_back(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(latency).count()));
    } else if (is_answered && outcome == "not-run") {
        ++result.not_run;
        result.not_run_ids.emplace_back(connection.request["x-call"]);
    } else if (is_answered && outcome == "unknown") {
        ++result.unknown;
    } else {
        ++result.other;
    }
}

void issue(load_worker& worker, steady::time_point due) {
    if (is_counted(worker, due)) {
        ++worker.result.sent;
    }
    if (!worker.idle.empty()) {
        const auto connection = worker.idle.back();
        worker.idle.pop_back();
        ++worker.in_flight;
        connection->send(due);
        return;
    }
    if (worker.waiting.size() >= max_waiting) {
        worker.result.not_sent += is_counted(worker, due) ? 1 : 0;
        return;
    }
    worker.waiting.push_back(due);
}

void caller::finish(bool is_answered) {
    count_answer(worker, *this, is_answered);
    --worker.in_flight;
    if (!is_answered || !answer.keep_alive()) {
        if (!connect()) {
            return;
        }
    }
    if (!worker.waiting.empty()) {
        const auto due = worker.waiting.front();
        worker.waiting.pop_front();
        ++worker.in_flight;
        send(due);
        return;
    }
    worker.idle.push_back(shared_from_this());
}

void keep_pace(load_worker& worker) {
    const auto now = steady::now();
    const auto total = worker.options.duration + worker.options.warm_up;
    const auto due_time = [&](std::uint64_t number) {
        return worker.start + std::chrono::nanoseconds(static_cast<std::int64_t>(
                                  static_cast<double>(number) * 1e9 / worker.calls_per_s));
    };
    while (due_time(worker.issued) <= now && due_time(worker.issued) - worker.start < total) {
        issue(worker, due_time(worker.issued));
        ++worker.issued;
    }
    const auto next = due_time(worker.issued);
    if (next - worker.start >= total) {
        return;
    }
    worker.pace.expires_at(next);
    worker.pace.async_wait([&worker](boost::system::error_code) { keep_pace(worker); });
}

void run_worker(load_worker& worker, unsigned connections) {
    for (unsigned i = 0; i < connections; ++i) {
        const auto port = worker.options.ports[i % worker.options.ports.size()];
        auto connection = std::make_shared<caller>(worker, port);
        if (connection->connect()) {
            worker.idle.push_back(std::move(connection));
        }
    }
    worker.start = steady::now();
    keep_pace(worker);
    worker.io.run();
}

void merge(load_result& total, load_result&& part) {
    total.latencies_us.insert(total.latencies_us.end(), part.latencies_us.begin(),
                              part.latencies_us.end());
    total.sent += part.sent;
    total.ok += part.ok;
    total.ok_in_time += part.ok_in_time;
    total.not_run += part.not_run;
    total.not_run_ids.insert(total.not_run_ids.end(), part.not_run_ids.begin(),
                             part.not_run_ids.end());
    total.unknown += part.unknown;
    total.other += part.other;
    total.not_sent += part.not_sent;
}

} // namespace

load_result run_load(const load_options& options) {
    static std::uint64_t runs = 0;
    std::vector<std::unique_ptr<load_worker>> workers;
    std::vector<std::thread> threads;
    threads.reserve(options.threads);
    for (unsigned i = 0; i < options.threads; ++i) {
        workers.push_back(std::unique_ptr<load_worker>(
            new load_worker{.options = options,
                            .calls_per_s = options.calls_per_s / options.threads,
                            .next_id = (++runs) << 32U}));
    }
    for (auto& worker : workers) {
        threads.emplace_back(
            [&worker, &options] { run_worker(*worker, options.connections / options.threads); });
    }
    load_result total;
    for (std::size_t i = 0; i < workers.size(); ++i) {
        threads[i].join();
        merge(total, std::move(workers[i]->result));
    }
    std::sort(total.latencies_us.begin(), total.latencies_us.end());
    total.seconds = static_cast<double>(options.duration.count()) / 1e6;
    return total;
}

std::uint32_t percentile(const std::vector<std::uint32_t>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

} // namespace cyclamenhatch::bench

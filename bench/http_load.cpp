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

/// Calls that wait for a free connection beyond this many are given up, so that memory stays
/// bounded.
constexpr std::size_t max_waiting = 20'000;

struct caller;

/// One thread of the load: its own connections and its share of the rate.
struct load_worker {
    const load_options& options;
    double calls_per_s = 0;
    std::uint64_t next_id = 0;
    asio::io_context io{1};
    asio::steady_timer pace{io};
    steady::time_point start;
    std::uint64_t issued = 0;
    std::uint64_t open = 0;
    std::vector<std::shared_ptr<caller>> idle;
    std::deque<steady::time_point> waiting;
    load_result result;
};

struct caller : std::enable_shared_from_this<caller> {
    caller(load_worker& of, std::uint16_t to) : worker(of), port(to), socket(of.io) {}

    bool connect() {
        boost::system::error_code failed;
        socket = tcp::socket(worker.io);
        buffer.clear();
        socket.connect({asio::ip::make_address("127.0.0.1"), port}, failed);
        if (!failed) {
            socket.set_option(tcp::no_delay(true), failed);
        }
        return !failed;
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
            [self = shared_from_this()](boost::system::error_code failed, std::size_t) {
                if (failed) {
                    self->finish(false);
                    return;
                }
                self->read();
            });
    }

    void read() {
        answer = {};
        http::async_read(socket, buffer, answer,
                         [self = shared_from_this()](boost::system::error_code failed,
                                                     std::size_t) { self->finish(!failed); });
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

void count_answer(load_worker& worker, const caller& from, bool is_answered) {
    if (!is_counted(worker, from.due_at)) {
        return;
    }
    auto& result = worker.result;
    const auto outcome = from.answer["cyclamenhatch-outcome"];
    if (is_answered && from.answer.result_int() == 200) {
        const auto took = steady::now() - from.due_at;
        ++result.ok;
        const auto end = worker.start + worker.options.warm_up + worker.options.duration;
        result.ok_in_time += steady::now() <= end ? 1 : 0;
        result.latencies_us.push_back(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(took).count()));
    } else if (is_answered && outcome == "not-run") {
        ++result.not_run;
        result.not_run_ids.emplace_back(from.request["x-call"]);
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
        const auto by = worker.idle.back();
        worker.idle.pop_back();
        ++worker.open;
        by->send(due);
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
    --worker.open;
    if (!is_answered || !answer.keep_alive()) {
        if (!connect()) {
            return;
        }
    }
    if (!worker.waiting.empty()) {
        const auto due = worker.waiting.front();
        worker.waiting.pop_front();
        ++worker.open;
        send(due);
        return;
    }
    worker.idle.push_back(shared_from_this());
}

void keep_pace(load_worker& worker) {
    const auto now = steady::now();
    const auto total = worker.options.duration + worker.options.warm_up;
    const auto due_of = [&](std::uint64_t number) {
        return worker.start + std::chrono::nanoseconds(static_cast<std::int64_t>(
                                  static_cast<double>(number) * 1e9 / worker.calls_per_s));
    };
    while (due_of(worker.issued) <= now && due_of(worker.issued) - worker.start < total) {
        issue(worker, due_of(worker.issued));
        ++worker.issued;
    }
    const auto next = due_of(worker.issued);
    if (next - worker.start >= total) {
        return;
    }
    worker.pace.expires_at(next);
    worker.pace.async_wait([&worker](boost::system::error_code) { keep_pace(worker); });
}

void run_worker(load_worker& worker, unsigned connections) {
    for (unsigned each = 0; each < connections; ++each) {
        const auto port = worker.options.ports[each % worker.options.ports.size()];
        auto made = std::make_shared<caller>(worker, port);
        if (made->connect()) {
            worker.idle.push_back(std::move(made));
        }
    }
    worker.start = steady::now();
    keep_pace(worker);
    worker.io.run();
}

void merge(load_result& into, load_result&& from) {
    into.latencies_us.insert(into.latencies_us.end(), from.latencies_us.begin(),
                             from.latencies_us.end());
    into.sent += from.sent;
    into.ok += from.ok;
    into.ok_in_time += from.ok_in_time;
    into.not_run += from.not_run;
    into.not_run_ids.insert(into.not_run_ids.end(), from.not_run_ids.begin(),
                            from.not_run_ids.end());
    into.unknown += from.unknown;
    into.other += from.other;
    into.not_sent += from.not_sent;
}

} // namespace

load_result run_load(const load_options& options) {
    static std::uint64_t runs = 0;
    std::vector<std::unique_ptr<load_worker>> workers;
    std::vector<std::thread> threads;
    threads.reserve(options.threads);
    for (unsigned each = 0; each < options.threads; ++each) {
        workers.push_back(std::unique_ptr<load_worker>(
            new load_worker{.options = options,
                            .calls_per_s = options.calls_per_s / options.threads,
                            .next_id = (++runs) << 32U}));
    }
    for (auto& each : workers) {
        threads.emplace_back(
            [&each, &options] { run_worker(*each, options.connections / options.threads); });
    }
    load_result all;
    for (std::size_t each = 0; each < workers.size(); ++each) {
        threads[each].join();
        merge(all, std::move(workers[each]->result));
    }
    std::sort(all.latencies_us.begin(), all.latencies_us.end());
    all.seconds = static_cast<double>(options.duration.count()) / 1e6;
    return all;
}

std::uint32_t percentile(const std::vector<std::uint32_t>& sorted, double share) {
    if (sorted.empty()) {
        return 0;
    }
    const auto index = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
    return sorted[index];
}

} // namespace cyclamenhatch::bench

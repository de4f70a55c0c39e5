#include "upstream.h"

#include "call_ledger.h"
#include "document/document.h"
#include "http_client.h"
#include "http_server.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <random>
#include <utility>

namespace cyclamenhatch::standin {
namespace {

namespace asio = boost::asio;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds announce_interval{1000};
constexpr milliseconds announce_timeout{800};
constexpr milliseconds drain_poll_interval{20};
/// How long calls in flight may take after SIGTERM.
constexpr std::chrono::seconds drain_limit{20};
constexpr double cold_factor = 10;
constexpr std::size_t max_answer_bytes = 1U << 30U;

struct upstream {
    upstream(asio::io_context& io, upstream_options config)
        : context(io), options(std::move(config)), announce_timer(io), drain_timer(io),
          pool(make_client_pool(io)), node(parse_base_url(options.node)) {}

    asio::io_context& context;
    upstream_options options;
    asio::steady_timer announce_timer;
    asio::steady_timer drain_timer;
    std::shared_ptr<http_server> server;
    std::shared_ptr<client_pool> pool;
    std::optional<base_url> node;
    call_ledger ledger;
    steady::time_point start_time = steady::now();
    bool is_draining = false;
    bool is_gone = false;
    std::mt19937_64 random{std::random_device{}()};
};

using upstream_ptr = std::shared_ptr<upstream>;

/// A call in flight, for its service time.
struct running_call {
    explicit running_call(asio::io_context& context) : timer(context) {}

    asio::steady_timer timer;
    std::shared_ptr<exchange> connection;
    std::string key;
    bool is_failing = false;
};

double elapsed_s(const upstream& self) {
    return std::chrono::duration<double>(steady::now() - self.start_time).count();
}

bool is_cold(const upstream& self) {
    return elapsed_s(self) < self.options.cold_start_s;
}

bool has_fault(const upstream& self, std::string_view path) {
    const auto& faults = self.options.faults;
    return faults.bad_after_s >= 0 && elapsed_s(self) >= faults.bad_after_s &&
           path.rfind(faults.only_route, 0) == 0 &&
           self.ledger.in_flight > faults.only_above_inflight;
}

std::string current_state(const upstream& self) {
    if (self.is_gone) {
        return "gone";
    }
    if (self.options.has_misleading_health) {
        return "ready";
    }
    if (self.is_draining) {
        return "draining";
    }
    return is_cold(self) ? "starting" : "ready";
}

void announce(const upstream_ptr& self, std::function<void()> done) {
    if (!self->node) {
        done();
        return;
    }
    const auto& options = self->options;
    http_request request{.method = "POST", .target = "/v1/upstream"};
    request.headers.push_back({"Content-Type", "application/json"});
    if (!options.token.empty()) {
        request.headers.push_back({"Authorization", "Bearer " + options.token});
    }
    request.body = write_json(document::table{{"service", options.service},
                                              {"version", options.version},
                                              {"slots", std::int64_t{options.slots}},
                                              {"state", current_state(*self)},
                                              {"port", std::int64_t{options.port}}});
    send_request(self->pool, *self->node, request, announce_timeout,
                 [done = std::move(done)](const http_outcome& outcome) {
                     if (outcome.reply && outcome.reply->status >= 400) {
                         std::cerr << "event=announcement_refused status=" << outcome.reply->status
                                   << " body=" << outcome.reply->body << "\n";
                     }
                     done();
                 });
}

void begin_draining(const upstream_ptr& self) {
    if (!std::exchange(self->is_draining, true)) {
        announce(self, [] {});
    }
}

void renew_announcement(const upstream_ptr& self) {
    const double drain_after_s = self->options.drain_after_s;
    if (drain_after_s >= 0 && elapsed_s(*self) >= drain_after_s) {
        self->is_draining = true;
    }
    announce(self, [] {});
    self->announce_timer.expires_after(announce_interval);
    self->announce_timer.async_wait([self](const boost::system::error_code& error) {
        if (!error) {
            renew_announcement(self);
        }
    });
}

/// Returns an answer that names the upstream and the call, padded to the size in the query
/// parameter "bytes".
std::string make_answer(const upstream& self, const http_request& request, const std::string& key) {
    std::string body =
        write_json(document::table{{"key", key},
                                   {"service", self.options.service},
                                   {"version", self.options.version},
                                   {"port", std::int64_t{self.options.port}},
                                   {"path", std::string(path_of(request.target))},
                                   {"method", request.method},
                                   {"received", static_cast<std::int64_t>(request.body.size())}});
    const std::string size_text(query_value(request.target, "bytes"));
    const auto padded_size =
        std::min<std::size_t>(std::strtoull(size_text.c_str(), nullptr, 10), max_answer_bytes);
    if (padded_size > body.size()) {
        body += '\n';
        body.resize(padded_size, 'x');
    }
    return body;
}

void finish_call(const upstream_ptr& self, running_call& call) {
    --self->ledger.in_flight;
    answer(call.connection, {.status = call.is_failing ? 500U : 200U,
                             .body = make_answer(*self, request_of(*call.connection), call.key)});
}

void start_call(const upstream_ptr& self, const std::shared_ptr<exchange>& connection) {
    const auto& request = request_of(*connection);
    if (self->ledger.in_flight >= self->options.slots) {
        ++self->ledger.shed;
        answer(connection, {.status = 503, .headers = {{"x-standin-shed", "1"}}});
        return;
    }
    auto call = std::make_shared<running_call>(self->context);
    call->connection = connection;
    call->key = find_header(request.headers, "x-call-key");
    start_run(self->ledger, call->key);
    self->ledger.runs_draining += self->is_draining ? 1 : 0;
    double service_ms = self->options.service_ms * (is_cold(*self) ? cold_factor : 1);
    if (has_fault(*self, path_of(request.target))) {
        std::uniform_real_distribution<double> chance(0, 1);
        call->is_failing = chance(self->random) < self->options.faults.bad_share;
        service_ms *= self->options.faults.slow_factor;
    }
    set_close_handler(*connection, [self, call] {
        ++self->ledger.cancelled;
        --self->ledger.in_flight;
        call->timer.cancel();
    });
    call->timer.expires_after(std::chrono::duration_cast<steady::duration>(
        std::chrono::duration<double, std::milli>(service_ms)));
    call->timer.async_wait([self, call](const boost::system::error_code& error) {
        if (!error) {
            finish_call(self, *call);
        }
    });
}

double read_double(const document& json, std::string_view key, double fallback) {
    const document* member = find_member(json, key);
    if (member == nullptr) {
        return fallback;
    }
    const auto* number = std::get_if<double>(&member->value);
    return number == nullptr ? static_cast<double>(number_or(json, key, 0)) : *number;
}

void set_faults(upstream& self, const document& json) {
    auto& faults = self.options.faults;
    faults.bad_after_s = 0;
    faults.bad_share = read_double(json, "bad_share", faults.bad_share);
    faults.slow_factor = read_double(json, "slow_factor", faults.slow_factor);
    faults.only_route = text_or(json, "only_route", faults.only_route);
    faults.only_above_inflight = static_cast<std::uint32_t>(
        number_or(json, "only_above_inflight", faults.only_above_inflight));
    self.options.service_ms = read_double(json, "service_ms", self.options.service_ms);
}

void handle_control(const upstream_ptr& self, const std::shared_ptr<exchange>& connection) {
    const auto& request = request_of(*connection);
    const auto path = path_of(request.target);
    if (path == "/standin/ledger") {
        const bool is_full = query_value(request.target, "full") == "1";
        answer(connection, {.body = write_ledger(self->ledger, is_full)});
    } else if (path == "/standin/drain") {
        begin_draining(self);
        answer(connection, {.body = "{}"});
    } else if (path == "/standin/faults") {
        const auto parsed = parse_json(request.body, "faults");
        if (const auto* json = std::get_if<document>(&parsed)) {
            set_faults(*self, *json);
        }
        answer(connection, {.status = parsed.index() == 0 ? 200U : 400U, .body = "{}"});
    } else {
        answer(connection, {.status = 404, .body = R"({"error":"not found"})"});
    }
}

/// Announces that the upstream is gone and ends the process once no call is in flight, or at the
/// deadline.
void wait_for_calls(const upstream_ptr& self, steady::time_point deadline) {
    if (self->ledger.in_flight == 0 || steady::now() >= deadline) {
        self->is_gone = true;
        announce(self, [self] { self->context.stop(); });
        return;
    }
    self->drain_timer.expires_after(drain_poll_interval);
    self->drain_timer.async_wait(
        [self, deadline](const boost::system::error_code&) { wait_for_calls(self, deadline); });
}

void shut_down(const upstream_ptr& self) {
    self->announce_timer.cancel();
    self->is_draining = true;
    announce(self, [self] { wait_for_calls(self, steady::now() + drain_limit); });
}

} // namespace

int run_upstream(const upstream_options& options) {
    asio::io_context context(1);
    const auto self = std::make_shared<upstream>(context, options);
    if (!options.node.empty() && !self->node) {
        std::cerr << "event=failed reason=\"--node is not http://IP:PORT\"\n";
        return 2;
    }
    self->server = start_http_server(
        context, options.ip, options.port, [self](const std::shared_ptr<exchange>& connection) {
            if (request_of(*connection).target.rfind("/standin/", 0) == 0) {
                handle_control(self, connection);
            } else {
                start_call(self, connection);
            }
        });
    renew_announcement(self);
    std::cout << "event=upstream_listening service=" << options.service
              << " version=" << options.version << " port=" << options.port << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { shut_down(self); });
    context.run();
    return 0;
}

} // namespace cyclamenhatch::standin

#include "caller.h"

#include "call_tally.h"
#include "document/document.h"
#include "http_client.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <random>
#include <utility>

namespace cyclamenhatch::standin {
namespace {

namespace asio = boost::asio;
using steady = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds pace_interval{1};
constexpr milliseconds ledger_timeout{10'000};
constexpr std::chrono::seconds progress_interval{1};

struct caller {
    caller(asio::io_context& io, const caller_options& load)
        : context(io), options(load), pace_timer(io), progress_timer(io),
          pool(make_client_pool(io)), body(load.body_bytes, 'b') {}

    asio::io_context& context;
    caller_options options;
    asio::steady_timer pace_timer;
    asio::steady_timer progress_timer;
    std::shared_ptr<client_pool> pool;
    std::vector<base_url> targets;
    std::string body;
    call_tally tally;
    /// Summed over the ledgers of all upstreams.
    std::unordered_map<std::string, std::uint64_t> runs_by_key;
    ledger_check check;
    steady::time_point start_time = steady::now();
    std::uint64_t in_flight = 0;
    bool is_done = false;
    std::size_t pending_ledgers = 0;
};

using caller_ptr = std::shared_ptr<caller>;

void finish(const caller_ptr& self);

void record_answer(caller& self, const std::string& key, const http_reply& reply) {
    auto& tally = self.tally;
    const auto service = find_text(reply.body, "service");
    const bool is_from_upstream = !service.empty();
    if (!is_from_upstream) {
        ++tally.rejected;
        return;
    }
    ++tally.answered;
    tally.outcome_by_key[key] = call_outcome::answered;
    tally.errors += reply.status >= 500 ? 1 : 0;
    ++tally.per_version[std::string(find_text(reply.body, "version"))];
    const bool is_own_service = self.options.service.empty() || service == self.options.service;
    if (find_text(reply.body, "key") != key || !is_own_service) {
        ++tally.wrong;
    }
}

void record_reply(caller& self, const std::string& key, const http_reply& reply) {
    auto& tally = self.tally;
    ++tally.per_status[reply.status];
    const auto outcome = find_header(reply.headers, "cyclamenhatch-outcome");
    if (outcome == "not-run") {
        ++tally.not_run;
        tally.outcome_by_key[key] = call_outcome::not_run;
    } else if (outcome == "unknown") {
        ++tally.unknown;
        tally.outcome_by_key[key] = call_outcome::unknown;
    } else {
        record_answer(self, key, reply);
    }
}

void record_outcome(caller& self, const std::string& key, const http_outcome& outcome) {
    if (outcome.reply) {
        record_reply(self, key, *outcome.reply);
        return;
    }
    ++self.tally.per_error[outcome.error];
    if (outcome.is_refused) {
        ++self.tally.not_run;
        self.tally.outcome_by_key[key] = call_outcome::not_run;
    } else {
        ++self.tally.unknown;
        self.tally.outcome_by_key[key] = call_outcome::unknown;
    }
}

void send_call(const caller_ptr& self, steady::time_point scheduled) {
    const auto number = self->tally.sent++;
    const auto& options = self->options;
    const std::string key = options.key_prefix + "-" + std::to_string(number);
    http_request request{.method = options.method,
                         .target = options.paths[number % options.paths.size()],
                         .headers = {{"x-call-key", key}},
                         .body = self->body};
    if (!options.host.empty()) {
        request.headers.push_back({"Host", options.host});
    }
    ++self->in_flight;
    self->tally.most_in_flight = std::max(self->tally.most_in_flight, self->in_flight);
    const auto& target = self->targets[number / options.paths.size() % self->targets.size()];
    send_request(self->pool, target, request, milliseconds{options.timeout_ms},
                 [self, key, scheduled](const http_outcome& outcome) {
                     --self->in_flight;
                     const auto latency = steady::now() - scheduled;
                     self->tally.latencies_us.push_back(static_cast<std::uint32_t>(
                         std::chrono::duration_cast<std::chrono::microseconds>(latency).count()));
                     record_outcome(*self, key, outcome);
                     finish(self);
                 });
}

std::unordered_map<std::string, std::uint64_t> parse_runs(const std::string& body) {
    std::unordered_map<std::string, std::uint64_t> runs;
    const auto parsed = parse_json(body, "ledger");
    const auto* ledger = std::get_if<document>(&parsed);
    const document* keys = ledger == nullptr ? nullptr : find_member(*ledger, "keys");
    const auto* members = keys == nullptr ? nullptr : std::get_if<document::table>(&keys->value);
    if (members != nullptr) {
        for (const auto& member : *members) {
            const auto* count = std::get_if<std::int64_t>(&member.value.value);
            runs[member.key] = count == nullptr ? 0 : static_cast<std::uint64_t>(*count);
        }
    }
    return runs;
}

void print_report(const caller_ptr& self) {
    const bool has_ledgers = !self->options.ledgers.empty();
    const auto unread = self->check.unread;
    self->check = check_ledgers(self->tally, self->runs_by_key);
    self->check.unread = unread;
    std::cout << write_tally(self->tally, self->check, has_ledgers) << std::endl;
    self->context.stop();
}

void read_ledger(const caller_ptr& self, const std::string& url) {
    const auto target = parse_base_url(url);
    const auto done = [self](const http_outcome& outcome) {
        if (outcome.reply && outcome.reply->status == 200) {
            for (const auto& [key, runs] : parse_runs(outcome.reply->body)) {
                self->runs_by_key[key] += runs;
            }
        } else {
            ++self->check.unread;
        }
        if (--self->pending_ledgers == 0) {
            print_report(self);
        }
    };
    if (!target) {
        done({});
        return;
    }
    send_request(self->pool, *target, {.target = "/standin/ledger?full=1"}, ledger_timeout, done);
}

/// Once the last call has ended, reads the ledgers and prints the report.
void finish(const caller_ptr& self) {
    if (!self->is_done || self->in_flight > 0) {
        return;
    }
    self->pending_ledgers = self->options.ledgers.size();
    if (self->pending_ledgers == 0) {
        print_report(self);
        return;
    }
    for (const auto& url : self->options.ledgers) {
        read_ledger(self, url);
    }
}

/// Sends the calls that are due and schedules itself again until the load ends.
void pace(const caller_ptr& self) {
    const double elapsed_s =
        std::chrono::duration<double>(steady::now() - self->start_time).count();
    const double schedule_end_s = std::min(elapsed_s, self->options.seconds);
    const auto due_calls = static_cast<std::uint64_t>(schedule_end_s * self->options.rate);
    while (self->tally.sent < due_calls) {
        const double due_s = static_cast<double>(self->tally.sent + 1) / self->options.rate;
        send_call(self, self->start_time + std::chrono::duration_cast<steady::duration>(
                                               std::chrono::duration<double>(due_s)));
    }
    if (elapsed_s >= self->options.seconds) {
        self->is_done = true;
        self->progress_timer.cancel();
        finish(self);
        return;
    }
    self->pace_timer.expires_after(pace_interval);
    self->pace_timer.async_wait([self](const boost::system::error_code& error) {
        if (!error) {
            pace(self);
        }
    });
}

void show_progress(const caller_ptr& self) {
    self->progress_timer.expires_after(progress_interval);
    self->progress_timer.async_wait([self](const boost::system::error_code& error) {
        if (error || self->is_done) {
            return;
        }
        const auto& tally = self->tally;
        std::cout << "progress sent=" << tally.sent << " answered=" << tally.answered
                  << " not_run=" << tally.not_run << " unknown=" << tally.unknown
                  << " errors=" << tally.errors << " in_flight=" << self->in_flight;
        for (const auto& [version, count] : tally.per_version) {
            std::cout << " version." << version << "=" << count;
        }
        std::cout << std::endl;
        show_progress(self);
    });
}

bool parse_targets(caller& self) {
    for (const auto& url : self.options.targets) {
        const auto target = parse_base_url(url);
        if (!target) {
            std::cerr << "event=failed reason=\"" << url << " is not http://IP:PORT\"\n";
            return false;
        }
        self.targets.push_back(*target);
    }
    return !self.targets.empty();
}

} // namespace

int run_caller(const caller_options& options) {
    asio::io_context context(1);
    const auto self = std::make_shared<caller>(context, options);
    if (!parse_targets(*self)) {
        return 2;
    }
    if (self->options.key_prefix.empty()) {
        self->options.key_prefix = "c" + std::to_string(std::random_device{}());
    }
    if (options.has_progress) {
        show_progress(self);
    }
    // An interrupted caller still prints its report.
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code& error, int) {
        if (!error) {
            self->options.seconds = 0;
        }
    });
    pace(self);
    context.run();
    return 0;
}

} // namespace cyclamenhatch::standin

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
    caller(asio::io_context& run_on, const caller_options& wanted)
        : context(run_on), options(wanted), pace_timer(run_on), progress_timer(run_on),
          pool(make_client_pool(run_on)), body(wanted.body_bytes, 'b') {}

    asio::io_context& context;
    caller_options options;
    asio::steady_timer pace_timer;
    asio::steady_timer progress_timer;
    std::shared_ptr<client_pool> pool;
    std::vector<base_url> targets;
    std::string body;
    call_tally tally;
    std::unordered_map<std::string, std::uint64_t> runs_by_key;
    ledger_check check;
    steady::time_point started = steady::now();
    std::uint64_t in_flight = 0;
    bool is_done = false;
    std::size_t ledgers_open = 0;
};

using caller_ptr = std::shared_ptr<caller>;

void finish(const caller_ptr& self);

void note_answer(caller& self, const std::string& key, const http_reply& reply) {
    auto& tally = self.tally;
    const auto service = find_text(reply.body, "service");
    const bool is_upstreams = !service.empty();
    if (!is_upstreams) {
        ++tally.rejected;
        return;
    }
    ++tally.answered;
    tally.ends[key] = call_end::answered;
    tally.errors += reply.status >= 500 ? 1 : 0;
    ++tally.per_version[std::string(find_text(reply.body, "version"))];
    const bool is_own_service = self.options.service.empty() || service == self.options.service;
    if (find_text(reply.body, "key") != key || !is_own_service) {
        ++tally.wrong;
    }
}

void note_reply(caller& self, const std::string& key, const http_reply& reply) {
    auto& tally = self.tally;
    ++tally.per_status[reply.status];
    const auto outcome = find_header(reply.headers, "cyclamenhatch-outcome");
    if (outcome == "not-run") {
        ++tally.not_run;
        tally.ends[key] = call_end::not_run;
    } else if (outcome == "unknown") {
        ++tally.unknown;
        tally.ends[key] = call_end::unknown;
    } else {
        note_answer(self, key, reply);
    }
}

void note_outcome(caller& self, const std::string& key, const http_outcome& outcome) {
    if (outcome.reply) {
        note_reply(self, key, *outcome.reply);
        return;
    }
    ++self.tally.per_error[outcome.error];
    if (outcome.is_refused) {
        ++self.tally.not_run;
        self.tally.ends[key] = call_end::not_run;
    } else {
        ++self.tally.unknown;
        self.tally.ends[key] = call_end::unknown;
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
                     note_outcome(*self, key, outcome);
                     finish(self);
                 });
}

std::unordered_map<std::string, std::uint64_t> read_runs(const std::string& body) {
    std::unordered_map<std::string, std::uint64_t> runs;
    const auto parsed = parse_json(body, "ledger");
    const auto* ledger = std::get_if<document>(&parsed);
    const document* keys = ledger == nullptr ? nullptr : find_member(*ledger, "keys");
    const auto* members = keys == nullptr ? nullptr : std::get_if<document::table>(&keys->value);
    if (members != nullptr) {
        for (const auto& each : *members) {
            const auto* count = std::get_if<std::int64_t>(&each.value.value);
            runs[each.key] = count == nullptr ? 0 : static_cast<std::uint64_t>(*count);
        }
    }
    return runs;
}

void report(const caller_ptr& self) {
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
            for (const auto& [key, runs] : read_runs(outcome.reply->body)) {
                self->runs_by_key[key] += runs;
            }
        } else {
            ++self->check.unread;
        }
        if (--self->ledgers_open == 0) {
            report(self);
        }
    };
    if (!target) {
        done({});
        return;
    }
    send_request(self->pool, *target, {.target = "/standin/ledger?full=1"}, ledger_timeout, done);
}

/// Reads the ledgers and reports once the last call has ended.
void finish(const caller_ptr& self) {
    if (!self->is_done || self->in_flight > 0) {
        return;
    }
    self->ledgers_open = self->options.ledgers.size();
    if (self->ledgers_open == 0) {
        report(self);
        return;
    }
    for (const auto& url : self->options.ledgers) {
        read_ledger(self, url);
    }
}

void pace(const caller_ptr& self) {
    const double elapsed_s = std::chrono::duration<double>(steady::now() - self->started).count();
    const double until_s = std::min(elapsed_s, self->options.seconds);
    const auto due = static_cast<std::uint64_t>(until_s * self->options.rate);
    while (self->tally.sent < due) {
        const double at_s = static_cast<double>(self->tally.sent + 1) / self->options.rate;
        send_call(self, self->started + std::chrono::duration_cast<steady::duration>(
                                            std::chrono::duration<double>(at_s)));
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

bool read_targets(caller& self) {
    for (const auto& each : self.options.targets) {
        const auto target = parse_base_url(each);
        if (!target) {
            std::cerr << "event=failed reason=\"" << each << " is not http://IP:PORT\"\n";
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
    if (!read_targets(*self)) {
        return 2;
    }
    if (self->options.key_prefix.empty()) {
        self->options.key_prefix = "c" + std::to_string(std::random_device{}());
    }
    if (options.has_progress) {
        show_progress(self);
    }
    // An interrupted caller still reports what it knows.
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

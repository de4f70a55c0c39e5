#include "node/run_on_loop.h"

#include "call/drain_plan.h"
#include "clock/process_clock.h"
#include "messages/address_text.h"
#include "model/handler_guard.h"
#include "net/http_service.h"
#include "node/log_writer.h"
#include "node/node_runtime.h"
#include "node/parts.h"
#include "node/state_document.h"
#include "platform/announcements.h"
#include "platform/header_names.h"
#include "platform/operator_config.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <csignal>
#include <exception>
#include <limits>
#include <stdexcept>

namespace cyclamenhatch::node {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr milliseconds tick_interval{100};
/// A tick that is later than this is logged: callers and other nodes then see this node as slow.
constexpr milliseconds late_tick_threshold{250};
/// How often the settings are checked for changes made without a SIGHUP.
constexpr milliseconds settings_check_interval{2000};
constexpr milliseconds drain_check_interval{50};
/// How long a draining node must be idle before it stops, so that the last answers have left the
/// host.
constexpr milliseconds drain_idle_time{200};

/// State of one node on the platform. Used on the loop's thread only.
struct platform_node {
    explicit platform_node(const msg::settings_msg& settings)
        : node(std::make_shared<node_runtime>(settings, platform::make_config_format())),
          ticker(loop), settings_timer(loop), drain_timer(loop),
          signals(loop, SIGTERM, SIGINT, SIGHUP) {}

    asio::io_context loop{1};
    runtime_ptr node;
    settings_reader read_settings;
    std::vector<std::shared_ptr<net::http_service>> services;
    asio::steady_timer ticker;
    asio::steady_timer settings_timer;
    asio::steady_timer drain_timer;
    asio::signal_set signals;
    bool is_draining = false;
    bool has_left = false;
    bool has_answered_unfinished = false;
    instant drain_started;
    call::drain_plan drain;
    /// Since when no call and no unsent message is pending while the node drains.
    instant idle_since;
};

findings handle_heartbeat(const runtime_ptr& node, const platform::heartbeat& heartbeat) {
    const auto address = parse_address(heartbeat.address);
    if (!address) {
        return {{.path = "address",
                 .problem = "\"" + heartbeat.address + "\" is not an address",
                 .remedy = "send \"ip:port\""}};
    }
    return announce(*node,
                    {.upstream = heartbeat.upstream, .port = address->port, .ip = address->ip});
}

bool is_ready_for_callers(const platform_node& self) {
    return !self.is_draining && current_view(*self.node)->is_ready;
}

net::service_answer answer_metrics(const platform_node& self, const net::service_request& request) {
    if (request.target == "/metrics") {
        return {.content_type = "text/plain; version=0.0.4", .body = metrics_text(*self.node)};
    }
    if (request.target == "/dump") {
        return {.body = write_json(dump_state(*self.node))};
    }
    return {.status = 404};
}

template <class Handler>
void serve(platform_node& self, const std::string& address, Handler handler) {
    if (address.empty()) {
        return;
    }
    const auto endpoint = parse_address(address);
    if (!endpoint) {
        throw std::runtime_error("\"" + address + "\" is not an address to listen on");
    }
    self.services.push_back(net::start_http_service(self.loop, endpoint->ip, endpoint->port,
                                                    std::move(handler), write_log));
}

void start_services(platform_node& self) {
    const auto node = self.node;
    const platform::announcement_handlers handlers{
        .on_heartbeat =
            [node](const platform::heartbeat& heartbeat) {
                return handle_heartbeat(node, heartbeat);
            },
        .on_leave =
            [node](const std::string& instance) {
                announce_leave(*node, instance);
                return findings{};
            },
        .on_refused = platform::make_refusal_log(write_log)};
    const auto& listen = *node->settings.listen;
    serve(self, listen.announcement_address,
          [handlers, node](const net::service_request& request, net::service_reply reply) {
              when_confirmable(*node, [reply = std::move(reply),
                                       answer = platform::answer_announcement(handlers, request)](
                                          bool is_confirmed) {
                  reply(is_confirmed ? answer : platform::make_unconfirmed_answer());
              });
          });
    serve(self, listen.readiness_address, [&self](const net::service_request& request) {
        return platform::answer_readiness(is_ready_for_callers(self), request);
    });
    serve(self, listen.metrics_address,
          [&self](const net::service_request& request) { return answer_metrics(self, request); });
}

void start_parts(platform_node& self) {
    const auto& node = self.node;
    const auto client = platform::start_store_client(
        self.loop, *node->settings.store,
        [node](const store::kv_response& response) {
            step(*node, [&](instant now, control::actions& actions) {
                control::on_store_response(node->control, response, now, actions);
            });
        },
        write_log);
    node->store = {
        .execute =
            [client](const store::kv_request& request) { platform::execute(*client, request); },
        .stop = [client] { platform::stop(*client); },
        .counts = [client] { return platform::counters(*client); }};
    node->links = wire::open_link_pool(node->settings, make_link_events(node), &self.loop);
    node->calls = edge::start_call_path(node->settings, make_call_path_callbacks(node),
                                        platform::make_header_names(), &self.loop);
    start_services(self);
}

/// Records how late a tick is, and logs it when it exceeds late_tick_threshold.
void record_lateness(node_runtime& node, std::chrono::steady_clock::duration lateness) {
    const auto ms = std::chrono::duration_cast<milliseconds>(lateness);
    node.loop_lag_ms = ms.count();
    if (ms >= late_tick_threshold) {
        write_log({log_level::warning, "loop_late", {{"late_ms", std::to_string(ms.count())}}});
    }
}

void schedule_tick(platform_node& self) {
    self.ticker.expires_after(tick_interval);
    self.ticker.async_wait([&self](error_code cancelled) {
        if (!cancelled) {
            record_lateness(*self.node, std::chrono::steady_clock::now() - self.ticker.expiry());
            tick(*self.node);
            schedule_tick(self);
        }
    });
}

/// Reads the settings and applies those that may change while the node runs.
void reload(platform_node& self, const char* cause) {
    if (!self.read_settings) {
        return;
    }
    auto result = self.read_settings();
    if (const auto* errors = std::get_if<findings>(&result)) {
        write_log({log_level::error,
                   "settings_rejected",
                   {{"cause", cause},
                    {"findings", std::to_string(errors->size())},
                    {"first", errors->empty() ? "" : to_string(errors->front())}}});
        return;
    }
    auto& updated = std::get<msg::settings_msg>(result);
    if (updated == self.node->settings) {
        return;
    }
    set_log_level(updated.process->log_level);
    edge::set_limits(*self.node->calls, updated);
    self.node->settings = std::move(updated);
    write_log({log_level::info, "settings_reloaded", {{"cause", cause}}});
}

void schedule_settings_check(platform_node& self) {
    self.settings_timer.expires_after(settings_check_interval);
    self.settings_timer.async_wait([&self](error_code cancelled) {
        if (!cancelled && !self.is_draining) {
            reload(self, "file");
            schedule_settings_check(self);
        }
    });
}

/// Whether any message waits to be written to another node.
bool has_unsent(const platform_node& self) {
    const auto links = wire::list_links(*self.node->links, std::numeric_limits<std::size_t>::max());
    return std::any_of(links.begin(), links.end(),
                       [](const wire::link_status& link) { return link.queued_bytes > 0; });
}

/// Whether callers have had the time to learn that this node leaves and it is idle, or it must
/// stop.
bool is_drained(platform_node& self) {
    const auto now = current_time();
    const auto elapsed = now - self.drain_started;
    if (edge::count_in_flight(*self.node->calls) > 0 || has_unsent(self)) {
        self.idle_since = now;
    }
    return elapsed >= self.drain.node_stops ||
           (elapsed >= self.drain.callers_end && now - self.idle_since >= drain_idle_time);
}

/// Answers the calls that cannot finish before the node stops, shortly before it.
void answer_unfinished_when_due(platform_node& self) {
    if (self.has_answered_unfinished ||
        current_time() - self.drain_started < self.drain.final_answers) {
        return;
    }
    self.has_answered_unfinished = true;
    const auto unfinished = edge::answer_pending_calls(*self.node->calls);
    if (unfinished > 0) {
        write_log(
            {log_level::warning, "drain_unfinished", {{"calls", std::to_string(unfinished)}}});
    }
}

/// Leaves the fleet once the gate closes, so that other nodes send no more calls for the upstream.
void leave_when_due(platform_node& self) {
    if (self.has_left || current_time() - self.drain_started < self.drain.gate_closes) {
        return;
    }
    self.has_left = true;
    edge::close_gate(*self.node->calls);
    step(*self.node, [&](instant now, control::actions& actions) {
        control::leave(self.node->control, now, actions);
    });
}

void wait_for_drain(platform_node& self) {
    leave_when_due(self);
    self.drain_timer.expires_after(drain_check_interval);
    self.drain_timer.async_wait([&self](error_code cancelled) {
        if (cancelled) {
            return;
        }
        if (current_time() - self.drain_started >= self.drain.callers_end) {
            edge::stop_accepting(*self.node->calls);
        }
        answer_unfinished_when_due(self);
        if (is_drained(self)) {
            self.loop.stop();
            return;
        }
        wait_for_drain(self);
    });
}

void begin_drain(platform_node& self, int signal_number) {
    if (self.is_draining) {
        return;
    }
    self.is_draining = true;
    self.drain_started = current_time();
    self.idle_since = self.drain_started;
    self.drain = call::plan_drain(*self.node->settings.call);
    write_log({log_level::info,
               "node_draining",
               {{"signal", std::to_string(signal_number)},
                {"callers_end_ms", std::to_string(self.drain.callers_end.count())},
                {"final_answers_ms", std::to_string(self.drain.final_answers.count())},
                {"node_stops_ms", std::to_string(self.drain.node_stops.count())}}});
    edge::begin_drain(*self.node->calls, self.drain_started + self.drain.runs_end);
    wait_for_drain(self);
}

void await_signal(platform_node& self) {
    self.signals.async_wait([&self](error_code error, int number) {
        if (error) {
            return;
        }
        if (number == SIGHUP) {
            reload(self, "signal");
        } else {
            begin_drain(self, number);
        }
        await_signal(self);
    });
}

void stop_parts(platform_node& self) {
    for (const auto& service : self.services) {
        net::stop(*service);
    }
    const auto cut_off = edge::stop(*self.node->calls);
    wire::stop(*self.node->links);
    self.node->store.stop();
    write_log({cut_off == 0 ? log_level::info : log_level::warning,
               "node_stopped",
               {{"calls_cut_off", std::to_string(cut_off)}}});
    // These refer to the loop, which is destroyed last.
    self.node->waiting_confirmations.clear();
    self.services.clear();
    self.node->calls.reset();
    self.node->links.reset();
    self.node->store = {};
}

} // namespace

int run_on_loop(const msg::settings_msg& settings, const settings_reader& read_settings) {
    std::signal(SIGPIPE, SIG_IGN);
    platform_node self(settings);
    self.read_settings = read_settings;
    try {
        start_parts(self);
    } catch (const std::exception& error) {
        write_log({log_level::error, "node_start_failed", {{"reason", error.what()}}});
        return 1;
    }
    write_log({log_level::info,
               "node_started",
               {{"node", settings.identity->node},
                {"data_centre", settings.identity->data_centre},
                {"service", settings.identity->upstream_service},
                {"release", CYCLAMENHATCH_VERSION}}});
    tick(*self.node);
    schedule_tick(self);
    schedule_settings_check(self);
    await_signal(self);
    if (!run_logged([&] { self.loop.run(); }, write_log)) {
        return 1;
    }
    stop_parts(self);
    return 0;
}

} // namespace cyclamenhatch::node

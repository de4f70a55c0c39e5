#include "node/run_on_loop.h"

#include "clock/process_clock.h"
#include "messages/address_text.h"
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
/// A tick that comes later than this is told: callers and other nodes then see this node as slow.
constexpr milliseconds late_tick{250};
/// How often the settings are read again, for a change that no signal told of.
constexpr milliseconds settings_check{2000};
constexpr milliseconds drain_check{50};
/// A node that ends has been idle for this long: the last answers have left the host by then.
constexpr milliseconds drain_quiet{200};
/// Calls that have no answer by then are given one of the node's own this long before it ends.
constexpr milliseconds last_answers{300};

/// All that one node on the platform holds. Used on the loop's thread only.
struct platform_node {
    explicit platform_node(const msg::settings_msg& from)
        : node(std::make_shared<node_runtime>(from, platform::make_dialect())), ticker(loop),
          settings_timer(loop), drain_timer(loop), signals(loop, SIGTERM, SIGINT, SIGHUP) {}

    asio::io_context loop{1};
    runtime_ptr node;
    settings_reader reread;
    std::vector<std::shared_ptr<net::http_service>> services;
    asio::steady_timer ticker;
    asio::steady_timer settings_timer;
    asio::steady_timer drain_timer;
    asio::signal_set signals;
    bool is_draining = false;
    bool has_left = false;
    bool has_told_unfinished = false;
    instant drain_begun;
    /// Since when nothing is under way while the node drains.
    instant idle_since;
};

findings take_heartbeat(const runtime_ptr& node, const platform::heartbeat& heard) {
    const auto at = parse_address(heard.address);
    if (!at) {
        return {{.path = "address",
                 .problem = "\"" + heard.address + "\" is not an address",
                 .remedy = "send \"ip:port\""}};
    }
    return announce(*node, {.upstream = heard.upstream, .port = at->port, .ip = at->ip});
}

bool is_ready_for_callers(const platform_node& self) {
    return !self.is_draining && current_view(*self.node)->is_ready;
}

net::service_answer answer_metrics(const platform_node& self, const net::service_request& asked) {
    if (asked.target == "/metrics") {
        return {.content_type = "text/plain; version=0.0.4", .body = metrics_text(*self.node)};
    }
    if (asked.target == "/dump") {
        return {.body = write_json(dump_state(*self.node))};
    }
    return {.status = 404};
}

void serve(platform_node& self, const std::string& address, net::service_handler handler) {
    if (address.empty()) {
        return;
    }
    const auto at = parse_address(address);
    if (!at) {
        throw std::runtime_error("\"" + address + "\" is not an address to listen on");
    }
    self.services.push_back(
        net::start_http_service(self.loop, at->ip, at->port, std::move(handler)));
}

void start_services(platform_node& self) {
    const auto node = self.node;
    const platform::announcement_handlers handlers{
        .on_heartbeat =
            [node](const platform::heartbeat& heard) { return take_heartbeat(node, heard); },
        .on_leave =
            [node](const std::string& instance) {
                announce_leave(*node, instance);
                return findings{};
            }};
    const auto& listen = *node->settings.listen;
    serve(self, listen.announcement_address, [handlers](const net::service_request& asked) {
        return platform::answer_announcement(handlers, asked);
    });
    serve(self, listen.readiness_address, [&self](const net::service_request& asked) {
        return platform::answer_readiness(is_ready_for_callers(self), asked);
    });
    serve(self, listen.metrics_address,
          [&self](const net::service_request& asked) { return answer_metrics(self, asked); });
}

void start_parts(platform_node& self) {
    const auto& node = self.node;
    const auto client = platform::start_store_client(
        self.loop, *node->settings.store,
        [node](const store::kv_response& response) {
            step(*node, [&](instant at, control::actions& wanted) {
                control::on_store_response(node->control, response, at, wanted);
            });
        },
        write_log);
    node->store = {
        .execute =
            [client](const store::kv_request& request) { platform::execute(*client, request); },
        .stop = [client] { platform::stop(*client); },
        .counts = [client] { return platform::counters(*client); }};
    node->links = wire::open_link_pool(node->settings, make_link_events(node), &self.loop);
    node->calls = edge::start_call_path(node->settings, make_surroundings(node),
                                        platform::make_header_names(), &self.loop);
    start_services(self);
}

/// Tells when the loop is behind with its work.
void note_lateness(node_runtime& node, std::chrono::steady_clock::duration late) {
    const auto ms = std::chrono::duration_cast<milliseconds>(late);
    node.loop_lag_ms = ms.count();
    if (ms >= late_tick) {
        write_log({log_level::warning, "loop_late", {{"late_ms", std::to_string(ms.count())}}});
    }
}

void schedule_tick(platform_node& self) {
    self.ticker.expires_after(tick_interval);
    self.ticker.async_wait([&self](error_code cancelled) {
        if (!cancelled) {
            note_lateness(*self.node, std::chrono::steady_clock::now() - self.ticker.expiry());
            tick(*self.node);
            schedule_tick(self);
        }
    });
}

/// Takes over what may change while the node runs; the rest stays as it was at start.
void reload(platform_node& self, const char* cause) {
    if (!self.reread) {
        return;
    }
    auto read = self.reread();
    if (const auto* found = std::get_if<findings>(&read)) {
        write_log({log_level::error,
                   "settings_rejected",
                   {{"cause", cause},
                    {"findings", std::to_string(found->size())},
                    {"first", found->empty() ? "" : to_string(found->front())}}});
        return;
    }
    auto& now = std::get<msg::settings_msg>(read);
    if (now == self.node->settings) {
        return;
    }
    set_log_level(now.process->log_level);
    edge::set_limits(*self.node->calls, now);
    self.node->settings = std::move(now);
    write_log({log_level::info, "settings_reloaded", {{"cause", cause}}});
}

void schedule_settings_check(platform_node& self) {
    self.settings_timer.expires_after(settings_check);
    self.settings_timer.async_wait([&self](error_code cancelled) {
        if (!cancelled && !self.is_draining) {
            reload(self, "file");
            schedule_settings_check(self);
        }
    });
}

/// Whether anything waits to be written to another node.
bool has_unsent(const platform_node& self) {
    const auto links = wire::list_links(*self.node->links, std::numeric_limits<std::size_t>::max());
    return std::any_of(links.begin(), links.end(),
                       [](const wire::link_status& each) { return each.queued_bytes > 0; });
}

/// Whether the callers had time to learn of the leaving and nothing is under way, or time is up.
bool is_drained(platform_node& self) {
    const auto& call = *self.node->settings.call;
    const auto now = current_time();
    const auto passed = now - self.drain_begun;
    if (edge::count_in_flight(*self.node->calls) > 0 || has_unsent(self)) {
        self.idle_since = now;
    }
    const bool has_lingered = passed >= milliseconds{call.drain_linger_ms};
    return passed >= milliseconds{call.drain_timeout_ms} ||
           (has_lingered && now - self.idle_since >= drain_quiet);
}

/// Gives the calls that cannot end in time an answer before the node ends.
void answer_when_due(platform_node& self) {
    const milliseconds after{self.node->settings.call->drain_timeout_ms};
    if (self.has_told_unfinished || current_time() - self.drain_begun < after - last_answers) {
        return;
    }
    self.has_told_unfinished = true;
    const auto unfinished = edge::answer_pending_calls(*self.node->calls);
    if (unfinished > 0) {
        write_log(
            {log_level::warning, "drain_unfinished", {{"calls", std::to_string(unfinished)}}});
    }
}

/// Leaves the fleet: nobody sends calls for the upstream here any more.
void leave_when_due(platform_node& self) {
    const milliseconds after{self.node->settings.call->drain_gate_ms};
    if (self.has_left || current_time() - self.drain_begun < after) {
        return;
    }
    self.has_left = true;
    edge::close_gate(*self.node->calls);
    step(*self.node, [&](instant at, control::actions& wanted) {
        control::leave(self.node->control, at, wanted);
    });
}

void wait_for_drain(platform_node& self) {
    leave_when_due(self);
    self.drain_timer.expires_after(drain_check);
    self.drain_timer.async_wait([&self](error_code cancelled) {
        if (cancelled) {
            return;
        }
        const milliseconds linger{self.node->settings.call->drain_linger_ms};
        if (current_time() - self.drain_begun >= linger) {
            // Whoever gives this node its callers has been told by now.
            edge::stop_accepting(*self.node->calls);
        }
        answer_when_due(self);
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
    self.drain_begun = current_time();
    self.idle_since = self.drain_begun;
    write_log({log_level::info, "node_draining", {{"signal", std::to_string(signal_number)}}});
    edge::begin_drain(*self.node->calls);
    wait_for_drain(self);
}

void await_signal(platform_node& self) {
    self.signals.async_wait([&self](error_code failed, int number) {
        if (failed) {
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
    for (const auto& each : self.services) {
        net::stop(*each);
    }
    const auto cut_off = edge::stop(*self.node->calls);
    wire::stop(*self.node->links);
    self.node->store.stop();
    write_log({cut_off == 0 ? log_level::info : log_level::warning,
               "node_stopped",
               {{"calls_cut_off", std::to_string(cut_off)}}});
    // What is left of them refers to the loop, which goes last.
    self.services.clear();
    self.node->calls.reset();
    self.node->links.reset();
    self.node->store = {};
}

} // namespace

int run_on_loop(const msg::settings_msg& settings, const settings_reader& reread) {
    std::signal(SIGPIPE, SIG_IGN);
    platform_node self(settings);
    self.reread = reread;
    try {
        start_parts(self);
    } catch (const std::exception& failed) {
        write_log({log_level::error, "node_start_failed", {{"reason", failed.what()}}});
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
    self.loop.run();
    stop_parts(self);
    return 0;
}

} // namespace cyclamenhatch::node

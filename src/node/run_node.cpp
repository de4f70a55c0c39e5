#include "node/run_node.h"

#include "admin/server.h"
#include "call/drain_plan.h"
#include "clock/process_clock.h"
#include "node/log_writer.h"
#include "node/node_runtime.h"
#include "node/parts.h"
#include "node/run_on_loop.h"

#include <atomic>
#include <csignal>
#include <exception>
#include <thread>

namespace cyclamenhatch::node {
namespace {

constexpr milliseconds tick_interval{100};

/// Blocks SIGTERM and SIGINT, which wait_for_stop receives, and ignores SIGPIPE of broken
/// connections.
void block_signals() {
    sigset_t stop_signals{};
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop_signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

int wait_for_stop() {
    sigset_t stop_signals{};
    sigemptyset(&stop_signals);
    sigaddset(&stop_signals, SIGTERM);
    sigaddset(&stop_signals, SIGINT);
    int number = 0;
    sigwait(&stop_signals, &number);
    return number;
}

/// Starts the components that do I/O. Links are opened first, so that the others can send, and
/// started after those that they deliver messages to.
std::shared_ptr<admin::admin_server> start_parts(const runtime_ptr& node) {
    const auto client = store::start_store_client(
        *node->settings.store, [node](const store::kv_response& response) {
            step(*node, [&](instant now, control::actions& actions) {
                control::on_store_response(node->control, response, now, actions);
            });
        });
    node->store = {
        .execute = [client](const store::kv_request& request) { store::execute(*client, request); },
        .stop = [client] { store::stop(*client); },
        .counts = [client] { return store::counters(*client); }};
    node->links = wire::open_link_pool(node->settings, make_link_events(node));
    node->calls = edge::start_call_path(node->settings, make_call_path_callbacks(node));
    wire::start(*node->links);
    return admin::start_admin_server(node->settings, make_backend(node));
}

/// Waits until no call is in flight or the node must stop.
void wait_for_calls(node_runtime& node, milliseconds timeout) {
    const auto deadline = current_time() + timeout;
    while (edge::count_in_flight(*node.calls) > 0 && current_time() < deadline) {
        std::this_thread::sleep_for(milliseconds{20});
    }
}

void shut_down(node_runtime& node) {
    const auto plan = call::plan_drain(*node.settings.call);
    edge::begin_drain(*node.calls, current_time() + plan.runs_end);
    edge::close_gate(*node.calls);
    step(node, [&](instant now, control::actions& actions) {
        control::leave(node.control, now, actions);
    });
    wait_for_calls(node, plan.node_stops);
}

} // namespace

int run_node(const msg::settings_msg& settings, const settings_reader& read_settings) {
    start_logging(settings.process->log_level);
    if (settings.process->deployment == msg::deployment::platform) {
        return run_on_loop(settings, read_settings);
    }
    block_signals();
    const auto node = std::make_shared<node_runtime>(settings);
    std::shared_ptr<admin::admin_server> admin_server;
    try {
        admin_server = start_parts(node);
    } catch (const std::exception& error) {
        write_log({log_level::error, "node_start_failed", {{"reason", error.what()}}});
        return 1;
    }
    write_log({log_level::info,
               "node_started",
               {{"node", settings.identity->node},
                {"data_centre", settings.identity->data_centre},
                {"release", CYCLAMENHATCH_VERSION}}});
    std::atomic<bool> is_stopping{false};
    std::thread ticker([&] {
        while (!is_stopping) {
            tick(*node);
            std::this_thread::sleep_for(tick_interval);
        }
    });
    const int signal_number = wait_for_stop();
    write_log({log_level::info, "node_draining", {{"signal", std::to_string(signal_number)}}});
    admin::end_watches(*admin_server);
    shut_down(*node);
    is_stopping = true;
    ticker.join();
    admin::stop(*admin_server);
    const auto cut_off = edge::stop(*node->calls);
    wire::stop(*node->links);
    node->store.stop();
    write_log({cut_off == 0 ? log_level::info : log_level::warning,
               "node_stopped",
               {{"calls_cut_off", std::to_string(cut_off)}}});
    return 0;
}

} // namespace cyclamenhatch::node

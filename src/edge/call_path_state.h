#pragma once

#include "edge/caller_listener.h"
#include "edge/entry_side.h"
#include "edge/gate_side.h"
#include "edge/latency_histogram.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <atomic>
#include <thread>
#include <vector>

/// Internals of call_path, shared by its source files.
namespace cyclamenhatch::edge {

/// Lock order: an entry's lock and a gate's lock are never held together; the upstream client's
/// lock may be taken under the gate's. No lock is held while a message is sent or a callback runs.
struct call_path {
    call_path(const msg::settings_msg& all_settings, call_path_callbacks handlers,
              header_names headers, boost::asio::io_context* shared);

    const node_id self;
    const msg::call_settings_msg settings;
    const std::string ip;
    const call_path_callbacks callbacks;
    const header_names names;
    // Declared before all members that hold sockets, so that it is destroyed last; null when
    // shared.
    std::unique_ptr<boost::asio::io_context> own_io;
    boost::asio::io_context& io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work;
    latency_histograms histograms;
    std::array<std::atomic<std::uint64_t>, 3> request_faults{};
    entry_side entry;
    gate_side gate;
    std::shared_ptr<caller_listener> listener;
    boost::asio::steady_timer timer;
    /// The configuration that the caller limits of the listener come from.
    snapshot_ptr limits_config;
    std::atomic<bool> is_stopped{false};
    std::vector<std::thread> workers;
};

} // namespace cyclamenhatch::edge

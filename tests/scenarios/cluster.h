#pragma once

#include "control/control.h"
#include "scenarios/network.h"
#include "scenarios/script.h"
#include "support/fake_store.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Simulates a cluster: the control state of each node runs in virtual time over an in-memory
/// network and store.
namespace cyclamenhatch::scenarios {

/// A simulated host, which runs at most one process.
struct host {
    std::string name;
    location place;
    peer_address address;
    /// Null while no process runs.
    std::unique_ptr<control::state> process;
    bool is_paused = false;
    instant paused_at;
    /// Received while the process is paused.
    std::vector<incoming> buffered_messages;
    std::vector<store::kv_response> buffered_responses;
    /// Configuration of the running process that was checked last.
    snapshot_ptr last_checked;
    /// Highest version that any process of this host was ready with.
    config_version highest_ready;
    /// Number of log events by event name.
    std::map<std::string, std::size_t> logs;
};

/// Simulated calls to one service through every ready node.
struct traffic {
    service_id service;
    /// Rate at each node.
    double calls_per_s = 0;
    std::map<version_id, double> error_shares;
    milliseconds latency{10};
};

struct cluster {
    random_source random;
    /// For the delays of the quarantine's messages, so that the other messages of a scenario meet
    /// the same delays with and without them.
    random_source quarantine_random;
    instant now;
    instant start;
    msg::settings_msg settings;
    std::vector<host> hosts;
    std::map<peer_address, std::size_t> host_by_address;
    std::map<std::string, std::size_t> host_by_name;
    network net;
    fakes::fake_store store;
    std::map<std::string, fakes::saved_store> saved_stores;
    std::vector<traffic> calls;
    /// Outcome of each write by operation: accepted, invalid, conflict, not_run or unknown.
    std::map<std::string, std::string> replies;
    /// Requests to the store in the current second, and the highest count in any second.
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t peak_reads = 0;
    std::size_t peak_writes = 0;
    /// When the counters of store requests, messages and bytes were last reset.
    instant counters_reset_at;
    /// Descriptions of the invariants that were broken.
    std::vector<std::string> violations;
};

[[nodiscard]] cluster make_cluster(std::uint64_t seed);

/// Adds a host without a process.
void add_host(cluster& sim, const std::string& name, const location& place);

void start_process(cluster& sim, std::size_t index);
void stop_process(cluster& sim, std::size_t index);
void resume_process(cluster& sim, std::size_t index);

/// Runs `step` on the control state of one node, carries out the actions that it requests and
/// checks the invariants of the node. Precondition: the host runs a process.
void step_node(cluster& sim, std::size_t index,
               const std::function<void(control::state&, control::actions&)>& step);

/// Advances time by one millisecond: delivers messages and store responses and runs the ticks due.
void advance(cluster& sim);

/// Returns the indexes of the hosts in a group: a host name, a data centre, a region, "all", a list
/// ("a1,b") or every second host of one of these ("even:a", "odd:a"). Throws std::invalid_argument
/// when an item of the list matches no host.
[[nodiscard]] std::vector<std::size_t> find_hosts(const cluster& sim, const std::string& group);

} // namespace cyclamenhatch::scenarios

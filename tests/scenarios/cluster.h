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

/// Many control states stepped in virtual time over an in-memory network and store.
namespace cyclamenhatch::scenarios {

/// One host's process, or the place where one may start.
struct host {
    std::string name;
    location place;
    peer_address address;
    /// Null while no process runs.
    std::unique_ptr<control::state> process;
    bool is_paused = false;
    instant paused_at;
    std::vector<incoming> held_messages;
    std::vector<store::kv_response> held_answers;
    /// Of the present process.
    snapshot_ptr checked;
    /// Over all processes of the host: the highest version that it was ready with.
    config_version highest_ready;
    std::map<std::string, std::size_t> logs;
};

/// Calls through every ready node to one service.
struct traffic {
    service_id service;
    double calls_per_s = 0;
    std::map<version_id, double> error_shares;
    milliseconds latency{10};
};

struct cluster {
    random_source random;
    instant now;
    instant start;
    msg::settings_msg settings;
    std::vector<host> hosts;
    std::map<peer_address, std::size_t> by_address;
    std::map<std::string, std::size_t> by_name;
    network net;
    fakes::fake_store store;
    std::map<std::string, fakes::saved_store> saved;
    std::vector<traffic> calls;
    /// Outcome of each write: accepted, invalid, conflict, not_run or unknown.
    std::map<std::string, std::string> replies;
    /// Requests to the store in the present second, and the most in any one.
    std::size_t reads = 0;
    std::size_t writes = 0;
    std::size_t most_reads = 0;
    std::size_t most_writes = 0;
    /// Since when the counters of the store and of bytes count.
    instant counted_from;
    /// What must never happen but did.
    std::vector<std::string> violations;
};

[[nodiscard]] cluster make_cluster(std::uint64_t seed);

/// Adds a host without a process.
void add_host(cluster& all, const std::string& name, const location& place);

void start_process(cluster& all, std::size_t index);
void stop_process(cluster& all, std::size_t index);
void resume_process(cluster& all, std::size_t index);

/// Lets one node take a step of its control side and sends what it wants sent.
void step_node(cluster& all, std::size_t index,
               const std::function<void(control::state&, control::actions&)>& step);

/// One millisecond: deliveries, the store, ticks, calls, and the invariants of each node.
void advance(cluster& all);

/// Host indexes for "a1", a data centre, a region, "all", lists "a1,b" and halves "even:a".
[[nodiscard]] std::vector<std::size_t> find_hosts(const cluster& all, const std::string& group);

} // namespace cyclamenhatch::scenarios

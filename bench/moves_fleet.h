#pragma once

#include "bench/moves_traffic.h"
#include "membership/membership.h"
#include "move/move_table.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <queue>

/// Simulates a small fleet in virtual time: the move code of the product runs on each node, over a
/// store and a network with delays, loss and cuts.
namespace cyclamenhatch::bench {

/// An action at a given time. Events of the same time run in the order in which they were
/// scheduled.
struct sim_event {
    instant time;
    std::uint64_t order = 0;
    std::function<void()> action;
};

/// Orders a priority queue so that the earliest event is on top.
struct occurs_later {
    bool operator()(const sim_event& left, const sim_event& right) const {
        return left.time != right.time ? left.time > right.time : left.order > right.order;
    }
};

/// The store: the current configuration and the number of endings written.
struct sim_store {
    bool is_up = true;
    snapshot_ptr head;
    std::uint32_t endings = 0;
};

struct sim_fleet {
    scenario setup;
    instant now;
    random_source random;
    traffic calls;
    std::array<membership::table, sim_nodes> tables;
    std::array<moves::state, sim_nodes> nodes;
    sim_store store;
    std::priority_queue<sim_event, std::vector<sim_event>, occurs_later> events;
    std::uint64_t next_order = 0;
    /// When any node first knew of a veto that takes the move back.
    instant first_veto_at;
    instant liar_next;
    std::uint64_t messages = 0;
};

/// Creates a fleet at the start of its move and schedules the environment fault.
[[nodiscard]] std::unique_ptr<sim_fleet> make_fleet(const scenario& setup);

/// Runs until all nodes that are up know an ending, or until 60 s after the deadline.
void run_fleet(sim_fleet& self);

/// Adds an event.
void schedule(sim_fleet& self, instant time, std::function<void()> action);
[[nodiscard]] instant move_begin();
[[nodiscard]] instant move_deadline();

/// Stops a host, which restarts with an empty state after `downtime`.
void kill_host(sim_fleet& self, std::size_t host, milliseconds downtime);

/// Sets the state of the member `host` in the membership table of `observer`.
void set_member_state(sim_fleet& self, std::size_t observer, std::size_t host,
                      msg::liveness liveness, msg::upstream_state state);

/// Schedules the environment fault of the scenario.
void plan_fault(sim_fleet& self);

/// Returns the false message that the lying node sends in place of `message`.
[[nodiscard]] outgoing falsify(outgoing message);

} // namespace cyclamenhatch::bench

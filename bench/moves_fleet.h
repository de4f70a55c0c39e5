#pragma once

#include "bench/moves_traffic.h"
#include "membership/membership.h"
#include "move/move_table.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <queue>

/// A small fleet that runs the product's own move decisions in virtual time, with message delays,
/// losses, cuts and a store.
namespace cyclamenhatch::bench {

/// Something that happens at a time; events of one time happen in the order they were made.
struct sim_event {
    instant at;
    std::uint64_t order = 0;
    std::function<void()> act;
};

struct later_first {
    bool operator()(const sim_event& left, const sim_event& right) const {
        return left.at != right.at ? left.at > right.at : left.order > right.order;
    }
};

struct sim_store {
    bool is_up = true;
    snapshot_ptr head;
    std::uint32_t endings = 0;
};

struct sim_fleet {
    scenario wanted;
    instant now;
    random_source random;
    traffic calls;
    std::array<membership::table, sim_nodes> tables;
    std::array<moves::state, sim_nodes> nodes;
    sim_store store;
    std::priority_queue<sim_event, std::vector<sim_event>, later_first> events;
    std::uint64_t next_order = 0;
    instant first_veto;
    instant liar_next;
    std::uint64_t messages = 0;
};

/// The fleet at the start of its move, with the surrounding fault planned.
[[nodiscard]] std::unique_ptr<sim_fleet> make_fleet(const scenario& wanted);

/// Runs until an ending is known everywhere, or long after the deadline.
void run_fleet(sim_fleet& self);

void schedule(sim_fleet& self, instant at, std::function<void()> act);
[[nodiscard]] instant move_begin();
[[nodiscard]] instant move_deadline();

/// Stops a host; it returns after a time with an empty state.
void kill_host(sim_fleet& self, std::size_t host, milliseconds away);

/// Sets how `observer` sees the member `host`.
void set_seen(sim_fleet& self, std::size_t observer, std::size_t host, msg::liveness liveness,
              msg::upstream_state state);

/// Plans the scenario's surrounding fault.
void plan_fault(sim_fleet& self);

/// What the lying node sends in place of `message`.
[[nodiscard]] outgoing falsify(outgoing message);

} // namespace cyclamenhatch::bench

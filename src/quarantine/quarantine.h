#pragma once

#include "call/quarantine_view.h"
#include "call/upstream_crash.h"
#include "membership/membership.h"
#include "messages/peer_message.h"
#include "model/ids.h"
#include "model/log_event.h"
#include "model/random.h"
#include "model/time.h"
#include "quarantine/record.h"

#include <cstdint>
#include <map>
#include <vector>

namespace cyclamenhatch::quarantine {

/// Requests remembered at most; with their view they cost a node less than 1 MB.
inline constexpr std::size_t max_records = 1024;

using record_table = std::map<request_digest, record>;

struct counters {
    /// Crashes of the upstream beside this node.
    std::uint64_t crashes = 0;
    /// Requests held here, each hold counted.
    std::uint64_t holds = 0;
    /// Requests whose crashes this node has cleared.
    std::uint64_t cleared = 0;
};

/// Output of a step, to be carried out by the caller.
struct actions {
    std::vector<outgoing> sends;
    std::vector<log_event> logs;
};

/// Plain data; the caller serialises access.
struct state {
    /// This node, to be set at the start.
    node_id self;
    record_table records;
    /// Highest crash id known.
    std::uint64_t highest_id = 0;
    /// Incremented at each change of the view.
    std::uint64_t generation = 0;
    /// What the call path reads; null while no request is suspected.
    call::quarantine_view_ptr view;
    instant next_exchange;
    /// The last request in the latest exchange.
    request_digest exchanged;
    /// Since its start, or since the last pause of the process, this node has asked others so often
    /// for all they know.
    std::uint32_t asks = 0;
    instant next_ask;
    std::uint64_t handled_pauses = 0;
    /// Another node has told what it knows, or nobody answers.
    bool has_learnt = false;
    counters counts;
};

/// Call about every 100 ms.
void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& out);

/// Handles quarantine_state; other kinds are ignored.
void on_message(state& self, const membership::table& members, const incoming& received,
                instant now, random_source& random, actions& out);

/// Suspects each request that the crashed upstream was running.
void record_crash(state& self, const membership::table& members, const call::upstream_crash& crash,
                  instant now, random_source& random, actions& out);

/// A request has run well: the crashes known here no longer count, here and at all nodes that learn
/// of it.
void record_good_run(state& self, const membership::table& members, const request_digest& digest,
                     instant now, random_source& random, actions& out);

/// As record_good_run, by an operator's order. Returns whether any crash counted.
bool lift(state& self, const membership::table& members, const request_digest& digest, instant now,
          random_source& random, actions& out);

/// Requests held here at `now`.
[[nodiscard]] std::size_t count_held(const state& self, instant now);

} // namespace cyclamenhatch::quarantine

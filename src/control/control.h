#pragma once

#include "allowance/keeper.h"
#include "call/call_sample.h"
#include "call/routing_view.h"
#include "call/upstream_crash.h"
#include "distribution/distribution.h"
#include "feed/operator_reader.h"
#include "feed/record_keeper.h"
#include "membership/membership.h"
#include "model/log_event.h"
#include "move/move_table.h"
#include "quarantine/quarantine.h"
#include "settings_generated.h"
#include "store/config_writer.h"
#include "store/contacts.h"
#include "store/head_reader.h"
#include "store/leave_keeper.h"
#include "store/path_probe.h"

#include <map>
#include <optional>
#include <vector>

/// The control side of one node: the state of all decision libraries, advanced by events. The node
/// drives it with real links and a real store; scenarios drive many instances in virtual time with
/// fakes. It uses no clock, thread or socket.
namespace cyclamenhatch::control {

/// Output of a step, to be carried out by the caller.
struct actions {
    std::vector<outgoing> sends;
    std::vector<store::kv_request> requests;
    std::vector<store::write_reply> replies;
    std::vector<log_event> logs;
};

/// Plain data; the caller serialises access.
struct state {
    msg::settings_msg settings;
    random_source random;
    /// Of its own, so that suspects do not change what the other libraries do.
    random_source quarantine_random;
    membership::table members;
    distribution::state distribution;
    store::config_writer writer;
    store::head_reader reader;
    store::contact_keeper contacts;
    store::leave_keeper leaves;
    store::path_probe store_path;
    /// Highest era of the store that a response or a held configuration has stated.
    std::uint64_t store_era = 0;
    /// Until this time other nodes hold this node's store duties.
    instant store_handover_until{};
    std::uint64_t store_handovers = 0;
    /// Since when the member table gives this node the duty of watching the store, and those of the
    /// contacts; unset while it does not.
    std::optional<instant> watcher_since;
    std::optional<instant> contact_since;
    std::optional<instant> first_contact_since;
    /// Generation of the member table from which the attended members were chosen.
    std::uint64_t attended_generation = 0;
    /// Set when operators keep the configuration in their own format. It is then read from there,
    /// and the head reader and the writer are unused.
    std::optional<feed::operator_reader> operator_reader;
    std::optional<feed::record_keeper> record_keeper;
    moves::state moves;
    quarantine::state quarantine;
    allowance::keeper_state allowances;
    /// Milliseconds since the Unix epoch at which this process started; its first incarnation.
    std::uint64_t start_ms = 0;
    bool is_leaving = false;
    instant started;
    std::uint64_t handled_pauses = 0;
    /// Next read of the store while this node is not ready.
    instant next_fallback_read;
    /// The last such read since the start or the last pause.
    std::optional<instant> last_fallback_read;
    /// The configuration last passed to the other libraries.
    snapshot_ptr applied_config;
    /// The evacuated data centres, and since when this node knows of it.
    std::map<data_centre_id, instant> evacuated_since;
    /// The conflicting configuration of another node that the operator reader knows of.
    digest_id known_conflict;
    /// When a move's ending was last proposed, so that it is not proposed on every tick.
    std::map<moves::attempt_key, instant> close_proposed;
};

/// `seed` seeds all randomness; `now` becomes the incarnation. With `config_format` the
/// configuration is read in the operators' format.
[[nodiscard]] state
make_state(const msg::settings_msg& settings, std::uint64_t seed, instant now,
           const std::optional<feed::config_format>& config_format = std::nullopt);

/// Call about every 100 ms.
void on_tick(state& self, instant now, actions& out);
void on_message(state& self, const incoming& received, instant now, actions& out);
void on_store_response(state& self, const store::kv_response& response, instant now, actions& out);
void submit_write(state& self, store::write_request request, instant now, actions& out);
void set_upstream(state& self, const msg::upstream_record_msg& upstream, instant now, actions& out);
void record_samples(state& self, const std::vector<call::call_sample>& samples, instant now);

/// The upstream beside this node has crashed.
void record_crash(state& self, const call::upstream_crash& crash, instant now, actions& out);

/// A suspected request has run well at the upstream beside this node.
void record_good_run(state& self, const request_digest& digest, instant now, actions& out);

/// Lets a held request through again by an operator's order, and clears the crashes of one that is
/// only suspected. Returns whether it was held or suspected.
bool lift_hold(state& self, const request_digest& digest, instant now, actions& out);

/// Begins an orderly shutdown and announces to other members that this node leaves.
void leave(state& self, instant now, actions& out);

/// Whether this node can take calls: it has compared its configuration with others, knows another
/// member or has found that nobody answers, and has learnt which requests are held.
[[nodiscard]] bool is_ready(const state& self);

/// Builds the view that the call path routes by.
[[nodiscard]] call::routing_view make_routing_view(const state& self, instant now);

} // namespace cyclamenhatch::control

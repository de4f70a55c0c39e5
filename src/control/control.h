#pragma once

#include "call/call_sample.h"
#include "call/routing_view.h"
#include "distribution/distribution.h"
#include "feed/operator_reader.h"
#include "feed/record_keeper.h"
#include "membership/membership.h"
#include "model/log_event.h"
#include "move/move_table.h"
#include "settings_generated.h"
#include "store/config_writer.h"
#include "store/contacts.h"
#include "store/head_reader.h"

#include <map>
#include <optional>
#include <vector>

/// The control side of one node: all decision libraries joined into one state that is stepped by
/// events. The node steps it with real links and a real store; scenarios step many of it in virtual
/// time over fakes. No clock, no thread, no socket.
namespace cyclamenhatch::control {

/// What a step wants done.
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
    membership::table members;
    distribution::state spread;
    store::config_writer writer;
    store::head_reader reader;
    store::contact_keeper contacts;
    /// Until then this node's duties at the store are left to others.
    instant store_away_until{};
    /// Where the operators keep their configuration in a form of their own, it is read from there,
    /// and the head and its writer stay unused.
    std::optional<feed::operator_reader> operators;
    std::optional<feed::record_keeper> records;
    moves::state moves;
    /// Milliseconds since the Unix epoch at which this process started; its first incarnation.
    std::uint64_t start_ms = 0;
    bool is_leaving = false;
    instant started;
    std::uint64_t pauses_seen = 0;
    /// When to read the store next while nothing else has made this node ready.
    instant next_fallback_read;
    /// The configuration that the other libraries were last told of.
    snapshot_ptr told;
    /// When a move's ending was last proposed, so that it is not proposed on every tick.
    std::map<moves::attempt_key, instant> close_proposed;
};

/// `seed` decides all randomness; `now` becomes the incarnation. With a dialect the configuration
/// is read as operators write it in that dialect.
[[nodiscard]] state make_state(const msg::settings_msg& settings, std::uint64_t seed, instant now,
                               const std::optional<feed::dialect>& words = std::nullopt);

/// Call about every 100 ms.
void on_tick(state& self, instant now, actions& wanted);
void on_message(state& self, const incoming& from, instant now, actions& wanted);
void on_store_response(state& self, const store::kv_response& response, instant now,
                       actions& wanted);
void submit_write(state& self, store::write_request request, instant now, actions& wanted);
void set_upstream(state& self, const msg::upstream_record_msg& upstream, instant now,
                  actions& wanted);
void record_samples(state& self, const std::vector<call::call_sample>& samples, instant now);

/// Begins an orderly shutdown: this node tells others that it leaves.
void leave(state& self, instant now, actions& wanted);

/// What the call path needs to know, built anew.
[[nodiscard]] call::routing_view make_routing_view(const state& self, instant now);

} // namespace cyclamenhatch::control

#pragma once

#include "model/random.h"
#include "model/time.h"
#include "settings_generated.h"

#include <cstdint>

/// Decisions about one link: when to ping, when it counts as silent, when to dial again.
namespace cyclamenhatch::wire {

/// What has happened on a link so far.
struct link_times {
    instant opened;
    instant last_received;
    /// Last time that anything but a ping or pong was sent or received.
    instant last_used;
    /// Last time that a message of a call was sent or received.
    instant last_call;
    /// Last time that anything was sent that the peer must answer or acknowledge.
    instant last_sent;
    instant last_ping;
    /// Last time that a full socket took more: the peer's system acknowledged what filled it.
    instant last_progress;
    /// The first ping after last_received, while last_ping is later than that.
    instant unanswered_since;
    bool is_established = false;
};

enum class link_step { none, ping, dial_spare, close_silent, close_idle, close_unconnected };

/// Last sign that the connection works: bytes that came, or room for more of ours.
[[nodiscard]] instant last_sign(const link_times& times);

/// Whether a spare that is answered proves that the doubted link is silent: no sign since the dial.
[[nodiscard]] bool is_proof_of_silence(const link_times& spare, const link_times& doubted);

/// What a link needs now. A link that carries calls is pinged whenever the peer was silent for the
/// ping interval, since an answer may be due at any time; any other only while something that was
/// sent is unanswered. So idle links cost nothing.
/// Silence alone does not tell a silent connection from a slow peer. After the silence timeout a
/// spare is to be dialled, which tells; only after the dead timeout the link is closed untested.
[[nodiscard]] link_step next_step(const link_times& times, const msg::link_settings_msg& settings,
                                  instant now);

/// Paces dialling of one address: jittered, doubling delays.
struct reconnect_pacing {
    std::uint32_t failures = 0;
    instant not_before;
};

void on_dial_failed(reconnect_pacing& pacing, const msg::link_settings_msg& settings, instant now,
                    random_source& random);

void on_dial_succeeded(reconnect_pacing& pacing);

[[nodiscard]] bool may_dial(const reconnect_pacing& pacing, instant now);

} // namespace cyclamenhatch::wire

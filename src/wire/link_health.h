#pragma once

#include "model/random.h"
#include "model/time.h"
#include "settings_generated.h"

#include <cstdint>

/// Decides when a link is pinged, when it counts as silent, and when an address is dialled again.
namespace cyclamenhatch::wire {

/// When the events that decide on a link's health last happened. Unset times are instant{}.
struct link_times {
    instant opened;
    instant last_received;
    /// Last time that anything but a hello, ping or pong was sent or received.
    instant last_used;
    /// Last time that a call's message was sent or received.
    instant last_call;
    /// Last time that anything was sent that the peer must answer or acknowledge; unset by a pong.
    instant last_sent;
    instant last_ping;
    /// Last time that a full socket accepted more bytes: the peer's kernel had acknowledged earlier
    /// ones.
    instant last_progress;
    /// When the first ping after last_received was sent; valid while last_ping > last_received.
    instant unanswered_since;
    bool is_established = false;
};

enum class link_step { none, ping, dial_spare, close_silent, close_idle, close_unconnected };

/// When the connection last showed that it works: bytes arrived, or a full socket accepted more.
[[nodiscard]] instant last_sign_of_life(const link_times& times);

/// Whether an answered spare proves the suspect link dead: it showed no sign of life since the
/// spare was dialled.
[[nodiscard]] bool is_proof_of_silence(const link_times& spare, const link_times& suspect);

/// Returns the next step for a link. A link that carries calls is pinged whenever the peer was
/// silent for the ping interval, since an answer may be due at any time. Other links are pinged
/// only while something sent is unanswered, so idle links cause no traffic. Silence alone does not
/// distinguish a dead connection from a slow peer, so after the silence timeout a spare is dialled
/// to test the link. After the dead timeout the link is closed even without a result of that test.
[[nodiscard]] link_step next_step(const link_times& times, const msg::link_settings_msg& settings,
                                  instant now);

/// Exponential backoff with jitter for dialling one address.
struct reconnect_backoff {
    std::uint32_t failures = 0;
    instant not_before;
};

void on_dial_failed(reconnect_backoff& backoff, const msg::link_settings_msg& settings, instant now,
                    random_source& random);

void on_dial_succeeded(reconnect_backoff& backoff);

[[nodiscard]] bool may_dial(const reconnect_backoff& backoff, instant now);

} // namespace cyclamenhatch::wire

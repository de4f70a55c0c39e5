#pragma once

#include "call/rate_limit.h"
#include "model/time.h"

#include <cstddef>
#include <optional>
#include <string_view>

/// Decides until when an upstream counts as cold and how fast calls may start there meanwhile. Pure
/// functions; durations are counted by the steady clock.
///
/// - A third of the upstreams is replaced under full load, or a data centre comes back, or all
///   upstreams start at once: each gets calls at the rate that its service states, spread over the
///   time, until it is warm; what finds no start is told the time of one.
/// - An upstream that may have become cold unseen counts as cold until it says otherwise, for at
///   most the service's warm-up time.
/// - The calls that start before an upstream becomes cold count too, since they may still be on
///   their way to it.
namespace cyclamenhatch::call {

/// What a service states about its cold upstreams.
struct warm_up_terms {
    /// Calls a second that a cold upstream takes from all nodes together; 0 means no limit.
    double calls_per_s = 0;
    /// How long an upstream stays cold after its start.
    milliseconds longest{0};
};

/// Why an upstream is believed to be cold.
enum class cold_reason {
    /// The upstream said so.
    stated,
    /// No connection to it could be made, so another run of it may have begun.
    unreachable,
    /// It crashed, so another run of it may have begun.
    crashed,
    /// The evacuation of its data centre was withdrawn.
    evacuation_withdrawn,
};

[[nodiscard]] std::string_view name_of(cold_reason reason);

/// Not thread safe; the caller serialises access.
struct warm_up {
    /// Nothing until the gate has the service's configuration.
    std::optional<warm_up_terms> terms;
    instant cold_until{};
    cold_reason reason = cold_reason::stated;
    /// Counts starts also while the upstream is warm.
    rate_limit starts;
    /// The start told to the last refused call.
    instant last_told{};
};

/// Sets what the service states; nothing while its configuration is unknown.
void set_terms(warm_up& state, const std::optional<warm_up_terms>& terms, instant now);

/// Another run of the upstream has begun: what started at the earlier one no longer counts.
void begin_run(warm_up& state);

/// Applies how long the upstream says that it stays cold; zero means that it is warm.
void note_stated(warm_up& state, milliseconds cold_for, instant now);

/// The upstream may have become cold: it counts as cold for the service's warm-up time, or until it
/// says otherwise.
void note_doubt(warm_up& state, cold_reason reason, instant now);

/// Whether calls are limited because the upstream is cold.
[[nodiscard]] bool is_cold(const warm_up& state, instant now);

/// How long the upstream stays cold; zero when it isn't limited.
[[nodiscard]] milliseconds cold_left(const warm_up& state, instant now);

/// Calls a second that may start now; nothing when the upstream isn't limited.
[[nodiscard]] std::optional<double> calls_per_s(const warm_up& state, instant now);

/// Records the start of a call.
void note_start(warm_up& state, instant now);

/// Time until a call may start that has `calls_ahead` others before it.
[[nodiscard]] microseconds wait_for_start(const warm_up& state, std::size_t calls_ahead,
                                          instant now);

/// The time to tell a refused call that could start after `wait` at the earliest. Refused calls are
/// told different times, as far apart as starts are, so that they don't come back together.
[[nodiscard]] milliseconds take_turn(warm_up& state, milliseconds wait, instant now);

} // namespace cyclamenhatch::call

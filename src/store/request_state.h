#pragma once

#include "model/random.h"
#include "model/time.h"
#include "store/request_budget.h"

#include <cstdint>

/// What a reader of the key-value service keeps of its requests: which one waits for an answer, how
/// the service has answered of late, and when all is read again beside an open watch.
namespace cyclamenhatch::store {

/// A request that has not been answered; an id of 0 is none.
struct pending_request {
    std::uint64_t id = 0;
    instant sent;
};

/// Whether the request has waited for so long that its response is taken as lost.
[[nodiscard]] bool is_lost(const pending_request& request, milliseconds limit, instant now);

struct service_state {
    /// Whether the last request failed.
    bool is_down = false;
    /// Failed requests in a row.
    std::uint32_t failures = 0;
    /// No request is sent before.
    instant not_before;
};

void note_success(service_state& state);
void note_failure(service_state& state, const backoff_limits& backoff, instant now,
                  random_source& random);

/// When to read again: about an interval from now, spread so that nodes do not read together.
[[nodiscard]] instant choose_next_check(milliseconds interval, instant now, random_source& random);

} // namespace cyclamenhatch::store

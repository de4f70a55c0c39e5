#pragma once

#include "model/random.h"
#include "model/time.h"
#include "store/request_budget.h"

#include <cstdint>

/// State that readers of the key-value service keep about their requests: pending requests, recent
/// failures of the service, and the time of the next full read beside an open watch.
namespace cyclamenhatch::store {

/// A request that has not been answered; the id is 0 when there is none.
struct pending_request {
    std::uint64_t id = 0;
    instant sent_at;
};

/// Whether the request has waited for `limit` or longer, so that its response counts as lost.
[[nodiscard]] bool is_lost(const pending_request& request, milliseconds limit, instant now);

struct service_state {
    /// Whether the last request failed.
    bool is_down = false;
    /// Consecutive failed requests.
    std::uint32_t failures = 0;
    /// No request is sent before this time.
    instant not_before;
};

void note_success(service_state& state);
void note_failure(service_state& state, const backoff_limits& backoff, instant now,
                  random_source& random);

/// When to read again: `interval` from now, varied at random by a quarter either way, so that nodes
/// do not read at the same time.
[[nodiscard]] instant choose_next_check(milliseconds interval, instant now, random_source& random);

} // namespace cyclamenhatch::store

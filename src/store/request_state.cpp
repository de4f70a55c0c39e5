#include "store/request_state.h"

namespace cyclamenhatch::store {

bool is_lost(const pending_request& request, milliseconds limit, instant now) {
    return request.id != 0 && now - request.sent_at >= limit;
}

void note_success(service_state& state) {
    state.is_down = false;
    state.failures = 0;
}

void note_failure(service_state& state, const backoff_limits& backoff, instant now,
                  random_source& random) {
    state.is_down = true;
    ++state.failures;
    state.not_before = now + backoff_delay(backoff, state.failures, random);
}

instant choose_next_check(milliseconds interval, instant now, random_source& random) {
    std::uniform_int_distribution<std::int64_t> distribution(interval.count() * 3 / 4,
                                                             interval.count() * 5 / 4);
    return now + milliseconds{distribution(random)};
}

} // namespace cyclamenhatch::store

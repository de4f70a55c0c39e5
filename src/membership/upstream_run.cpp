#include "membership/upstream_run.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::membership {
namespace {

bool is_same_run(const upstream_run& run, const msg::upstream_record_msg& heard) {
    if (run.instance != heard.instance) {
        return false;
    }
    if (run.started_ms > 0 && heard.started_ms > 0) {
        return run.started_ms == heard.started_ms;
    }
    // Of a run that left before anything else was heard of it the start is not known: one that
    // began later is another.
    const bool is_later =
        run.has_left && run.started_ms == 0 &&
        heard.started_ms >
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_unix_ms(run.heard_at)));
    return !is_later;
}

bool is_older_run(const upstream_run& run, const msg::upstream_record_msg& heard) {
    return run.started_ms > 0 && heard.started_ms > 0 && heard.started_ms < run.started_ms;
}

bool is_leaving(msg::upstream_state state) {
    return state == msg::upstream_state::draining || state == msg::upstream_state::gone;
}

} // namespace

bool take_announcement(upstream_run& run, const msg::upstream_record_msg& heard, instant now) {
    if (is_older_run(run, heard)) {
        return false;
    }
    if (is_same_run(run, heard)) {
        // Without an instance id a new run cannot be told from the one that left.
        const bool returns =
            !run.instance.empty() && is_leaving(run.state) && !is_leaving(heard.state);
        const bool is_repeated = heard.sequence > 0 && heard.sequence <= run.sequence;
        if (run.has_left || returns || is_repeated) {
            return false;
        }
    }
    run = {.instance = heard.instance,
           .started_ms = heard.started_ms,
           .sequence = heard.sequence,
           .state = heard.state,
           .has_left = !heard.instance.empty() && heard.state == msg::upstream_state::gone,
           .heard_at = now};
    return true;
}

bool take_leave(upstream_run& run, const std::string& instance, instant now) {
    const bool is_first_word = run.instance.empty() && run.state == msg::upstream_state::none;
    if (run.instance != instance && !is_first_word) {
        return false;
    }
    run.instance = instance;
    run.state = msg::upstream_state::gone;
    run.has_left = true;
    run.heard_at = now;
    return true;
}

std::optional<msg::upstream_record_msg> end_run(upstream_run& run,
                                                std::optional<msg::upstream_record_msg>& held,
                                                const msg::upstream_record_msg* told,
                                                const std::string& instance, instant now) {
    if (!take_leave(run, instance, now)) {
        return std::nullopt;
    }
    auto left = std::exchange(held, std::nullopt);
    if (told != nullptr) {
        left = *told;
    }
    if (left) {
        left->state = msg::upstream_state::gone;
    }
    return left;
}

} // namespace cyclamenhatch::membership

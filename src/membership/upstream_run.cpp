#include "membership/upstream_run.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::membership {
namespace {

bool is_same_run(const upstream_run& run, const msg::upstream_record_msg& announcement) {
    if (run.instance != announcement.instance) {
        return false;
    }
    if (run.started_ms > 0 && announcement.started_ms > 0) {
        return run.started_ms == announcement.started_ms;
    }
    // The start of a run is unknown if its leave was received before any announcement. A run that
    // started after the leave was received is another one.
    const bool is_later =
        run.has_left && run.started_ms == 0 &&
        announcement.started_ms >
            static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_unix_ms(run.updated_at)));
    return !is_later;
}

bool is_older_run(const upstream_run& run, const msg::upstream_record_msg& announcement) {
    return run.started_ms > 0 && announcement.started_ms > 0 &&
           announcement.started_ms < run.started_ms;
}

bool is_leaving(msg::upstream_state state) {
    return state == msg::upstream_state::draining || state == msg::upstream_state::gone;
}

/// Announcements by which a replaced run shows that it is still there; a single one may be late.
constexpr int announcements_to_return = 2;

/// Counts an announcement of the run that was replaced. Whether it takes its place again.
bool does_return(upstream_run& run, const msg::upstream_record_msg& announcement, instant now,
                 milliseconds silence) {
    auto& replaced = run.replaced;
    const bool is_replaced = replaced && replaced->instance == announcement.instance &&
                             replaced->started_ms == announcement.started_ms;
    if (!is_replaced || announcement.sequence <= replaced->sequence) {
        return false;
    }
    if (is_leaving(announcement.state)) {
        replaced.reset();
        return false;
    }
    replaced->sequence = announcement.sequence;
    ++replaced->announcements;
    return replaced->announcements >= announcements_to_return && now - run.updated_at >= silence;
}

/// Whether the services decide that one run goes before another, whichever started later. A service
/// that is not known does not count.
bool has_precedence(const std::string& service, const std::string& other,
                    const replacement_rules& rules) {
    return rules.is_configured && !other.empty() && rules.is_configured(service) &&
           !rules.is_configured(other);
}

/// What remains known of the runs before the one that is announced.
std::optional<replaced_run> find_replaced(const upstream_run& run, bool is_same, bool is_return) {
    if (is_return) {
        return std::nullopt;
    }
    if (is_same) {
        auto replaced = run.replaced;
        if (replaced) {
            replaced->announcements = 0;
        }
        return replaced;
    }
    if (run.instance.empty() || run.has_left || is_leaving(run.state)) {
        return std::nullopt;
    }
    return replaced_run{
        .instance = run.instance, .started_ms = run.started_ms, .sequence = run.sequence};
}

/// The last known record of the run with its final state; nothing when the run was never announced.
std::optional<msg::upstream_record_msg>
make_final_record(std::optional<msg::upstream_record_msg>& pending,
                  const msg::upstream_record_msg* last_sent, msg::upstream_state state) {
    auto record = std::exchange(pending, std::nullopt);
    if (last_sent != nullptr) {
        record = *last_sent;
    }
    if (record) {
        record->state = state;
        record->leaves = !record->instance.empty();
    }
    return record;
}

} // namespace

bool apply_announcement(upstream_run& run, const msg::upstream_record_msg& announcement,
                        instant now, const replacement_rules& rules) {
    const bool is_same = is_same_run(run, announcement);
    if (!is_same && has_precedence(run.service, announcement.service, rules)) {
        return false;
    }
    const bool is_first_configured =
        !is_same && has_precedence(announcement.service, run.service, rules);
    const bool is_late = !is_first_configured && is_older_run(run, announcement);
    const bool is_return = is_late && does_return(run, announcement, now, rules.silence);
    if (is_late && !is_return) {
        return false;
    }
    if (is_same) {
        // Without an instance id a new run cannot be distinguished from the one that left.
        const bool is_returning =
            !run.instance.empty() && is_leaving(run.state) && !is_leaving(announcement.state);
        const bool is_repeated = announcement.sequence > 0 && announcement.sequence <= run.sequence;
        if (run.has_left || is_returning || is_repeated) {
            return false;
        }
    }
    run = {.instance = announcement.instance,
           .service = announcement.service,
           .started_ms = announcement.started_ms,
           .sequence = announcement.sequence,
           .state = announcement.state,
           .has_left =
               !announcement.instance.empty() && announcement.state == msg::upstream_state::gone,
           .updated_at = now,
           .replaced = find_replaced(run, is_same, is_return || is_first_configured)};
    return true;
}

bool has_announced_leave(const upstream_run& run) {
    return !run.instance.empty() && (run.has_left || is_leaving(run.state));
}

bool record_leave(upstream_run& run, const std::string& instance, instant now) {
    const bool is_first_report = run.instance.empty() && run.state == msg::upstream_state::none;
    if (run.replaced && run.replaced->instance == instance) {
        run.replaced.reset();
    }
    if (run.instance != instance && !is_first_report) {
        return false;
    }
    run.instance = instance;
    run.state = msg::upstream_state::gone;
    run.has_left = true;
    run.updated_at = now;
    return true;
}

std::optional<msg::upstream_record_msg> drain_run(upstream_run& run,
                                                  std::optional<msg::upstream_record_msg>& pending,
                                                  const msg::upstream_record_msg* last_sent,
                                                  const std::string& instance, instant now) {
    if (run.instance != instance || run.has_left || is_leaving(run.state)) {
        return std::nullopt;
    }
    run.state = msg::upstream_state::draining;
    run.updated_at = now;
    return make_final_record(pending, last_sent, msg::upstream_state::draining);
}

std::optional<msg::upstream_record_msg> end_run(upstream_run& run,
                                                std::optional<msg::upstream_record_msg>& pending,
                                                const msg::upstream_record_msg* last_sent,
                                                const std::string& instance, instant now) {
    if (!record_leave(run, instance, now)) {
        return std::nullopt;
    }
    auto record = make_final_record(pending, last_sent, msg::upstream_state::gone);
    if (!record && !instance.empty()) {
        // No announcement has told when the run started. Runs that started before now have left.
        run.started_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_unix_ms(now)));
        record = msg::upstream_record_msg{};
        record->instance = instance;
        record->started_ms = run.started_ms;
        record->state = msg::upstream_state::gone;
        record->leaves = true;
    }
    return record;
}

} // namespace cyclamenhatch::membership

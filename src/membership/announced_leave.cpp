#include "membership/announced_leave.h"

#include <memory>

namespace cyclamenhatch::membership {
namespace {

/// Whether a run is the one that left, or an earlier run of the same instance. One whose start is
/// not known is not taken for a later run.
bool is_run_that_left(const msg::upstream_record_msg& left, const std::string& instance,
                      std::uint64_t started_ms) {
    if (left.instance != instance) {
        return false;
    }
    return left.started_ms == 0 ? started_ms == 0 : started_ms <= left.started_ms;
}

} // namespace

bool is_lasting_leave(const msg::upstream_record_msg* record) {
    return record != nullptr && record->leaves && !record->instance.empty();
}

leave_fit keep_leave(msg::member_record_msg& newer, const msg::upstream_record_msg* known) {
    if (!is_lasting_leave(known)) {
        return leave_fit::consistent;
    }
    if (!newer.upstream) {
        newer.upstream = std::make_unique<msg::upstream_record_msg>(*known);
        return leave_fit::missing;
    }
    auto& upstream = *newer.upstream;
    if (upstream.leaves || !is_run_that_left(*known, upstream.instance, upstream.started_ms)) {
        return leave_fit::consistent;
    }
    upstream = *known;
    return leave_fit::contradicted;
}

bool recover_leave(upstream_run& run, const msg::upstream_record_msg* own_record, instant now) {
    if (!is_lasting_leave(own_record) || has_announced_leave(run)) {
        return false;
    }
    const bool is_unknown = run.instance.empty() && run.state == msg::upstream_state::none;
    if (!is_unknown && !is_run_that_left(*own_record, run.instance, run.started_ms)) {
        return false;
    }
    if (run.started_ms != own_record->started_ms) {
        run.sequence = 0;
    }
    run.instance = own_record->instance;
    run.service = own_record->service;
    run.started_ms = own_record->started_ms;
    run.state = own_record->state;
    run.has_left = own_record->state == msg::upstream_state::gone;
    run.updated_at = now;
    return true;
}

} // namespace cyclamenhatch::membership

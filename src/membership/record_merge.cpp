#include "membership/record_merge.h"

#include "membership/announced_leave.h"
#include "membership/updates.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::membership {
namespace {

void merge_own(table& state, const msg::member_record_msg& record) {
    const bool is_recovered =
        keep_leave(state.self, record.upstream.get()) != leave_fit::consistent;
    const bool is_ahead = record.incarnation > state.self.incarnation;
    const bool is_false =
        record.incarnation == state.self.incarnation && record.state > state.self.state;
    if (is_ahead || is_false || is_recovered) {
        renew_self(state, record.incarnation);
    }
}

bool insert_record(table& state, const msg::member_record_msg& record, record_source source,
                   instant now) {
    // Tombstones of unknown members in pages would be renewed from node to node forever.
    if (!is_live(record) && source == record_source::page) {
        return false;
    }
    const node_id node{record.node};
    state.members.emplace(node, member{.record = record, .since = now});
    ++state.generation;
    // For the same reason an unknown tombstone in an update is kept but not forwarded.
    const bool is_announced = source == record_source::update || state.has_joined;
    if (is_live(record) && is_announced) {
        queue_update(state, node);
    }
    return true;
}

/// Whether the member has been suspect here for half of suspicion_ms, time enough to refute, so
/// that another member's claim of its death is believed.
bool can_declare_dead(const table& state, const member& existing, instant now) {
    return existing.record.state == msg::liveness::suspect &&
           now - existing.since >= milliseconds{state.settings.suspicion_ms} / 2;
}

void replace_record(table& state, member& existing, const msg::member_record_msg& record,
                    instant now) {
    const auto before = existing.record.state;
    const auto known_upstream = std::move(existing.record.upstream);
    existing.record = record;
    if (keep_leave(existing.record, known_upstream.get()) == leave_fit::contradicted) {
        existing.must_learn_leave = true;
        existing.wants_recheck = true;
    }
    if (record.state == msg::liveness::dead && before == msg::liveness::alive) {
        existing.record.state = msg::liveness::suspect;
    }
    const bool is_same_state = existing.record.state == before;
    existing.is_own_suspicion = false;
    existing.since = is_same_state ? existing.since : now;
    ++state.generation;
    queue_update(state, node_id{record.node});
}

} // namespace

bool is_live(const msg::member_record_msg& record) {
    return record.state == msg::liveness::alive || record.state == msg::liveness::suspect;
}

void renew_self(table& state, std::uint64_t floor) {
    state.self.incarnation = std::max(state.self.incarnation, floor) + 1;
    ++state.generation;
    queue_update(state, node_id{state.self.node});
}

void set_liveness(table& state, member& target, msg::liveness liveness, instant now) {
    if (target.record.state == liveness) {
        return;
    }
    target.record.state = liveness;
    target.since = now;
    ++state.generation;
    queue_update(state, node_id{target.record.node});
}

bool merge_record(table& state, const msg::member_record_msg& record, record_source source,
                  instant now) {
    if (record.node.empty()) {
        return false;
    }
    if (record.node == state.self.node) {
        merge_own(state, record);
        return false;
    }
    const auto it = state.members.find(node_id{record.node});
    if (it == state.members.end()) {
        return insert_record(state, record, source, now);
    }
    member& existing = it->second;
    if (record.incarnation > existing.record.incarnation) {
        replace_record(state, existing, record, now);
        return true;
    }
    const bool is_same_incarnation = record.incarnation == existing.record.incarnation;
    if (is_same_incarnation && is_live(record) && !is_live(existing.record)) {
        existing.wants_recheck = true;
    }
    if (!is_same_incarnation || record.state <= existing.record.state) {
        return false;
    }
    if (record.state != msg::liveness::dead) {
        set_liveness(state, existing, record.state, now);
    } else if (can_declare_dead(state, existing, now)) {
        set_liveness(state, existing, msg::liveness::dead, now);
    } else if (existing.record.state == msg::liveness::alive) {
        set_liveness(state, existing, msg::liveness::suspect, now);
    }
    return true;
}

} // namespace cyclamenhatch::membership

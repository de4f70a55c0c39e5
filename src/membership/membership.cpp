#include "membership/membership.h"

#include "membership/announced_leave.h"
#include "membership/joiner.h"
#include "membership/prober.h"
#include "membership/record_merge.h"
#include "membership/updates.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::membership {
namespace {

/// Members that are sent a leave directly; they spread it to the others.
constexpr std::size_t leave_fan_out = 8;

/// This node's own record, for these members.
std::vector<outgoing> push_self(const table& state,
                                const std::vector<const msg::member_record_msg*>& receivers) {
    std::vector<outgoing> sends;
    for (const auto* receiver : receivers) {
        record_list updates;
        updates.push_back(std::make_unique<msg::member_record_msg>(state.self));
        sends.push_back(make_push(*receiver, std::move(updates)));
    }
    return sends;
}

/// This node's own record, for a few random members.
std::vector<outgoing> push_self(const table& state, random_source& random) {
    return push_self(state, choose_members(state, leave_fan_out, random));
}

/// Detects a pause of this process. Its timers ran on meanwhile, so it must not suspect members
/// that it could not hear.
void notice_pause(table& state, instant now) {
    const auto gap = now - state.last_tick;
    state.last_tick = now;
    if (gap <= milliseconds{state.settings.pause_ms}) {
        return;
    }
    ++state.pauses;
    reset_probes(state, now);
    renew_self(state, 0);
    start_sync(state, now);
}

bool is_live_member(const table& state, const node_id& node) {
    const auto it = state.members.find(node);
    return it != state.members.end() && is_live(it->second.record);
}

/// The records piggybacked on a membership message; null for other kinds.
const record_list* updates_of(const peer_message& message) {
    if (const auto* probe = std::get_if<msg::probe_msg>(&message)) {
        return &probe->updates;
    }
    if (const auto* answer = std::get_if<msg::probe_ack_msg>(&message)) {
        return &answer->updates;
    }
    if (const auto* request = std::get_if<msg::member_sync_msg>(&message)) {
        return &request->updates;
    }
    return nullptr;
}

void merge_updates(table& state, const incoming& message, instant now) {
    const auto* updates = updates_of(message.message);
    if (updates == nullptr) {
        return;
    }
    const bool was_departed =
        state.members.contains(message.from) && !is_live_member(state, message.from);
    for (const auto& record : *updates) {
        if (record) {
            merge_record(state, *record, record_source::update, now);
        }
    }
    if (was_departed && is_live_member(state, message.from)) {
        accelerate_rejoins(state, now);
    }
}

} // namespace

table make_table(const msg::membership_settings_msg& settings, msg::member_record_msg self,
                 const std::vector<peer_address>& contacts, instant now) {
    table state;
    state.settings = settings;
    state.self = std::move(self);
    state.last_tick = now;
    state.next_probe = now;
    state.next_rejoin = now;
    state.next_audit = now + seconds{10};
    state.push_refilled = now;
    add_contacts(state, contacts, now);
    queue_update(state, node_id{state.self.node});
    start_sync(state, now);
    return state;
}

std::vector<outgoing> on_tick(table& state, instant now, random_source& random) {
    std::vector<outgoing> sends;
    if (state.self.state == msg::liveness::left) {
        return sends;
    }
    notice_pause(state, now);
    tick_probes(state, now, random, sends);
    tick_joins(state, now, random, sends);
    push_updates(state, now, random, sends);
    return sends;
}

std::vector<outgoing> on_message(table& state, const incoming& message, instant now,
                                 random_source& random) {
    std::vector<outgoing> sends;
    merge_updates(state, message, now);
    if (const auto* probe = std::get_if<msg::probe_msg>(&message.message)) {
        answer_probe(state, message.from, *probe, now, sends);
    } else if (const auto* answer = std::get_if<msg::probe_ack_msg>(&message.message)) {
        settle_probe(state, message.from, *answer, sends);
    } else if (const auto* request = std::get_if<msg::member_sync_msg>(&message.message)) {
        answer_sync(state, message.from, *request, now, sends);
    } else if (const auto* page = std::get_if<msg::member_page_msg>(&message.message)) {
        merge_page(state, *page, now, random, sends);
    }
    return sends;
}

std::vector<outgoing> set_upstream(table& state, const msg::upstream_record_msg& upstream,
                                   instant /*now*/, random_source& random) {
    state.self.upstream = std::make_unique<msg::upstream_record_msg>(upstream);
    renew_self(state, 0);
    return is_lasting_leave(&upstream) ? push_self(state, random) : std::vector<outgoing>{};
}

void recover_own_leave(table& state, const msg::upstream_record_msg& leave) {
    if (keep_leave(state.self, &leave) != leave_fit::consistent) {
        renew_self(state, 0);
    }
}

void set_attended(table& state, std::vector<node_id> members) {
    state.attended = std::move(members);
}

std::vector<outgoing> set_store_unreachable(table& state, bool is_unreachable,
                                            const std::vector<node_id>& receivers) {
    if (state.self.store_away == is_unreachable) {
        return {};
    }
    state.self.store_away = is_unreachable;
    renew_self(state, 0);
    std::vector<const msg::member_record_msg*> told;
    for (const auto& receiver : receivers) {
        if (is_live_member(state, receiver)) {
            told.push_back(find_record(state, receiver));
        }
    }
    return push_self(state, told);
}

std::vector<outgoing> leave(table& state, instant /*now*/, random_source& random) {
    state.self.state = msg::liveness::left;
    renew_self(state, 0);
    return push_self(state, random);
}

void add_contacts(table& state, const std::vector<peer_address>& contacts, instant now) {
    const auto own = link_address(state.self);
    const auto known_count = state.contacts.size();
    for (const auto& contact : contacts) {
        const bool is_known = std::find(state.contacts.begin(), state.contacts.end(), contact) !=
                              state.contacts.end();
        if (!is_known && contact != own) {
            state.contacts.push_back(contact);
        }
    }
    if (state.contacts.size() > known_count) {
        note_new_contacts(state, now);
    }
}

const msg::member_record_msg* find_record(const table& state, const node_id& node) {
    if (node.value == state.self.node) {
        return &state.self;
    }
    const auto it = state.members.find(node);
    return it == state.members.end() ? nullptr : &it->second.record;
}

peer_address link_address(const msg::member_record_msg& record) {
    return {.ip = record.ip, .port = record.link_port};
}

std::vector<const msg::member_record_msg*> live_records(const table& state) {
    std::vector<const msg::member_record_msg*> records;
    records.reserve(state.members.size() + 1);
    bool is_self_placed = state.self.state == msg::liveness::left;
    for (const auto& [node, other] : state.members) {
        if (!is_self_placed && state.self.node < node.value) {
            records.push_back(&state.self);
            is_self_placed = true;
        }
        if (is_live(other.record)) {
            records.push_back(&other.record);
        }
    }
    if (!is_self_placed) {
        records.push_back(&state.self);
    }
    return records;
}

} // namespace cyclamenhatch::membership

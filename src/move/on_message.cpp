#include "move/move_table.h"
#include "move/node_share.h"
#include "move/plan.h"
#include "move/spreading.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Largest number of records before attempts without a configuration are ignored.
constexpr std::size_t max_records = 256;
/// Ages above this are not credible: a year.
constexpr std::uint64_t max_age_ms = 365ULL * 24 * 3600 * 1000;

template <class Message> attempt_key key_of(const Message& message) {
    return {.service = service_id(message.service),
            .name = move_id(message.move),
            .attempt = message.attempt};
}

bool is_ended(const state& self, const attempt_key& key) {
    return std::any_of(self.ended.begin(), self.ended.end(), [&](const ended_move& ended) {
        return ended.planned.service == key.service && ended.planned.name == key.name &&
               ended.planned.attempt >= key.attempt;
    });
}

bool accepts_records_of(const state& self, const attempt_key& key) {
    if (self.open.contains(key) || self.records.contains(key)) {
        return true;
    }
    return self.records.size() < max_records && !is_ended(self, key);
}

void merge_permit(state& self, const msg::move_permit_msg& message, instant now) {
    const attempt_key key = key_of(message);
    if (message.age_ms > 0 && message.age_ms <= max_age_ms) {
        set_begin(self, key, now - milliseconds(message.age_ms));
    }
    if (message.stage == 0 || message.share_permille > full_share_permille ||
        !accepts_records_of(self, key)) {
        return;
    }
    attempt_record& record = self.records[key];
    if (merge(record, from_message(message))) {
        record.times_sent = 0;
    }
}

void merge_veto(state& self, const membership::table& members, const msg::move_veto_msg& message,
                actions& out) {
    const attempt_key key = key_of(message);
    const veto raised = from_message(message);
    if (!accepts_records_of(self, key) ||
        membership::find_record(members, raised.raised_by) == nullptr) {
        return;
    }
    raise_veto(self, key, raised, out);
}

/// Sends what this node knows beyond a message. Two nodes may differ for long, since a veto of an
/// unknown member or beyond max_raisers is not stored, so answers themselves are not answered.
void answer_state(const state& self, const membership::table& members, const node_id& sender_id,
                  const msg::move_state_msg& message, instant now, actions& out) {
    const auto missing = find_missing(self.records, message);
    const auto* sender = membership::find_record(members, sender_id);
    if (missing.empty() || sender == nullptr) {
        return;
    }
    auto answer = make_state_message(missing, now);
    answer.answer = true;
    out.sends.push_back({.to = sender_id,
                         .address = membership::link_address(*sender),
                         .message = std::move(answer)});
}

void on_state(state& self, const membership::table& members, const node_id& sender_id,
              const msg::move_state_msg& message, instant now, actions& out) {
    for (const auto& permit_message : message.permits) {
        if (permit_message) {
            merge_permit(self, *permit_message, now);
        }
    }
    for (const auto& veto_message : message.vetoes) {
        if (veto_message) {
            merge_veto(self, members, *veto_message, out);
        }
    }
    for (auto& [key, open] : self.open) {
        refresh_share(self, key, open, now);
    }
    if (!message.answer) {
        answer_state(self, members, sender_id, message, now, out);
    }
}

/// Whether a veto has not been sent to anyone yet; it is sent without waiting for the next tick.
bool has_unsent_veto(const state& self) {
    return std::any_of(self.records.begin(), self.records.end(), [](const auto& entry) {
        return entry.second.times_sent == 0 && !entry.second.vetoes.empty();
    });
}

void on_evidence(state& self, const membership::table& members, const node_id& sender_id,
                 const msg::move_evidence_msg& message, instant now) {
    const auto it = self.open.find(key_of(message));
    if (it == self.open.end()) {
        return;
    }
    open_move& open = it->second;
    const report received = from_message(message, open.planned.new_version);
    if (is_group(received.source)) {
        accept(open.control.collected, received, now);
        return;
    }
    const auto* sender = membership::find_record(members, sender_id);
    if (received.source != sender_id.value || received.sources != 1 || sender == nullptr) {
        return;
    }
    if (!open.current_topology.is_combined) {
        accept(open.control.collected, received, now);
        return;
    }
    const data_centre_id data_centre(sender->data_centre);
    const auto live = membership::live_records(members);
    const auto count = std::count_if(live.begin(), live.end(), [&](const auto* member) {
        return member->data_centre == data_centre.value;
    });
    combined_group& group =
        open.groups[group_name(data_centre, sender_id, static_cast<std::size_t>(count))];
    if (group.collected.begun == instant{}) {
        group.collected.begun = open.evidence.begun;
    }
    accept(group.collected, received, now);
}

} // namespace

void on_message(state& self, const membership::table& members, const incoming& received,
                instant now, random_source& random, actions& out) {
    if (const auto* state_message = std::get_if<msg::move_state_msg>(&received.message)) {
        on_state(self, members, received.from, *state_message, now, out);
        if (has_unsent_veto(self)) {
            send_news(self.records, members, now, random, out.sends);
        }
    } else if (const auto* evidence = std::get_if<msg::move_evidence_msg>(&received.message)) {
        on_evidence(self, members, received.from, *evidence, now);
    }
}

} // namespace cyclamenhatch::moves

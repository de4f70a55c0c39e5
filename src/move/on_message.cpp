#include "move/move_table.h"
#include "move/node_share.h"
#include "move/plan.h"
#include "move/spreading.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Attempts kept of which the configuration has not arrived yet.
constexpr std::size_t max_records = 256;

template <class Message> attempt_key key_of(const Message& from) {
    return {
        .service = service_id(from.service), .name = move_id(from.move), .attempt = from.attempt};
}

bool is_ended(const state& self, const attempt_key& key) {
    return std::any_of(self.ended.begin(), self.ended.end(), [&](const ended_move& each) {
        return each.planned.service == key.service && each.planned.name == key.name &&
               each.planned.attempt >= key.attempt;
    });
}

bool is_wanted(const state& self, const attempt_key& key) {
    if (self.open.contains(key) || self.records.contains(key)) {
        return true;
    }
    return self.records.size() < max_records && !is_ended(self, key);
}

void merge_permit(state& self, const msg::move_permit_msg& heard) {
    const attempt_key key = key_of(heard);
    if (heard.stage == 0 || heard.share_permille > full_share_permille || !is_wanted(self, key)) {
        return;
    }
    attempt_record& record = self.records[key];
    if (merge(record, from_message(heard))) {
        record.times_sent = 0;
    }
}

void merge_veto(state& self, const membership::table& members, const msg::move_veto_msg& heard,
                actions& wanted) {
    const attempt_key key = key_of(heard);
    const veto raised = from_message(heard);
    if (!is_wanted(self, key) || membership::find_record(members, raised.raised_by) == nullptr) {
        return;
    }
    raise_veto(self, key, raised, wanted);
}

void on_state(state& self, const membership::table& members, const node_id& from,
              const msg::move_state_msg& heard, instant now, actions& wanted) {
    for (const auto& each : heard.permits) {
        if (each) {
            merge_permit(self, *each);
        }
    }
    for (const auto& each : heard.vetoes) {
        if (each) {
            merge_veto(self, members, *each, wanted);
        }
    }
    for (auto& [key, open] : self.open) {
        refresh_share(self, key, open, now);
    }
    const auto answer = lacking(self.records, heard);
    const auto* sender = membership::find_record(members, from);
    if (!answer.empty() && sender != nullptr) {
        wanted.sends.push_back({.to = from,
                                .address = membership::link_address(*sender),
                                .message = make_state_message(answer)});
    }
}

/// A veto that nobody was told of yet goes on without waiting for the next tick.
bool has_fresh_veto(const state& self) {
    return std::any_of(self.records.begin(), self.records.end(), [](const auto& each) {
        return each.second.times_sent == 0 && !each.second.vetoes.empty();
    });
}

void on_evidence(state& self, const membership::table& members, const node_id& from,
                 const msg::move_evidence_msg& heard, instant now) {
    const auto found = self.open.find(key_of(heard));
    if (found == self.open.end()) {
        return;
    }
    open_move& open = found->second;
    const report read = from_message(heard, open.planned.to);
    if (is_group(read.source)) {
        accept(open.control.collected, read, now);
        return;
    }
    const auto* sender = membership::find_record(members, from);
    if (read.source != from.value || read.sources != 1 || sender == nullptr) {
        return;
    }
    if (!open.around.is_combined) {
        accept(open.control.collected, read, now);
        return;
    }
    const data_centre_id there(sender->data_centre);
    const auto live = membership::live_records(members);
    const auto count = std::count_if(live.begin(), live.end(), [&](const auto* each) {
        return each->data_centre == there.value;
    });
    combined_group& group = open.groups[group_name(there, from, static_cast<std::size_t>(count))];
    if (group.collected.begun == instant{}) {
        group.collected.begun = open.evidence.begun;
    }
    accept(group.collected, read, now);
}

} // namespace

void on_message(state& self, const membership::table& members, const incoming& from, instant now,
                random_source& random, actions& wanted) {
    if (const auto* heard = std::get_if<msg::move_state_msg>(&from.message)) {
        on_state(self, members, from.from, *heard, now, wanted);
        if (has_fresh_veto(self)) {
            send_news(self.records, members, random, wanted.sends);
        }
    } else if (const auto* evidence = std::get_if<msg::move_evidence_msg>(&from.message)) {
        on_evidence(self, members, from.from, *evidence, now);
    }
}

} // namespace cyclamenhatch::moves

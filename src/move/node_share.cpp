#include "move/node_share.h"
#include "move/plan.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// An entry that holds back a version still sends it the permitted share divided by this, so that
/// evidence keeps arriving.
constexpr std::uint32_t held_back_divisor = 10;

std::uint32_t current_share(const state& self, const attempt_key& key, const open_move& open,
                            instant now) {
    const attempt_record& record = find_record(self, key);
    const bool has_own_veto = record.vetoes.contains(self.self) && !is_recorded_done(record);
    if (has_own_veto || find_veto(record) != nullptr || !record.granted) {
        return 0;
    }
    if (open.current_topology.ready.on_new == 0 && open.current_topology.ready.on_old > 0) {
        return 0;
    }
    const std::uint32_t permitted = std::min(record.granted->permille, full_share_permille);
    if (now < open.held_back_until) {
        return std::max(permitted / held_back_divisor, std::min(permitted, 1U));
    }
    return permitted;
}

} // namespace

void refresh_share(const state& self, const attempt_key& key, open_move& open, instant now) {
    open.permille = current_share(self, key, open, now);
    close_windows(open.evidence, open.permille, now);
}

const attempt_record& find_record(const state& self, const attempt_key& key) {
    static const attempt_record empty;
    const auto it = self.records.find(key);
    return it == self.records.end() ? empty : it->second;
}

void set_begin(state& self, const attempt_key& key, instant begun) {
    const auto open = self.open.find(key);
    if (open == self.open.end()) {
        return;
    }
    const auto known = find_record(self, key).begun;
    if (known && (!open->second.is_resumed || *known <= begun)) {
        return;
    }
    self.records[key].begun = begun;
    auto& planned = open->second.planned;
    if (planned.duration.count() > 0) {
        planned.deadline = begun + planned.duration;
    }
}

void raise_veto(state& self, const attempt_key& key, const veto& raised, actions& out) {
    attempt_record& record = self.records[key];
    const bool was_taken_back = find_veto(record) != nullptr;
    if (!merge(record, raised)) {
        return;
    }
    record.times_sent = 0;
    if (was_taken_back || find_veto(record) == nullptr) {
        return;
    }
    out.logs.push_back(make_log(key, log_level::warning, "move_vetoed",
                                {{"reason", std::string(reason_text(raised.reason))},
                                 {"route", raised.route.value},
                                 {"detail", raised.detail},
                                 {"raised_by", raised.raised_by.value}}));
}

log_event make_log(const attempt_key& key, log_level level, std::string name,
                   std::vector<log_field> fields) {
    log_event event{.level = level,
                    .name = std::move(name),
                    .fields = {{"service", key.service.value},
                               {"move", key.name.value},
                               {"attempt", std::to_string(key.attempt)}}};
    event.fields.insert(event.fields.end(), fields.begin(), fields.end());
    return event;
}

} // namespace cyclamenhatch::moves

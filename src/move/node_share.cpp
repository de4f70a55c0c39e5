#include "move/node_share.h"
#include "move/plan.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Calls that an entry still sends to a version it holds back, so that evidence goes on.
constexpr std::uint32_t held_back_divisor = 10;

std::uint32_t current_share(const state& self, const attempt_key& key, const open_move& open,
                            instant now) {
    const attempt_record& known = find_record(self, key);
    const bool has_own_veto = known.vetoes.contains(self.self);
    if (has_own_veto || find_veto(known) != nullptr || !known.granted) {
        return 0;
    }
    if (open.around.ready.on_new == 0 && open.around.ready.on_old > 0) {
        return 0;
    }
    const std::uint32_t permitted = std::min(known.granted->permille, full_share_permille);
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
    static const attempt_record nothing;
    const auto found = self.records.find(key);
    return found == self.records.end() ? nothing : found->second;
}

void raise_veto(state& self, const attempt_key& key, const veto& raised, actions& wanted) {
    attempt_record& record = self.records[key];
    const bool was_taken_back = find_veto(record) != nullptr;
    if (!merge(record, raised)) {
        return;
    }
    record.times_sent = 0;
    if (was_taken_back || find_veto(record) == nullptr) {
        return;
    }
    wanted.logs.push_back(make_log(key, log_level::warning, "move_vetoed",
                                   {{"reason", std::string(reason_text(raised.reason))},
                                    {"route", raised.route.value},
                                    {"detail", raised.detail},
                                    {"raised_by", raised.raised_by.value}}));
}

log_event make_log(const attempt_key& key, log_level level, std::string name,
                   std::vector<log_field> more) {
    log_event made{.level = level,
                   .name = std::move(name),
                   .fields = {{"service", key.service.value},
                              {"move", key.name.value},
                              {"attempt", std::to_string(key.attempt)}}};
    made.fields.insert(made.fields.end(), more.begin(), more.end());
    return made;
}

} // namespace cyclamenhatch::moves

#include "move/brief.h"
#include "move/move_table.h"
#include "move/node_share.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Attempts that others told of before their configuration arrived here.
constexpr std::size_t max_unknown_records = 64;

attempt_key key_of(const move& from) {
    return {.service = from.service, .name = from.name, .attempt = from.attempt};
}

veto operator_veto(const state& self, instant now) {
    return {.reason = msg::veto_reason::operator_cancel,
            .raised_by = self.self,
            .at = from_unix_ms(to_unix_ms(now)),
            .is_confirmed = true};
}

void begin(state& self, const membership::table& members, const move& planned, instant now,
           actions& wanted) {
    const attempt_key key = key_of(planned);
    open_move& open = self.open[key];
    open.planned = planned;
    if (planned.duration.count() > 0) {
        open.planned.deadline = now + planned.duration;
    }
    open.evidence.begun = from_unix_ms(to_unix_ms(now));
    open.control.collected.begun = open.evidence.begun;
    open.control.last_step = now;
    open.around = make_topology(members, key, planned);
    self.records[key].one_raiser_suffices = is_brief(planned);
    refresh_share(self, key, open, now);
    wanted.logs.push_back(make_log(key, log_level::info, "move_opened",
                                   {{"from", planned.from.value},
                                    {"to", planned.to.value},
                                    {"deadline", format_rfc3339(open.planned.deadline)},
                                    {"ready_slots", std::to_string(open.around.ready.on_new)}}));
    for (const auto& found : check_endpoints(open.around.ready, planned)) {
        wanted.logs.push_back(make_log(key, log_level::warning, "move_endpoints",
                                       {{"field", found.path}, {"problem", found.problem}}));
    }
}

/// Leaves out what the configuration has ended or replaced.
void drop_closed(state& self, const std::map<attempt_key, const move*>& open_now, actions& wanted) {
    for (auto each = self.open.begin(); each != self.open.end();) {
        if (open_now.contains(each->first)) {
            ++each;
            continue;
        }
        wanted.logs.push_back(make_log(each->first, log_level::info, "move_closed", {}));
        each = self.open.erase(each);
    }
}

bool is_superseded(const snapshot& held, const attempt_key& key) {
    const auto part = held.sections.find(key.service);
    if (part == held.sections.end()) {
        return false;
    }
    const auto& known = part->second->content.moves;
    return std::any_of(known.begin(), known.end(), [&](const move& each) {
        return each.name == key.name &&
               (each.attempt > key.attempt || (each.attempt == key.attempt && each.ending));
    });
}

void drop_records(state& self, const snapshot& held) {
    std::size_t unknown = 0;
    std::erase_if(self.records, [&](const auto& each) {
        if (self.open.contains(each.first)) {
            return false;
        }
        return is_superseded(held, each.first) || ++unknown > max_unknown_records;
    });
}

std::map<attempt_key, const move*> list_open(state& self, const snapshot& held) {
    std::map<attempt_key, const move*> open_now;
    self.ended.clear();
    for (const auto& [service, part] : held.sections) {
        for (const move& each : part->content.moves) {
            if (each.ending) {
                self.ended.push_back({.planned = each});
            } else {
                open_now.emplace(key_of(each), &each);
            }
        }
    }
    return open_now;
}

} // namespace

void on_config(state& self, const membership::table& members, const snapshot_ptr& held, instant now,
               actions& wanted) {
    self.self = node_id(members.self.node);
    if (!held || held == self.held) {
        return;
    }
    self.held = held;
    const auto open_now = list_open(self, *held);
    drop_closed(self, open_now, wanted);
    self.by_service.clear();
    for (const auto& [key, planned] : open_now) {
        const auto found = self.open.find(key);
        if (found == self.open.end()) {
            begin(self, members, *planned, now, wanted);
        } else {
            const instant deadline = found->second.planned.deadline;
            found->second.planned = *planned;
            if (planned->duration.count() > 0) {
                found->second.planned.deadline = deadline;
            }
        }
        self.by_service[key.service] = key;
        open_move& open = self.open.at(key);
        if (planned->cancel && !find_record(self, key).vetoes.contains(self.self)) {
            raise_veto(self, key, operator_veto(self, now), wanted);
        }
        refresh_share(self, key, open, now);
        apply_record(self, key, now, wanted);
    }
    std::erase_if(self.recorded, [&](const auto& each) { return !open_now.contains(each.first); });
    drop_records(self, *held);
}

} // namespace cyclamenhatch::moves

#include "move/brief.h"
#include "move/move_table.h"
#include "move/node_share.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

/// Largest number of kept attempts whose configuration has not arrived here.
constexpr std::size_t max_unknown_records = 64;

attempt_key key_of(const move& planned) {
    return {.service = planned.service, .name = planned.name, .attempt = planned.attempt};
}

veto operator_veto(const state& self, instant now) {
    return {.reason = msg::veto_reason::operator_cancel,
            .raised_by = self.self,
            .at = from_unix_ms(to_unix_ms(now)),
            .is_confirmed = true};
}

/// `is_resumed`: the move was in the first configuration of this process, so it may have begun, or
/// even ended, before the process started.
void open_new_move(state& self, const membership::table& members, const move& planned,
                   bool is_resumed, instant now, actions& out) {
    const attempt_key key = key_of(planned);
    open_move& open = self.open[key];
    open.planned = planned;
    if (planned.duration.count() > 0) {
        open.planned.deadline = now + planned.duration;
    }
    open.evidence.begun = from_unix_ms(to_unix_ms(now));
    open.control.collected.begun = open.evidence.begun;
    open.control.last_step = now;
    open.current_topology = make_topology(members, self.config, key, planned);
    self.records[key].one_raiser_suffices = is_brief(planned);
    open.is_resumed = is_resumed;
    if (!is_resumed) {
        set_begin(self, key, now);
    }
    refresh_share(self, key, open, now);
    out.logs.push_back(
        make_log(key, log_level::info, is_resumed ? "move_resumed" : "move_opened",
                 {{"from", planned.old_version.value},
                  {"to", planned.new_version.value},
                  {"deadline", format_rfc3339(open.planned.deadline)},
                  {"ready_slots", std::to_string(open.current_topology.ready.on_new)}}));
    for (const auto& finding : check_endpoints(open.current_topology.ready, planned)) {
        out.logs.push_back(make_log(key, log_level::warning, "move_endpoints",
                                    {{"field", finding.path}, {"problem", finding.problem}}));
    }
}

/// Removes open moves that the configuration has ended or replaced.
void drop_closed(state& self, const std::map<attempt_key, const move*>& open_now, actions& out) {
    for (auto it = self.open.begin(); it != self.open.end();) {
        if (open_now.contains(it->first)) {
            ++it;
            continue;
        }
        out.logs.push_back(make_log(it->first, log_level::info, "move_closed", {}));
        it = self.open.erase(it);
    }
}

bool is_superseded(const snapshot& config, const attempt_key& key) {
    const auto it = config.sections.find(key.service);
    if (it == config.sections.end()) {
        return false;
    }
    const auto& section_moves = it->second->content.moves;
    return std::any_of(section_moves.begin(), section_moves.end(), [&](const move& candidate) {
        return candidate.name == key.name &&
               (candidate.attempt > key.attempt ||
                (candidate.attempt == key.attempt && candidate.ending));
    });
}

void drop_records(state& self, const snapshot& config) {
    std::size_t unknown_count = 0;
    std::erase_if(self.records, [&](const auto& entry) {
        if (self.open.contains(entry.first)) {
            return false;
        }
        return is_superseded(config, entry.first) || ++unknown_count > max_unknown_records;
    });
}

std::map<attempt_key, const move*> list_open(state& self, const snapshot& config) {
    std::map<attempt_key, const move*> open_now;
    self.ended.clear();
    for (const auto& [service, section] : config.sections) {
        for (const move& planned : section->content.moves) {
            if (planned.ending) {
                self.ended.push_back({.planned = planned});
            } else {
                open_now.emplace(key_of(planned), &planned);
            }
        }
    }
    return open_now;
}

} // namespace

void on_config(state& self, const membership::table& members, const snapshot_ptr& config,
               instant now, actions& out) {
    self.self = node_id(members.self.node);
    if (!config || config == self.config) {
        return;
    }
    const bool is_first_config = !self.config;
    self.config = config;
    const auto open_now = list_open(self, *config);
    drop_closed(self, open_now, out);
    self.by_service.clear();
    for (const auto& [key, planned] : open_now) {
        const auto it = self.open.find(key);
        if (it == self.open.end()) {
            open_new_move(self, members, *planned, is_first_config, now, out);
        } else {
            const instant deadline = it->second.planned.deadline;
            it->second.planned = *planned;
            if (planned->duration.count() > 0) {
                it->second.planned.deadline = deadline;
            }
        }
        self.by_service[key.service] = key;
        open_move& open = self.open.at(key);
        if (planned->cancel && !find_record(self, key).vetoes.contains(self.self)) {
            raise_veto(self, key, operator_veto(self, now), out);
        }
        refresh_share(self, key, open, now);
        apply_record(self, key, now, out);
    }
    std::erase_if(self.recorded,
                  [&](const auto& entry) { return !open_now.contains(entry.first); });
    drop_records(self, *config);
}

} // namespace cyclamenhatch::moves

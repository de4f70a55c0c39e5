#include "control/feed_steps.h"

#include "control/steps.h"

#include <algorithm>

namespace cyclamenhatch::control {
namespace {

/// Time between reads while nothing has made this node ready.
constexpr milliseconds reread_interval{1000};

moves::attempt_key key_of(const feed::move_record& record) {
    return {.service = record.service, .name = record.move, .attempt = 1};
}

moves::recorded_move to_recorded(const feed::move_record& record) {
    moves::recorded_move to;
    if (record.state == feed::record_state::done) {
        to.outcome = move_outcome::done;
    } else if (record.state == feed::record_state::taken_back) {
        to.outcome = move_outcome::taken_back;
    }
    if (record.begun_ms > 0) {
        to.begun = from_unix_ms(record.begun_ms);
    }
    return to;
}

void adopt_records(state& self, const std::vector<feed::move_record>& records, instant now,
                   actions& wanted) {
    for (const auto& each : records) {
        moves::actions from_moves;
        moves::adopt_record(self.moves, key_of(each), to_recorded(each), now, from_moves);
        take_moves(self, std::move(from_moves), now, wanted);
    }
}

void take_operators(state& self, feed::reader_actions&& from, instant now, actions& wanted) {
    append(wanted.requests, std::move(from.requests));
    adopt_records(self, from.records, now, wanted);
    if (!from.rejected_for.empty()) {
        reject_config(self, from.rejected, from.rejected_for, now, wanted);
    }
    // A read that shows what is held as current also refreshes a node that woke up alone.
    const bool is_confirmed = !from.found && from.is_current;
    offer_config(self, is_confirmed ? self.operators->built : from.found, now, wanted);
}

void take_records(state& self, feed::keeper_actions&& from, instant now, actions& wanted) {
    append(wanted.requests, std::move(from.requests));
    for (const auto& each : from.recorded) {
        wanted.logs.push_back(
            {log_level::info,
             "move_recorded",
             {{"service", each.service.value},
              {"move", each.move.value},
              {"outcome", each.state == feed::record_state::done ? "done" : "taken_back"},
              {"reason", each.reason}}});
    }
    adopt_records(self, from.recorded, now, wanted);
}

/// The node that decides on a move keeps its record.
void want_running_records(state& self, instant now) {
    for (const auto& each : moves::list_status(self.moves, now)) {
        if (!each.is_controller || each.ending) {
            continue;
        }
        feed::want_record(*self.records,
                          {.service = each.key.service,
                           .to = each.to,
                           .move = each.key.name,
                           .state = feed::record_state::running,
                           .begun_ms = to_unix_ms(each.begun),
                           .reason = {}},
                          now);
    }
}

} // namespace

milliseconds start_spread(state& self) {
    std::uniform_int_distribution<milliseconds::rep> wait(0, self.settings.store->start_spread_ms);
    return milliseconds{wait(self.random)};
}

void tick_feed(state& self, bool watches, instant now, actions& wanted) {
    feed::reader_actions from_reader;
    feed::set_watching(*self.operators, watches, now, from_reader);
    if (!distribution::is_ready(self.spread) && now >= self.next_fallback_read) {
        self.next_fallback_read = now + reread_interval + start_spread(self);
        feed::refresh(*self.operators, now, from_reader);
    }
    feed::on_tick(*self.operators, now, self.random, from_reader);
    take_operators(self, std::move(from_reader), now, wanted);

    want_running_records(self, now);
    feed::keeper_actions from_keeper;
    feed::on_tick(*self.records, now, self.random, from_keeper);
    take_records(self, std::move(from_keeper), now, wanted);
}

bool on_feed_response(state& self, const store::kv_response& response, instant now,
                      actions& wanted) {
    feed::reader_actions from_reader;
    if (feed::on_response(*self.operators, response, now, self.random, from_reader)) {
        take_operators(self, std::move(from_reader), now, wanted);
        return true;
    }
    feed::keeper_actions from_keeper;
    if (feed::on_response(*self.records, response, now, self.random, from_keeper)) {
        take_records(self, std::move(from_keeper), now, wanted);
        return true;
    }
    return false;
}

feed::move_record make_record(const state& self, const store::move_close& close) {
    feed::move_record record{.service = close.service,
                             .to = {},
                             .move = close.name,
                             .state = close.ending.outcome == move_outcome::done
                                          ? feed::record_state::done
                                          : feed::record_state::taken_back,
                             .begun_ms = 0,
                             .reason = close.ending.reason};
    const auto open = self.moves.open.find({close.service, close.name, close.attempt});
    if (open != self.moves.open.end()) {
        record.to = open->second.planned.to;
        record.begun_ms = to_unix_ms(open->second.evidence.begun);
    }
    return record;
}

} // namespace cyclamenhatch::control

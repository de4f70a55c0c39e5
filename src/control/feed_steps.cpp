#include "control/feed_steps.h"

#include "control/steps.h"

#include <algorithm>

namespace cyclamenhatch::control {
namespace {

/// Time between reads while this node is not ready.
constexpr milliseconds reread_interval{1000};
/// The same once a read has shown that there is no configuration yet and other members are known:
/// those that watch the store push the first one to all.
constexpr milliseconds watched_reread_interval{10'000};

moves::attempt_key key_of(const feed::move_record& record) {
    return {.service = record.service, .name = record.move, .attempt = 1};
}

moves::recorded_move to_recorded(const feed::move_record& record) {
    moves::recorded_move recorded;
    if (record.state == feed::record_state::done) {
        recorded.outcome = move_outcome::done;
    } else if (record.state == feed::record_state::taken_back) {
        recorded.outcome = move_outcome::taken_back;
    }
    if (record.started_ms > 0) {
        recorded.begun = from_unix_ms(record.started_ms);
    }
    return recorded;
}

void adopt_records(state& self, const std::vector<feed::move_record>& records, instant now,
                   actions& out) {
    for (const auto& record : records) {
        moves::actions move_actions;
        moves::adopt_record(self.moves, key_of(record), to_recorded(record), now, move_actions);
        apply_move_actions(self, std::move(move_actions), now, out);
    }
}

/// Notices of one configuration that are logged; the rest are only counted.
constexpr std::size_t max_logged_notices = 20;

void log_notices(const feed::reader_actions& produced, actions& out) {
    if (!produced.snapshot) {
        return;
    }
    const auto version = std::to_string(produced.snapshot->version.value);
    const auto logged = std::min(produced.notices.size(), max_logged_notices);
    for (std::size_t i = 0; i < logged; ++i) {
        out.logs.push_back({log_level::warning,
                            "config_value_ignored",
                            {{"version", version},
                             {"notices", std::to_string(produced.notices.size())},
                             {"finding", to_string(produced.notices[i])}}});
    }
}

void apply_operator_actions(state& self, feed::reader_actions&& produced, instant now,
                            actions& out) {
    append(out.requests, std::move(produced.requests));
    append(out.logs, std::move(produced.logs));
    adopt_records(self, produced.records, now, out);
    if (produced.has_read_records) {
        moves::note_records_read(self.moves);
    }
    if (!produced.rejection_reasons.empty()) {
        reject_config(self, produced.rejected_version, produced.rejection_reasons, now, out);
    }
    log_notices(produced, out);
    // A read that confirms the held configuration also makes a node ready again after a pause.
    const bool is_confirmed = !produced.snapshot && produced.is_current;
    offer_config(self, is_confirmed ? self.operator_reader->built_snapshot : produced.snapshot, now,
                 out);
}

void apply_record_actions(state& self, feed::keeper_actions&& produced, instant now, actions& out) {
    append(out.requests, std::move(produced.requests));
    for (const auto& record : produced.confirmed_endings) {
        out.logs.push_back(
            {log_level::info,
             "move_recorded",
             {{"service", record.service.value},
              {"move", record.move.value},
              {"outcome", record.state == feed::record_state::done ? "done" : "taken_back"},
              {"reason", record.reason}}});
    }
    adopt_records(self, produced.confirmed_endings, now, out);
}

/// Requests a `running` record for each open move that this node controls.
void request_running_records(state& self, instant now) {
    for (const auto& status : moves::list_status(self.moves, now)) {
        if (!status.is_controller || status.ending) {
            continue;
        }
        feed::request_record(*self.record_keeper,
                             {.service = status.key.service,
                              .target_version = status.new_version,
                              .move = status.key.name,
                              .state = feed::record_state::running,
                              .started_ms = to_unix_ms(status.begun),
                              .reason = {}},
                             now);
    }
}

/// Replaces the success that is still to be written of each move that was taken back meanwhile:
/// what is written is what the nodes do.
void replace_stale_successes(state& self, instant now) {
    for (const auto& status : moves::list_status(self.moves, now)) {
        const bool is_stale =
            !status.veto_reason.empty() &&
            feed::has_unwritten_success(*self.record_keeper, status.key.service, status.key.name);
        if (is_stale) {
            feed::request_record(*self.record_keeper,
                                 {.service = status.key.service,
                                  .target_version = status.new_version,
                                  .move = status.key.name,
                                  .state = feed::record_state::taken_back,
                                  .started_ms = to_unix_ms(status.begun),
                                  .reason = status.veto_reason},
                                 now);
        }
    }
}

/// Whether this node, which is not ready, reads the operators' documents itself.
bool is_fallback_read_due(const state& self, instant now) {
    if (distribution::is_ready(self.distribution) || now < self.next_fallback_read) {
        return false;
    }
    const bool is_watched_by_others = self.operator_reader->seen_revision > 0 &&
                                      membership::live_records(self.members).size() > 1;
    return !is_watched_by_others || !self.last_fallback_read ||
           now >= *self.last_fallback_read + watched_reread_interval;
}

} // namespace

milliseconds random_start_delay(state& self) {
    std::uniform_int_distribution<milliseconds::rep> delay_ms(0,
                                                              self.settings.store->start_spread_ms);
    return milliseconds{delay_ms(self.random)};
}

void tick_feed(state& self, bool is_watcher, instant now, actions& out) {
    if (self.known_conflict != self.distribution.logged_conflict) {
        self.known_conflict = self.distribution.logged_conflict;
        self.operator_reader->has_conflict = true;
    }
    feed::reader_actions reader_output;
    feed::set_watching(*self.operator_reader, is_watcher, now, reader_output);
    if (is_fallback_read_due(self, now)) {
        self.next_fallback_read = now + reread_interval + random_start_delay(self);
        self.last_fallback_read = now;
        feed::refresh(*self.operator_reader, now, reader_output);
    }
    if (moves::awaits_records(self.moves)) {
        feed::request_records(*self.operator_reader);
    }
    feed::on_tick(*self.operator_reader, now, self.random, reader_output);
    apply_operator_actions(self, std::move(reader_output), now, out);

    request_running_records(self, now);
    replace_stale_successes(self, now);
    feed::keeper_actions keeper_output;
    feed::on_tick(*self.record_keeper, now, self.random, keeper_output);
    apply_record_actions(self, std::move(keeper_output), now, out);
}

bool on_feed_response(state& self, const store::kv_response& response, instant now, actions& out) {
    feed::reader_actions reader_output;
    if (feed::on_response(*self.operator_reader, response, now, self.random, reader_output)) {
        apply_operator_actions(self, std::move(reader_output), now, out);
        return true;
    }
    replace_stale_successes(self, now);
    feed::keeper_actions keeper_output;
    if (feed::on_response(*self.record_keeper, response, now, self.random, keeper_output)) {
        apply_record_actions(self, std::move(keeper_output), now, out);
        return true;
    }
    return false;
}

feed::move_record make_record(const state& self, const store::move_close& close) {
    feed::move_record record{.service = close.service,
                             .target_version = {},
                             .move = close.name,
                             .state = close.ending.outcome == move_outcome::done
                                          ? feed::record_state::done
                                          : feed::record_state::taken_back,
                             .started_ms = 0,
                             .reason = close.ending.reason};
    const auto it = self.moves.open.find({close.service, close.name, close.attempt});
    if (it != self.moves.open.end()) {
        record.target_version = it->second.planned.new_version;
        record.started_ms = to_unix_ms(it->second.evidence.begun);
    }
    return record;
}

} // namespace cyclamenhatch::control

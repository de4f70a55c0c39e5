#include "quarantine/quarantine.h"

#include "quarantine/spreading.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace cyclamenhatch::quarantine {
namespace {

/// Which of two records is worth less: the one with fewer crashes that count, then the older one.
bool is_worth_less(const record_table::value_type& left, const record_table::value_type& right) {
    return std::tuple(count_crashes(left.second), left.second.last_crash, left.first) <
           std::tuple(count_crashes(right.second), right.second.last_crash, right.first);
}

/// Drops the least record while there are too many. Returns whether `kept` remained.
bool drop_excess(state& self, const request_digest& kept) {
    if (self.records.size() <= max_records) {
        return true;
    }
    const auto least = std::min_element(self.records.begin(), self.records.end(), is_worth_less);
    const bool is_kept = least->first != kept;
    self.records.erase(least);
    return is_kept;
}

log_event make_log(std::string name, const request_digest& digest, const record& known) {
    const bool is_warning = name == "request_suspected" || name == "request_held";
    return {is_warning ? log_level::warning : log_level::info,
            std::move(name),
            {{"digest", to_text(digest)},
             {"service", known.service.value},
             {"route", known.route.value},
             {"crashes", std::to_string(count_crashes(known))}}};
}

/// Logs the begin and the end of a hold at this node.
void note_hold(state& self, const request_digest& digest, record& known, instant now,
               actions& out) {
    const auto until = release_time(known, digest, self.self);
    const bool is_held = now < until;
    if (is_held == known.is_hold_noted) {
        return;
    }
    known.is_hold_noted = is_held;
    if (is_held) {
        ++self.counts.holds;
        auto line = make_log("request_held", digest, known);
        const auto time = std::chrono::duration_cast<milliseconds>(until - now);
        line.fields.push_back({"hold_ms", std::to_string(time.count())});
        out.logs.push_back(std::move(line));
        return;
    }
    auto line = make_log("request_released", digest, known);
    line.fields.push_back({"reason", count_crashes(known) == 0 ? "cleared" : "hold_ended"});
    out.logs.push_back(std::move(line));
}

/// To be called for each record whose ids have changed.
void note_change(state& self, const request_digest& digest, record& known, instant now,
                 actions& out) {
    known.times_sent = 0;
    ++self.generation;
    note_hold(self, digest, known, now, out);
}

/// Merges a record that another node has sent. Returns whether anything changed.
bool learn(state& self, const request_digest& digest, const record& sent, instant now,
           actions& out) {
    if (expiry(sent) <= now) {
        return false;
    }
    record& known = self.records[digest];
    if (!merge(known, sent) || !drop_excess(self, digest)) {
        return false;
    }
    self.highest_id = std::max(self.highest_id, known.crashes.back());
    note_change(self, digest, known, now, out);
    return true;
}

/// Forgets old records and notes the holds that have ended.
void age(state& self, instant now, actions& out) {
    for (auto it = self.records.begin(); it != self.records.end();) {
        note_hold(self, it->first, it->second, now, out);
        if (expiry(it->second) <= now) {
            it = self.records.erase(it);
            ++self.generation;
        } else {
            ++it;
        }
    }
}

void rebuild_view(state& self) {
    auto view = std::make_shared<call::quarantine_view>();
    for (const auto& [digest, known] : self.records) {
        const auto crashes = count_crashes(known);
        if (crashes > 0) {
            view->emplace(digest,
                          call::suspect{.crashes = static_cast<std::uint32_t>(crashes),
                                        .held_until = release_time(known, digest, self.self)});
        }
    }
    self.view = view->empty() ? nullptr : std::move(view);
}

/// Ends a step: changes are sent and shown to the call path at once.
void publish(state& self, std::uint64_t generation_before, const membership::table& members,
             instant now, random_source& random, actions& out) {
    if (self.generation == generation_before) {
        return;
    }
    rebuild_view(self);
    send_news(self, members, now, random, out.sends);
}

bool clear_record(state& self, const membership::table& members, const request_digest& digest,
                  const char* reason, instant now, random_source& random, actions& out) {
    const auto it = self.records.find(digest);
    if (it == self.records.end() || count_crashes(it->second) == 0) {
        return false;
    }
    auto line = make_log("request_cleared", digest, it->second);
    line.fields.push_back({"reason", reason});
    out.logs.push_back(std::move(line));
    const auto generation = self.generation;
    clear(it->second);
    ++self.counts.cleared;
    note_change(self, digest, it->second, now, out);
    publish(self, generation, members, now, random, out);
    return true;
}

} // namespace

void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& out) {
    const auto generation = self.generation;
    age(self, now, out);
    if (self.generation != generation) {
        rebuild_view(self);
    }
    send_news(self, members, now, random, out.sends);
    send_asks(self, members, now, random, out.sends);
    send_exchange(self, members, now, random, out.sends);
}

void on_message(state& self, const membership::table& members, const incoming& received,
                instant now, random_source& random, actions& out) {
    const auto* message = std::get_if<msg::quarantine_state_msg>(&received.message);
    if (message == nullptr) {
        return;
    }
    const auto generation = self.generation;
    for (const auto& named : message->records) {
        const auto sent = named ? from_message(*named, now) : std::nullopt;
        if (sent) {
            learn(self, sent->first, sent->second, now, out);
        }
    }
    self.has_learnt = self.has_learnt || message->answer;
    answer(self, members, received.from, *message, now, out.sends);
    publish(self, generation, members, now, random, out);
}

void record_crash(state& self, const membership::table& members, const call::upstream_crash& crash,
                  instant now, random_source& random, actions& out) {
    ++self.counts.crashes;
    const auto generation = self.generation;
    self.highest_id = make_crash_id(self.highest_id, now, random);
    for (const auto& run : crash.runs) {
        record& known = self.records[run.digest];
        const bool is_noted = !known.crashes.empty() && known.crashes.back() == self.highest_id;
        if (is_noted) {
            continue;
        }
        known.service = crash.service;
        known.route = run.route;
        add_crash(known, self.highest_id, now);
        if (!drop_excess(self, run.digest)) {
            continue;
        }
        auto line = make_log("request_suspected", run.digest, known);
        line.fields.push_back({"version", crash.version.value});
        line.fields.push_back({"instance", crash.instance});
        line.fields.push_back({"request", run.request_id});
        out.logs.push_back(std::move(line));
        note_change(self, run.digest, known, now, out);
    }
    publish(self, generation, members, now, random, out);
}

void record_good_run(state& self, const membership::table& members, const request_digest& digest,
                     instant now, random_source& random, actions& out) {
    clear_record(self, members, digest, "ran_well", now, random, out);
}

bool lift(state& self, const membership::table& members, const request_digest& digest, instant now,
          random_source& random, actions& out) {
    return clear_record(self, members, digest, "lifted", now, random, out);
}

std::size_t count_held(const state& self, instant now) {
    return static_cast<std::size_t>(
        std::count_if(self.records.begin(), self.records.end(), [&](const auto& entry) {
            return now < release_time(entry.second, entry.first, self.self);
        }));
}

} // namespace cyclamenhatch::quarantine

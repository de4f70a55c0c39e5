#include "distribution/distribution.h"

#include "distribution/adoption.h"
#include "distribution/exchange.h"
#include "distribution/in_force.h"
#include "distribution/refresh.h"
#include "membership/duty.h"

namespace cyclamenhatch::distribution {
namespace {

/// Logs, once for each head, that the store has fallen behind, as after a restored backup.
void log_lower_head(state& self, config_version found, actions& wanted) {
    if (self.logged_lower_head == found) {
        return;
    }
    self.logged_lower_head = found;
    wanted.logs.push_back({.level = log_level::error,
                           .name = "store_head_behind",
                           .fields = {{"held", std::to_string(self.held->version.value)},
                                      {"store", std::to_string(found.value)}}});
}

} // namespace

state make_state(const msg::distribution_settings_msg& settings, instant now) {
    state self;
    self.settings = settings;
    self.next_exchange = now;
    start_refresh(self, now);
    return self;
}

void offer(state& self, const membership::table& members, const snapshot_ptr& found, instant now,
           random_source& random, actions& wanted) {
    if (!found) {
        return;
    }
    const step present{members, now, random, wanted};
    self.refresh.has_store_answer = true;
    if (!adopt(self, found, {}, present)) {
        if (found->version < self.held->version) {
            log_lower_head(self, found->version, wanted);
        } else if (found->digest != self.held->digest) {
            log_conflict(self, found->digest, {}, wanted);
        }
    }
    tick_refresh(self, present);
}

void reject(state& self, const membership::table& members, config_version version,
            const findings& found, instant now, actions& wanted) {
    refuse(self, version, {}, found, {}, members, now, wanted);
}

void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& wanted) {
    const step present{members, now, random, wanted};
    tick_exchange(self, present);
    tick_refresh(self, present);
    tick_in_force(self, present);
}

void on_message(state& self, const membership::table& members, const incoming& from, instant now,
                random_source& random, actions& wanted) {
    const step present{members, now, random, wanted};
    if (const auto* notice = std::get_if<msg::config_notice_msg>(&from.message)) {
        on_notice(self, from.from, *notice, present);
    } else if (const auto* delta = std::get_if<msg::config_delta_msg>(&from.message)) {
        on_delta(self, from.from, *delta, present);
    } else if (const auto* asked = std::get_if<msg::config_pull_msg>(&from.message)) {
        on_pull(self, from.from, *asked, present);
    } else if (const auto* whole = std::get_if<msg::config_snapshot_msg>(&from.message)) {
        on_snapshot(self, from.from, *whole, present);
    } else if (const auto* report = std::get_if<msg::in_force_report_msg>(&from.message)) {
        on_report(self, from.from, *report, now);
    } else if (const auto* summary = std::get_if<msg::in_force_summary_msg>(&from.message)) {
        on_summary(self, from.from, *summary, present);
    }
}

void on_pause(state& self, instant now) {
    start_refresh(self, now);
}

bool is_ready(const state& self) {
    return self.held != nullptr && !self.needs_refresh;
}

bool is_store_watcher(const state& self, const membership::table& members) {
    return membership::has_store_duty(members, "store-watch",
                                      self.settings.watchers_per_data_centre,
                                      data_centre_id{members.self.data_centre});
}

} // namespace cyclamenhatch::distribution

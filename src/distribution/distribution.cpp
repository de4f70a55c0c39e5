#include "distribution/distribution.h"

#include "distribution/adoption.h"
#include "distribution/exchange.h"
#include "distribution/in_force.h"
#include "distribution/refresh.h"
#include "membership/duty.h"

namespace cyclamenhatch::distribution {
namespace {

constexpr std::string_view watch_duty = "store-watch";
/// Members of each data centre that stand by for its watchers: that many may fail together with
/// them and a change still arrives in time.
constexpr std::size_t watch_standbys = 3;

/// Logs, once per head version, that the head of the store is lower than the held version, as after
/// restoring a backup.
void log_lower_head(state& self, config_version store_version, actions& out) {
    if (self.logged_lower_head == store_version) {
        return;
    }
    self.logged_lower_head = store_version;
    out.logs.push_back({.level = log_level::error,
                        .name = "store_head_behind",
                        .fields = {{"held", std::to_string(self.config->version.value)},
                                   {"store", std::to_string(store_version.value)}}});
}

} // namespace

state make_state(const msg::distribution_settings_msg& settings, instant now) {
    state self;
    self.settings = settings;
    self.next_exchange = now;
    start_refresh(self, now);
    return self;
}

void offer_config(state& self, const membership::table& members, const snapshot_ptr& config,
                  instant now, random_source& random, actions& out) {
    if (!config) {
        return;
    }
    const step_context context{members, now, random, out};
    self.refresh.has_store_answer = true;
    if (!adopt(self, config, {}, context)) {
        if (config->version < self.config->version) {
            log_lower_head(self, config->version, out);
        } else if (config->digest != self.config->digest) {
            log_conflict(self, config->digest, {}, out);
        }
    }
    tick_refresh(self, context);
}

void report_rejected_config(state& self, const membership::table& members, config_version version,
                            const findings& problems, instant now, actions& out) {
    refuse(self, version, {}, problems, {}, members, now, out);
}

void on_tick(state& self, const membership::table& members, instant now, random_source& random,
             actions& out) {
    const step_context context{members, now, random, out};
    tick_exchange(self, context);
    tick_refresh(self, context);
    tick_in_force(self, context);
}

void on_message(state& self, const membership::table& members, const incoming& message, instant now,
                random_source& random, actions& out) {
    const step_context context{members, now, random, out};
    if (const auto* notice = std::get_if<msg::config_notice_msg>(&message.message)) {
        on_notice(self, message.from, *notice, context);
    } else if (const auto* delta = std::get_if<msg::config_delta_msg>(&message.message)) {
        on_delta(self, message.from, *delta, context);
    } else if (const auto* pull = std::get_if<msg::config_pull_msg>(&message.message)) {
        on_pull(self, message.from, *pull, context);
    } else if (const auto* snapshot_message =
                   std::get_if<msg::config_snapshot_msg>(&message.message)) {
        on_snapshot(self, message.from, *snapshot_message, context);
    } else if (const auto* report = std::get_if<msg::in_force_report_msg>(&message.message)) {
        on_report(self, message.from, *report, now);
    } else if (const auto* summary = std::get_if<msg::in_force_summary_msg>(&message.message)) {
        on_summary(self, message.from, *summary, context);
    }
}

void on_pause(state& self, instant now) {
    start_refresh(self, now);
}

bool is_ready(const state& self) {
    return self.config != nullptr && !self.needs_refresh;
}

bool is_store_watcher(const state& self, const membership::table& members) {
    const data_centre_id own{members.self.data_centre};
    const auto away = membership::count_store_away(members, own);
    const std::size_t substitutes = away > 0 && away <= watch_standbys ? 1 : 0;
    return membership::has_store_duty(members, watch_duty,
                                      self.settings.watchers_per_data_centre + substitutes, own);
}

bool may_hand_watch_on_early(const membership::table& members) {
    return membership::count_store_away(members, data_centre_id{members.self.data_centre}) <
           watch_standbys;
}

std::vector<node_id> list_watch_candidates(const state& self, const membership::table& members) {
    auto candidates = membership::duty_holders(
        members, watch_duty, self.settings.watchers_per_data_centre + watch_standbys,
        data_centre_id{members.self.data_centre});
    std::erase(candidates, node_id{members.self.node});
    return candidates;
}

std::vector<node_id> list_watchers_ahead(const state& self, const membership::table& members) {
    return membership::list_predecessors(members, watch_duty,
                                         self.settings.watchers_per_data_centre, watch_standbys,
                                         data_centre_id{members.self.data_centre});
}

} // namespace cyclamenhatch::distribution

#include "bench/moves_fleet.h"
#include "membership/duty.h"

#include <algorithm>

namespace cyclamenhatch::bench {

namespace {

constexpr seconds host_downtime{6};

/// Draws a time between two offsets from the start of the move.
instant draw_time(sim_fleet& self, int min_s, int max_s) {
    const int ms = std::uniform_int_distribution<int>(min_s * 1000, max_s * 1000)(self.random);
    return move_begin() + milliseconds(ms);
}

void kill_controller(sim_fleet& self) {
    const auto first_up = std::find_if(self.calls.hosts.begin(), self.calls.hosts.end(),
                                       [](const sim_host& host) { return host.is_up; });
    const auto observer = static_cast<std::size_t>(first_up - self.calls.hosts.begin());
    const auto holders = membership::duty_holders(self.tables.at(observer), "move/layouts/m", 1);
    if (!holders.empty()) {
        kill_host(self, std::stoul(holders.front().value.substr(1)), host_downtime);
    }
}

void plan_controller_deaths(sim_fleet& self) {
    for (const int second : {5, 30, 60, 140}) {
        schedule(self, draw_time(self, second, second + 10), [&self] { kill_controller(self); });
    }
}

void plan_herd(sim_fleet& self) {
    schedule(self, draw_time(self, 10, 160), [&self] {
        for (std::size_t host = 0; host < sim_nodes; ++host) {
            if (self.random() % 3 == 0) {
                kill_host(self, host, host_downtime);
            }
        }
    });
}

void schedule_cut_detection(sim_fleet& self, bool is_cut) {
    for (std::size_t observer = 0; observer < sim_nodes; ++observer) {
        for (std::size_t host = 0; host < sim_nodes; ++host) {
            const bool crosses = (self.calls.hosts[observer].data_centre == 2) !=
                                 (self.calls.hosts[host].data_centre == 2);
            if (!crosses) {
                continue;
            }
            const int wait_ms = std::uniform_int_distribution<int>(
                is_cut ? 3000 : 500, is_cut ? 4500 : 3000)(self.random);
            schedule(self, self.now + milliseconds(wait_ms), [&self, observer, host, is_cut] {
                if (self.calls.is_cut == is_cut && self.calls.hosts[host].is_up) {
                    set_member_state(self, observer, host,
                                     is_cut ? msg::liveness::dead : msg::liveness::alive,
                                     msg::upstream_state::ready);
                }
            });
        }
    }
}

void plan_region_cut(sim_fleet& self) {
    const instant begin = draw_time(self, 5, 140);
    for (const bool is_cut : {true, false}) {
        schedule(self, is_cut ? begin : begin + seconds(30), [&self, is_cut] {
            self.calls.is_cut = is_cut;
            schedule_cut_detection(self, is_cut);
        });
    }
}

/// Every 4 s, one endpoint of the new version is announced as starting for 2 s although it serves.
void plan_flapping(sim_fleet& self) {
    for (int second = 3; second < 180; second += 4) {
        schedule(self, move_begin() + seconds(second), [&self] {
            const std::size_t host = sim_nodes / 2 + self.random() % (sim_nodes / 2);
            for (const bool is_ready : {false, true}) {
                schedule(self, self.now + (is_ready ? seconds(2) : seconds(0)),
                         [&self, host, is_ready] {
                             for (std::size_t observer = 0; observer < sim_nodes; ++observer) {
                                 set_member_state(self, observer, host, msg::liveness::alive,
                                                  is_ready ? msg::upstream_state::ready
                                                           : msg::upstream_state::starting);
                             }
                         });
            }
        });
    }
}

void plan_shared_fault(sim_fleet& self) {
    const instant begin = draw_time(self, 5, 150);
    schedule(self, begin, [&self] { self.calls.is_shared_fault = true; });
    schedule(self, begin + seconds(20), [&self] { self.calls.is_shared_fault = false; });
}

} // namespace

void plan_fault(sim_fleet& self) {
    switch (self.setup.fault) {
    case environment_fault::none:
    case environment_fault::lying_node:
        return;
    case environment_fault::store_down:
        schedule(self, draw_time(self, 1, 30), [&self] { self.store.is_up = false; });
        schedule(self, move_deadline() + seconds(20), [&self] { self.store.is_up = true; });
        return;
    case environment_fault::controller_killed:
        plan_controller_deaths(self);
        return;
    case environment_fault::herd:
        plan_herd(self);
        return;
    case environment_fault::region_cut:
        plan_region_cut(self);
        return;
    case environment_fault::misleading_health:
        plan_flapping(self);
        return;
    case environment_fault::shared_errors:
    case environment_fault::shared_slowness:
        plan_shared_fault(self);
        return;
    }
}

outgoing falsify(outgoing message) {
    if (auto* evidence = std::get_if<msg::move_evidence_msg>(&message.message)) {
        const auto false_score = static_cast<float>(evidence->window_ms) / 100.0F;
        for (auto& route : evidence->routes) {
            route->errors = route->calls;
            for (float& score : route->scores) {
                score = false_score;
            }
        }
    }
    if (auto* state = std::get_if<msg::move_state_msg>(&message.message)) {
        if (!state->permits.empty()) {
            const auto& permit = *state->permits.front();
            auto veto = std::make_unique<msg::move_veto_msg>();
            veto->service = permit.service;
            veto->move = permit.move;
            veto->attempt = permit.attempt;
            veto->raised_by = "n0";
            state->vetoes.push_back(std::move(veto));
        }
    }
    return message;
}

} // namespace cyclamenhatch::bench

#include "allowance/keeper.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <utility>

namespace cyclamenhatch::allowance {
namespace {

constexpr double us_per_s = 1e6;
constexpr double full_share = 0.8;
constexpr double least_share = 0.2;
/// Workspaces in one request at most.
constexpr std::size_t max_items = 256;
constexpr std::size_t max_handovers = 4096;
/// A handover that no change of the members follows is void.
constexpr seconds handover_memory{5};

double cap_of(const kept_limit& item) {
    return std::max(1.0, item.stated.burst);
}

double to_seconds(microseconds time) {
    return static_cast<double>(time.count()) / us_per_s;
}

std::uint32_t to_ms(double time_s, microseconds longest) {
    const auto ms = std::ceil(std::min(time_s, to_seconds(longest)) * 1000);
    return static_cast<std::uint32_t>(std::max(1.0, ms));
}

/// Fills the bucket up to `now`.
void fill(const keeper_state& self, kept_limit& item, instant now) {
    if (now <= item.filled_at) {
        return;
    }
    const auto rate = item.stated.calls_per_s * lendable_share(self.reachable_share);
    const auto full_from = std::clamp(item.full_rate_at, item.filled_at, now);
    const auto filled = rate * (takeover_share * to_seconds(full_from - item.filled_at) +
                                to_seconds(now - full_from));
    item.tokens = std::min(cap_of(item), item.tokens + filled);
    item.backlog = std::max(0.0, item.backlog - filled);
    item.filled_at = now;
}

/// Begins as a keeper that knows nothing of its predecessor. Its loans end before the full rate.
void start_over(const keeper_state& self, kept_limit& item, instant now) {
    item.tokens = 0;
    item.filled_at = now;
    item.full_rate_at = now + takeover_time + loan_lifetime(self.stated);
    item.backlog = 0;
}

void start_all_over(keeper_state& self, instant now) {
    for (auto& [name, item] : self.kept) {
        start_over(self, item, now);
    }
    self.handovers.clear();
}

/// Whether others may have found this node dead.
bool is_out_of_touch(const keeper_state& self, instant now) {
    return now - self.last_tick > touch_time ||
           (!self.is_alone && now - self.last_heard > touch_time);
}

bool may_lend(const keeper_state& self, instant now) {
    return self.has_joined && !is_out_of_touch(self, now) &&
           lendable_share(self.reachable_share) > 0;
}

log_event make_log(const char* name, const workspace_id& workspace, const kept_limit& item) {
    return {log_level::info,
            name,
            {{"workspace", workspace.value},
             {"calls_per_s", std::to_string(item.stated.calls_per_s)},
             {"burst", std::to_string(item.stated.burst)},
             {"asked", std::to_string(item.asked)},
             {"lent", std::to_string(item.lent)},
             {"backlog", std::to_string(std::llround(item.backlog))}}};
}

void note_refusal(const workspace_id& name, kept_limit& item, instant now, keeper_actions& out) {
    item.refused_at = now;
    if (!std::exchange(item.is_refusal_noted, true)) {
        out.logs.push_back(make_log("allowance_used_up", name, item));
    }
}

/// Passes what is left of a workspace to the node that now keeps it.
void hand_over(const workspace_id& name, const kept_limit& item, const call::peer& successor,
               keeper_actions& out) {
    msg::allowance_loan_msg message;
    auto part = std::make_unique<msg::allowance_item_msg>();
    part->workspace = name.value;
    part->calls = static_cast<std::uint32_t>(item.tokens);
    message.items.push_back(std::move(part));
    out.sends.push_back({successor.node, successor.link, std::move(message)});
}

/// Whether the sender was the keeper before this node: it ranks first without it.
bool was_keeper(const keeper_state& self, const std::vector<call::peer>& live,
                const workspace_id& name, const node_id& sender) {
    return std::none_of(live.begin(), live.end(), [&](const call::peer& other) {
        return other.node != self.self && other.node != sender &&
               ranks_before(other.node, sender, name);
    });
}

void apply_handover(keeper_state& self, const surroundings& around, const workspace_id& name,
                    kept_limit& item, instant now) {
    const auto found = self.handovers.find(name);
    if (found == self.handovers.end()) {
        return;
    }
    const auto& left = found->second;
    if (now < item.full_rate_at && was_keeper(self, around.live, name, left.from)) {
        item.tokens = std::min(cap_of(item), std::max(0.0, left.tokens));
        item.filled_at = now;
        item.full_rate_at = now;
    }
    self.handovers.erase(found);
}

void keep(keeper_state& self, const workspace_id& name, const limit& stated, instant now) {
    const auto [found, is_new] = self.kept.try_emplace(name);
    auto& item = found->second;
    if (is_new) {
        start_over(self, item, now);
    }
    item.stated = stated;
    item.tokens = std::min(item.tokens, cap_of(item));
}

/// What is left of a workspace that this node no longer keeps goes to its successor, if any. A
/// bucket that has not taken over yet proves nothing to a successor.
void give_up(const workspace_id& name, const kept_limit& item, const call::peer* successor,
             instant now, keeper_actions& out) {
    if (successor != nullptr && now >= item.full_rate_at) {
        hand_over(name, item, *successor, out);
    }
}

bool is_chosen_by(const keeper_state& self, const surroundings& around) {
    return self.chosen_by == around.config &&
           std::equal(self.chosen_among.begin(), self.chosen_among.end(), around.live.begin(),
                      around.live.end(), [](const node_id& node, const call::peer& other) {
                          return node == other.node;
                      });
}

/// Takes on and gives up workspaces after a change of the live nodes or the configuration.
void choose_kept(keeper_state& self, const surroundings& around, instant now, keeper_actions& out) {
    if (is_chosen_by(self, around)) {
        return;
    }
    self.chosen_by = around.config;
    self.chosen_among.clear();
    for (const auto& other : around.live) {
        self.chosen_among.push_back(other.node);
    }
    auto before = std::move(self.kept);
    self.kept.clear();
    if (!around.config || !around.config->fleet) {
        return;
    }
    for (const auto& item : around.config->fleet->content.workspaces) {
        const auto stated = find_limit(*around.config, item.name);
        const auto* keeper = stated ? find_keeper(around.live, item.name) : nullptr;
        const auto old = before.find(item.name);
        if (keeper != nullptr && keeper->node == self.self) {
            if (old != before.end()) {
                self.kept.insert(before.extract(old));
            }
            keep(self, item.name, *stated, now);
        } else if (old != before.end()) {
            give_up(item.name, old->second, keeper, now, out);
        }
    }
}

void note_quiet(keeper_state& self, instant now, keeper_actions& out) {
    for (auto& [name, item] : self.kept) {
        if (item.is_refusal_noted && now - item.refused_at > self.stated.window) {
            item.is_refusal_noted = false;
            out.logs.push_back(make_log("allowance_available", name, item));
        }
    }
}

std::unique_ptr<msg::allowance_item_msg> lend(const keeper_state& self, const workspace_id& name,
                                              kept_limit& item, std::uint32_t asked, instant now,
                                              keeper_actions& out) {
    fill(self, item, now);
    const auto calls = std::min(asked, static_cast<std::uint32_t>(std::max(0.0, item.tokens)));
    item.tokens -= calls;
    item.asked += asked;
    item.lent += calls;
    auto answer = std::make_unique<msg::allowance_item_msg>();
    answer->workspace = name.value;
    answer->calls = calls;
    if (calls == asked) {
        return answer;
    }
    const auto most = item.stated.calls_per_s * to_seconds(self.stated.window);
    item.backlog = std::min(item.backlog + asked - calls, std::max(1.0, most));
    const auto rate = item.stated.calls_per_s * lendable_share(self.reachable_share);
    const auto missing = std::max(item.backlog - item.tokens, 1 - item.tokens);
    const auto held_up = std::max(microseconds{0}, item.full_rate_at - now);
    answer->retry_after_ms = to_ms(missing / rate + to_seconds(held_up), self.stated.window);
    note_refusal(name, item, now, out);
    return answer;
}

std::optional<peer_message> answer_request(keeper_state& self,
                                           const msg::allowance_request_msg& request, instant now,
                                           keeper_actions& out) {
    if (!may_lend(self, now) || request.items.size() > max_items) {
        return std::nullopt;
    }
    msg::allowance_loan_msg loan;
    loan.sequence = request.sequence;
    loan.lifetime_ms = static_cast<std::uint32_t>(
        std::chrono::floor<milliseconds>(loan_lifetime(self.stated)).count());
    for (const auto& wanted : request.items) {
        const auto found = self.kept.find(workspace_id{wanted->workspace});
        if (found != self.kept.end() && wanted->calls > 0) {
            loan.items.push_back(lend(self, found->first, found->second, wanted->calls, now, out));
        }
    }
    if (loan.items.empty()) {
        return std::nullopt;
    }
    return loan;
}

void receive_handover(keeper_state& self, const node_id& sender,
                      const msg::allowance_loan_msg& message, instant now) {
    if (message.sequence != 0 || message.items.size() > max_items) {
        return;
    }
    for (const auto& part : message.items) {
        if (self.handovers.size() < max_handovers) {
            self.handovers[workspace_id{part->workspace}] = {sender,
                                                             static_cast<double>(part->calls), now};
        }
    }
}

} // namespace

double lendable_share(double reachable_share) {
    if (reachable_share > full_share) {
        return 1;
    }
    return reachable_share < least_share ? 0 : reachable_share;
}

void on_tick(keeper_state& self, const surroundings& around, instant now, keeper_actions& out) {
    if (is_out_of_touch(self, now)) {
        start_all_over(self, now);
    }
    // Until here the old shares and limits held.
    for (auto& [name, item] : self.kept) {
        fill(self, item, now);
    }
    self.last_tick = now;
    self.reachable_share = around.reachable_share;
    self.is_alone = around.live.size() <= 1 && around.reachable_share >= 1;
    self.has_joined = around.has_joined;
    std::erase_if(self.handovers, [&](const auto& entry) {
        return now - entry.second.received_at > handover_memory;
    });
    choose_kept(self, around, now, out);
    for (auto& [name, item] : self.kept) {
        apply_handover(self, around, name, item, now);
    }
    note_quiet(self, now, out);
}

void note_heard(keeper_state& self, instant now) {
    if (is_out_of_touch(self, now)) {
        start_all_over(self, now);
    }
    self.last_heard = now;
}

std::optional<peer_message> on_message(keeper_state& self, const incoming& received, instant now,
                                       keeper_actions& out) {
    const auto* request = std::get_if<msg::allowance_request_msg>(&received.message);
    if (request != nullptr && received.delay >= loan_lifetime(self.stated)) {
        // What it would be lent has ended before it arrives.
        return std::nullopt;
    }
    if (request != nullptr) {
        return answer_request(self, *request, now, out);
    }
    if (const auto* loan = std::get_if<msg::allowance_loan_msg>(&received.message)) {
        receive_handover(self, received.from, *loan, now);
    }
    return std::nullopt;
}

} // namespace cyclamenhatch::allowance

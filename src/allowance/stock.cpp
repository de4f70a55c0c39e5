#include "allowance/stock.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <memory>
#include <utility>

namespace cyclamenhatch::allowance {
namespace {

constexpr seconds idle_time{60};
/// Calls asked for at once at most, beyond those that wait.
constexpr double max_expected = 1000;
/// An entry that expects fewer calls asks for none ahead, since most of them would be lost.
constexpr double least_expected = 2;
constexpr std::uint32_t max_debt = 1000;
/// Weight of the last interval in the expected number of calls.
constexpr double newest_weight = 0.5;
constexpr std::size_t max_items_per_request = 64;

void drop_ended(stock& held, instant now) {
    std::erase_if(held.loans, [&](const loan& item) { return item.ends_at <= now || !item.calls; });
}

void roll_interval(stock& held, instant now) {
    const auto elapsed = now - held.interval_began;
    if (elapsed < ask_interval) {
        return;
    }
    const auto intervals = elapsed / ask_interval;
    held.expected_calls += newest_weight * (held.recent_calls - held.expected_calls);
    for (std::int64_t i = 1; i < std::min<std::int64_t>(intervals, 16); ++i) {
        held.expected_calls *= 1 - newest_weight;
    }
    held.recent_calls = 0;
    held.interval_began = now;
}

bool is_pending(const stock& held, instant now) {
    return held.pending != 0 && now - held.asked_at < ask_timeout;
}

/// Calls to ask for now: those that wait, what is owed and, at busy entries, what is expected until
/// the answer to the next request.
std::uint32_t wanted_calls(stock& held, instant now) {
    roll_interval(held, now);
    if (is_pending(held, now) || now < held.next_ask) {
        return 0;
    }
    const auto expected = std::max(held.expected_calls, held.recent_calls - 1);
    const auto ahead =
        expected < least_expected ? 0.0 : std::min(std::floor(expected), max_expected);
    const auto lent = count_lent(held, now);
    if (held.waiting == 0 && static_cast<double>(lent) * 2 >= ahead) {
        return 0;
    }
    const auto need = held.waiting + held.debt + static_cast<std::uint32_t>(ahead);
    return need - std::min(need, lent);
}

void add_loan(stock& held, std::uint32_t calls, instant ends_at, instant now) {
    const auto paid = std::min(held.debt, calls);
    held.debt -= paid;
    if (calls > paid && ends_at > now) {
        held.loans.push_back({ends_at, calls - paid});
    }
}

} // namespace

std::uint32_t count_lent(const stock& held, instant now) {
    std::uint32_t calls = 0;
    for (const auto& item : held.loans) {
        calls += item.ends_at > now ? item.calls : 0;
    }
    return calls;
}

void note_call(entry_state& self, const workspace_id& name, instant now) {
    auto& held = self.stocks[name];
    roll_interval(held, now);
    held.recent_calls += 1;
    held.used_at = now;
}

bool take(entry_state& self, const workspace_id& name, instant now) {
    auto& held = self.stocks[name];
    drop_ended(held, now);
    if (held.loans.empty()) {
        return false;
    }
    --held.loans.front().calls;
    ++held.counts.admitted;
    return true;
}

std::optional<microseconds> refused_for(const entry_state& self, const workspace_id& name,
                                        instant now) {
    const auto found = self.stocks.find(name);
    if (found == self.stocks.end() || now >= found->second.next_ask ||
        now >= found->second.refused_until) {
        return std::nullopt;
    }
    return found->second.refused_until - now;
}

bool take_fixed(entry_state& self, const workspace_id& name, const std::vector<call::peer>& live,
                instant now) {
    auto& held = self.stocks[name];
    if (now - held.heard_at < longest_wait) {
        return false;
    }
    if (now - held.fixed_window > self.stated.window) {
        held.fixed_window = now;
        held.fixed_used = 0;
    }
    if (held.fixed_used >= fixed_part(self.stated, live, self.self, name)) {
        return false;
    }
    ++held.fixed_used;
    ++held.counts.admitted;
    ++held.counts.fixed;
    return true;
}

void note_waiting(entry_state& self, const workspace_id& name) {
    auto& held = self.stocks[name];
    ++held.waiting;
    ++held.counts.waited;
    ++self.waiting;
}

void note_wait_ended(entry_state& self, const workspace_id& name) {
    auto& held = self.stocks[name];
    held.waiting -= std::min(held.waiting, 1U);
    self.waiting -= std::min<std::size_t>(self.waiting, 1);
}

void note_repeat(entry_state& self, const workspace_id& name, instant now) {
    const auto found = self.stocks.find(name);
    if (found == self.stocks.end()) {
        return;
    }
    auto& held = found->second;
    drop_ended(held, now);
    if (!held.loans.empty()) {
        --held.loans.front().calls;
    } else {
        held.debt = std::min(held.debt + 1, max_debt);
    }
}

std::vector<outgoing> make_requests(entry_state& self, const std::vector<call::peer>& live,
                                    instant now) {
    std::vector<outgoing> requests;
    std::erase_if(self.asks, [&](const auto& item) {
        return now - item.second.sent_at > loan_lifetime(self.stated);
    });
    for (auto& [name, held] : self.stocks) {
        const auto calls = wanted_calls(held, now);
        const auto* keeper = calls > 0 ? find_keeper(live, name) : nullptr;
        if (keeper == nullptr) {
            continue;
        }
        auto request = std::find_if(requests.begin(), requests.end(), [&](const outgoing& item) {
            return item.to == keeper->node &&
                   std::get<msg::allowance_request_msg>(item.message).items.size() <
                       max_items_per_request;
        });
        if (request == requests.end()) {
            msg::allowance_request_msg message;
            message.sequence = ++self.last_sequence;
            self.asks[message.sequence] = {keeper->node, now};
            requests.push_back({keeper->node, keeper->link, std::move(message)});
            request = std::prev(requests.end());
        }
        auto& message = std::get<msg::allowance_request_msg>(request->message);
        auto part = std::make_unique<msg::allowance_item_msg>();
        part->workspace = name.value;
        part->calls = calls;
        message.items.push_back(std::move(part));
        held.pending = message.sequence;
        held.asked_at = now;
    }
    return requests;
}

std::vector<workspace_id> on_loan(entry_state& self, const node_id& sender,
                                  const msg::allowance_loan_msg& message, instant now) {
    const auto asked = self.asks.find(message.sequence);
    if (asked == self.asks.end() || asked->second.keeper != sender) {
        return {};
    }
    const auto ends_at =
        asked->second.sent_at +
        std::min<microseconds>(milliseconds{message.lifetime_ms}, loan_lifetime(self.stated));
    self.asks.erase(asked);
    std::vector<workspace_id> names;
    for (const auto& part : message.items) {
        const workspace_id name{part->workspace};
        const auto found = self.stocks.find(name);
        if (found == self.stocks.end()) {
            continue;
        }
        auto& held = found->second;
        held.pending = held.pending == message.sequence ? 0 : held.pending;
        held.heard_at = now;
        add_loan(held, part->calls, ends_at, now);
        const microseconds refused = milliseconds{part->retry_after_ms};
        held.refused_until = now + refused;
        held.next_ask = now + std::min(refused, ask_interval);
        names.push_back(name);
    }
    return names;
}

void forget_idle(entry_state& self, instant now) {
    std::erase_if(self.stocks, [&](const auto& item) {
        return item.second.waiting == 0 && now - item.second.used_at > idle_time;
    });
}

} // namespace cyclamenhatch::allowance

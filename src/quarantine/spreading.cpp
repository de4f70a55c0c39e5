#include "quarantine/spreading.h"

#include "membership/pick_members.h"

#include <algorithm>
#include <bit>
#include <iterator>

namespace cyclamenhatch::quarantine {
namespace {

constexpr std::uint32_t spare_rounds = 2;
constexpr milliseconds exchange_interval{2000};
constexpr std::uint32_t max_asks = 5;
constexpr std::size_t ask_fan_out = 3;
constexpr milliseconds ask_interval{200};
/// A record about to expire is not sent, since it would return to nodes that have forgotten it.
constexpr seconds min_remaining_time{2};
/// Longest name and highest age taken from a message.
constexpr std::size_t max_name_size = 256;
constexpr std::uint64_t max_age_ms = 24ULL * 3600 * 1000;

void send_to(const std::vector<const msg::member_record_msg*>& members,
             const msg::quarantine_state_msg& message, std::vector<outgoing>& sends) {
    for (const auto* member : members) {
        sends.push_back({.to = node_id(member->node),
                         .address = membership::link_address(*member),
                         .message = message});
    }
}

bool is_worth_sending(const record& known, instant now) {
    return now + min_remaining_time < expiry(known);
}

void append(msg::quarantine_state_msg& message, const request_digest& digest, const record& known,
            instant now) {
    message.records.push_back(
        std::make_unique<msg::suspect_record_msg>(to_message(digest, known, now)));
}

/// The newest ids of a message, in order.
crash_ids read_ids(crash_ids ids) {
    std::erase(ids, 0);
    std::sort(ids.begin(), ids.end());
    ids.erase(std::unique(ids.begin(), ids.end()), ids.end());
    if (ids.size() > max_crash_ids) {
        ids.erase(ids.begin(), ids.end() - static_cast<std::ptrdiff_t>(max_crash_ids));
    }
    return ids;
}

/// Records of which `self` knows more than the message states.
std::vector<const record_table::value_type*>
find_missing(const state& self, const msg::quarantine_state_msg& message) {
    std::vector<const record_table::value_type*> missing;
    if (message.records.empty()) {
        for (const auto& entry : self.records) {
            missing.push_back(&entry);
        }
        return missing;
    }
    for (const auto& named : message.records) {
        if (!named || !named->digest) {
            continue;
        }
        const auto it = self.records.find({named->digest->high(), named->digest->low()});
        if (it != self.records.end() && (it->second.crashes != read_ids(named->crashes) ||
                                         it->second.cleared != read_ids(named->cleared))) {
            missing.push_back(&*it);
        }
    }
    return missing;
}

} // namespace

std::uint32_t news_rounds(std::size_t members) {
    return static_cast<std::uint32_t>(std::bit_width(members)) / 2 + spare_rounds;
}

msg::suspect_record_msg to_message(const request_digest& digest, const record& known, instant now) {
    msg::suspect_record_msg message;
    message.digest = std::make_unique<msg::request_key>(digest.high, digest.low);
    message.service = known.service.value;
    message.route = known.route.value;
    message.crashes = known.crashes;
    message.cleared = known.cleared;
    const auto age = std::chrono::duration_cast<milliseconds>(now - known.last_crash).count();
    message.age_ms = static_cast<std::uint64_t>(std::max<std::int64_t>(age, 0));
    return message;
}

std::optional<std::pair<request_digest, record>>
from_message(const msg::suspect_record_msg& message, instant now) {
    if (!message.digest || message.age_ms > max_age_ms) {
        return std::nullopt;
    }
    const request_digest digest{message.digest->high(), message.digest->low()};
    if (digest == request_digest{}) {
        return std::nullopt;
    }
    // A cleared crash is a crash.
    crash_ids crashes = message.crashes;
    crashes.insert(crashes.end(), message.cleared.begin(), message.cleared.end());
    record sent;
    sent.service = service_id(message.service.substr(0, max_name_size));
    sent.route = route_id(message.route.substr(0, max_name_size));
    sent.crashes = read_ids(std::move(crashes));
    sent.cleared = read_ids(message.cleared);
    sent.last_crash = now - milliseconds(message.age_ms);
    if (sent.crashes.empty()) {
        return std::nullopt;
    }
    return std::pair{digest, std::move(sent)};
}

void send_news(state& self, const membership::table& members, instant now, random_source& random,
               std::vector<outgoing>& sends) {
    struct item {
        std::size_t crashes;
        record_table::value_type* entry;
    };
    const auto rounds = news_rounds(members.members.size() + 1);
    std::vector<item> news;
    for (auto& entry : self.records) {
        if (entry.second.times_sent < rounds && is_worth_sending(entry.second, now)) {
            news.push_back({count_crashes(entry.second), &entry});
        }
    }
    if (news.empty()) {
        return;
    }
    std::stable_sort(news.begin(), news.end(), [](const item& left, const item& right) {
        return std::pair(right.crashes, left.entry->second.times_sent) <
               std::pair(left.crashes, right.entry->second.times_sent);
    });
    news.resize(std::min(news.size(), max_news));
    msg::quarantine_state_msg message;
    for (const auto& chosen : news) {
        ++chosen.entry->second.times_sent;
        append(message, chosen.entry->first, chosen.entry->second, now);
    }
    send_to(membership::pick_members(members, news_fan_out, random), message, sends);
}

void send_exchange(state& self, const membership::table& members, instant now,
                   random_source& random, std::vector<outgoing>& sends) {
    if (self.records.empty() || now < self.next_exchange) {
        return;
    }
    self.next_exchange = now + exchange_interval;
    msg::quarantine_state_msg message;
    auto it = self.records.upper_bound(self.exchanged);
    const auto count = std::min(self.records.size(), max_records_per_message);
    for (std::size_t i = 0; i < count; ++i, ++it) {
        it = it == self.records.end() ? self.records.begin() : it;
        self.exchanged = it->first;
        if (is_worth_sending(it->second, now)) {
            append(message, it->first, it->second, now);
        }
    }
    // An empty message would ask for all.
    if (!message.records.empty()) {
        send_to(membership::pick_members(members, 1, random), message, sends);
    }
}

void send_asks(state& self, const membership::table& members, instant now, random_source& random,
               std::vector<outgoing>& sends) {
    if (members.pauses != self.handled_pauses) {
        self.handled_pauses = members.pauses;
        self.asks = 0;
    }
    if (now < self.next_ask) {
        return;
    }
    if (self.asks >= max_asks) {
        self.has_learnt = true;
        return;
    }
    const auto asked = membership::pick_members(members, ask_fan_out, random);
    if (asked.empty()) {
        self.has_learnt = self.has_learnt || members.has_joined;
        return;
    }
    ++self.asks;
    self.next_ask = now + ask_interval;
    send_to(asked, {}, sends);
}

void answer(const state& self, const membership::table& members, const node_id& sender,
            const msg::quarantine_state_msg& message, instant now, std::vector<outgoing>& sends) {
    if (message.answer) {
        return;
    }
    const bool is_ask = message.records.empty();
    const auto missing = find_missing(self, message);
    if (missing.empty() && !is_ask) {
        return;
    }
    // A node that has just started may be unknown here; the link it has opened still reaches it.
    const auto* member = membership::find_record(members, sender);
    const auto address = member == nullptr ? peer_address{} : membership::link_address(*member);
    auto next = missing.begin();
    do {
        msg::quarantine_state_msg page;
        page.answer = true;
        for (; next != missing.end() && page.records.size() < max_records_per_message; ++next) {
            if (is_worth_sending((*next)->second, now)) {
                append(page, (*next)->first, (*next)->second, now);
            }
        }
        sends.push_back({.to = sender, .address = address, .message = std::move(page)});
    } while (next != missing.end());
}

} // namespace cyclamenhatch::quarantine

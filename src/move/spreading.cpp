#include "move/spreading.h"

#include <algorithm>
#include <bit>
#include <set>

namespace cyclamenhatch::moves {

namespace {

constexpr std::uint32_t spare_rounds = 3;
/// Attempts in one message.
constexpr std::size_t max_attempts_per_message = 64;

void send_to(const std::vector<const msg::member_record_msg*>& members,
             const msg::move_state_msg& message, std::vector<outgoing>& sends) {
    for (const auto* record : members) {
        sends.push_back({.to = node_id(record->node),
                         .address = membership::link_address(*record),
                         .message = message});
    }
}

} // namespace

std::vector<const msg::member_record_msg*> pick_members(const membership::table& members,
                                                        std::size_t count, random_source& random) {
    auto live = membership::live_records(members);
    std::erase_if(live, [&](const auto* each) { return each->node == members.self.node; });
    const std::size_t wanted = std::min(count, live.size());
    for (std::size_t i = 0; i < wanted; ++i) {
        std::uniform_int_distribution<std::size_t> any(i, live.size() - 1);
        std::swap(live[i], live[any(random)]);
    }
    live.resize(wanted);
    return live;
}

std::uint32_t news_rounds(std::size_t members) {
    return static_cast<std::uint32_t>(std::bit_width(members)) + spare_rounds;
}

msg::move_state_msg make_state_message(const std::map<attempt_key, attempt_record>& of) {
    msg::move_state_msg made;
    for (const auto& [key, record] : of) {
        if (made.permits.size() >= max_attempts_per_message) {
            break;
        }
        made.permits.push_back(std::make_unique<msg::move_permit_msg>(
            to_message(key, record.granted.value_or(permit{.at = from_unix_ms(0)}))));
        for (const auto& [raiser, each] : record.vetoes) {
            made.vetoes.push_back(std::make_unique<msg::move_veto_msg>(to_message(key, each)));
        }
    }
    return made;
}

void send_news(std::map<attempt_key, attempt_record>& records, const membership::table& members,
               random_source& random, std::vector<outgoing>& sends) {
    const std::uint32_t rounds = news_rounds(members.members.size() + 1);
    std::map<attempt_key, attempt_record> news;
    for (auto& [key, record] : records) {
        const bool is_known = record.granted || !record.vetoes.empty();
        if (is_known && record.times_sent < rounds) {
            ++record.times_sent;
            news.emplace(key, record);
        }
    }
    if (!news.empty()) {
        send_to(pick_members(members, news_fan_out, random), make_state_message(news), sends);
    }
}

void send_exchange(const std::map<attempt_key, attempt_record>& records,
                   const membership::table& members, std::size_t count, random_source& random,
                   std::vector<outgoing>& sends) {
    if (!records.empty()) {
        send_to(pick_members(members, count, random), make_state_message(records), sends);
    }
}

std::map<attempt_key, attempt_record> lacking(const std::map<attempt_key, attempt_record>& records,
                                              const msg::move_state_msg& heard) {
    std::map<attempt_key, attempt_record> found;
    std::set<std::pair<attempt_key, node_id>> heard_vetoes;
    const auto key_of = [](const auto& each) {
        return attempt_key{.service = service_id(each.service),
                           .name = move_id(each.move),
                           .attempt = each.attempt};
    };
    for (const auto& each : heard.vetoes) {
        if (each) {
            heard_vetoes.emplace(key_of(*each), node_id(each->raised_by));
        }
    }
    for (const auto& each : heard.permits) {
        const auto known = each ? records.find(key_of(*each)) : records.end();
        if (known == records.end()) {
            continue;
        }
        const attempt_record& record = known->second;
        const bool has_later = record.granted && supersedes(*record.granted, from_message(*each));
        const bool has_veto =
            std::any_of(record.vetoes.begin(), record.vetoes.end(), [&](const auto& veto) {
                return !heard_vetoes.contains({known->first, veto.first});
            });
        if (has_later || has_veto) {
            found.emplace(known->first, record);
        }
    }
    return found;
}

} // namespace cyclamenhatch::moves

#include "move/spreading.h"

#include "membership/pick_members.h"

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

/// Time since the move began; 0 if unknown.
std::uint64_t age_ms(const attempt_record& record, instant now) {
    if (!record.begun) {
        return 0;
    }
    const auto age = std::chrono::duration_cast<milliseconds>(now - *record.begun).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(age, 1));
}

} // namespace

std::uint32_t news_rounds(std::size_t members) {
    return static_cast<std::uint32_t>(std::bit_width(members)) + spare_rounds;
}

msg::move_state_msg make_state_message(const std::map<attempt_key, attempt_record>& records,
                                       instant now) {
    msg::move_state_msg message;
    for (const auto& [key, record] : records) {
        if (message.permits.size() >= max_attempts_per_message) {
            break;
        }
        auto permit_message = std::make_unique<msg::move_permit_msg>(
            to_message(key, record.granted.value_or(permit{.at = from_unix_ms(0)})));
        permit_message->age_ms = age_ms(record, now);
        message.permits.push_back(std::move(permit_message));
        for (const auto& [raiser, raised] : record.vetoes) {
            message.vetoes.push_back(std::make_unique<msg::move_veto_msg>(to_message(key, raised)));
        }
    }
    return message;
}

void send_news(std::map<attempt_key, attempt_record>& records, const membership::table& members,
               instant now, random_source& random, std::vector<outgoing>& sends) {
    const std::uint32_t rounds = news_rounds(members.members.size() + 1);
    std::map<attempt_key, attempt_record> news;
    for (auto& [key, record] : records) {
        const bool is_known = record.granted || !record.vetoes.empty();
        const bool has_room = news.size() < max_attempts_per_message;
        if (is_known && has_room && record.times_sent < rounds) {
            ++record.times_sent;
            news.emplace(key, record);
        }
    }
    if (!news.empty()) {
        send_to(membership::pick_members(members, news_fan_out, random),
                make_state_message(news, now), sends);
    }
}

void send_exchange(const std::map<attempt_key, attempt_record>& records,
                   const membership::table& members, std::size_t count, instant now,
                   random_source& random, std::vector<outgoing>& sends) {
    if (!records.empty()) {
        send_to(membership::pick_members(members, count, random), make_state_message(records, now),
                sends);
    }
}

std::map<attempt_key, attempt_record>
find_missing(const std::map<attempt_key, attempt_record>& records,
             const msg::move_state_msg& received) {
    std::map<attempt_key, attempt_record> missing;
    std::set<std::pair<attempt_key, node_id>> heard_vetoes;
    const auto key_of = [](const auto& message) {
        return attempt_key{.service = service_id(message.service),
                           .name = move_id(message.move),
                           .attempt = message.attempt};
    };
    for (const auto& message : received.vetoes) {
        if (message) {
            heard_vetoes.emplace(key_of(*message), node_id(message->raised_by));
        }
    }
    for (const auto& message : received.permits) {
        const auto it = message ? records.find(key_of(*message)) : records.end();
        if (it == records.end()) {
            continue;
        }
        const attempt_record& record = it->second;
        const bool has_later =
            record.granted && supersedes(*record.granted, from_message(*message));
        const bool has_veto =
            std::any_of(record.vetoes.begin(), record.vetoes.end(), [&](const auto& veto) {
                return !heard_vetoes.contains({it->first, veto.first});
            });
        const bool has_begin = record.begun && message->age_ms == 0;
        if (has_later || has_veto || has_begin) {
            missing.emplace(it->first, record);
        }
    }
    return missing;
}

} // namespace cyclamenhatch::moves

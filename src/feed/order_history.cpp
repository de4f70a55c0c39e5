#include "feed/order_history.h"

#include "feed/version_parts.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::feed {
namespace {

/// Time in which the operators have written again what the service has lost.
constexpr seconds rewrite_time{10};

/// Null when the service had no move.
const move* find_earlier_move(const order_history& history, const service_id& service) {
    const auto it = history.earlier_moves.find(service);
    return it == history.earlier_moves.end() ? nullptr : &it->second;
}

bool is_order_of(const move& ordered, const move_order& order) {
    return ordered.new_version == order.target_version && ordered.duration == order.duration;
}

/// The move of `held` that this write of the order has led to; null when it is not within `held`.
const move* find_held_move(const order_history& history, const move_order& order,
                           std::int64_t revision, const snapshot_ptr& held) {
    if (!held || !includes(held->version, {history.era, revision})) {
        return nullptr;
    }
    const auto stored = held->sections.find(order.service);
    if (stored == held->sections.end()) {
        return nullptr;
    }
    const auto& moves = stored->second->content.moves;
    const auto it = std::find_if(moves.begin(), moves.end(), [&](const move& candidate) {
        return is_order_of(candidate, order);
    });
    return it == moves.end() ? nullptr : &*it;
}

} // namespace

bool awaits_rewrites(const order_history& history, instant now) {
    return history.era_began && now < *history.era_began + rewrite_time;
}

void begin_era(order_history& history, std::uint64_t era, const snapshot_ptr& held, instant now) {
    history = {.era = era, .era_began = now};
    if (!held) {
        return;
    }
    for (const auto& [service, stored] : held->sections) {
        for (const auto& ordered : stored->content.moves) {
            history.earlier_moves.emplace(service, ordered);
        }
    }
}

void note_read(order_history& history, std::int64_t revision) {
    if (history.era_began && history.era_revision == 0) {
        history.era_revision = revision;
    }
}

move_id resolve_name(order_history& history, const move_order& order, std::int64_t revision,
                     const snapshot_ptr& held, instant now) {
    const auto* earlier = find_earlier_move(history, order.service);
    const bool may_repeat = awaits_rewrites(history, now) || revision <= history.era_revision;
    if (may_repeat && earlier != nullptr && is_order_of(*earlier, order)) {
        history.kept_names[{order.service, revision}] = earlier->name;
    }
    const auto kept = history.kept_names.find({order.service, revision});
    if (kept != history.kept_names.end()) {
        return kept->second;
    }
    const auto* in_force = find_held_move(history, order, revision, held);
    return in_force != nullptr ? in_force->name : name_move(revision);
}

bool is_replaced(const order_history& history, const move_order& order, std::int64_t revision) {
    const auto* earlier = find_earlier_move(history, order.service);
    return revision <= history.era_revision && earlier != nullptr && !is_order_of(*earlier, order);
}

std::vector<move> list_unwritten_moves(const order_history& history,
                                       const std::set<service_id>& ordered, instant now) {
    std::vector<move> unwritten;
    if (!awaits_rewrites(history, now)) {
        return unwritten;
    }
    for (const auto& [service, earlier] : history.earlier_moves) {
        if (!ordered.contains(service)) {
            unwritten.push_back(earlier);
        }
    }
    return unwritten;
}

void add_move(std::vector<section>& sections, const move_order& order, const move_id& name,
              findings& problems) {
    const auto it = std::find_if(sections.begin(), sections.end(), [&](const section& candidate) {
        return candidate.service.name == order.service;
    });
    if (it == sections.end()) {
        problems.push_back({.path = "order",
                            .problem = "no service \"" + order.service.value + "\"",
                            .remedy = "order a move of a service that is configured"});
        return;
    }
    it->versions.push_back(
        {.name = order.target_version, .service = order.service, .last_write = {}});
    move new_move;
    new_move.name = name;
    new_move.service = order.service;
    new_move.new_version = order.target_version;
    new_move.duration = order.duration;
    it->moves.push_back(std::move(new_move));
}

move_id name_move(std::int64_t revision) {
    return move_id{"order-" + std::to_string(revision)};
}

} // namespace cyclamenhatch::feed

#include "call/choose_endpoint.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

constexpr std::uint32_t all_permille = 1000;
/// Weight at the start of the ramp, as a share of the full weight.
constexpr double first_ramp_share = 0.1;
/// What a failed call is worth in latency: an endpoint that fails fast must not look fast.
constexpr double failure_cost_us = 200'000;
/// Latencies below this count as equal: their differences are noise.
constexpr double least_latency_us = 500;

struct candidate {
    const endpoint* at = nullptr;
    const endpoint_load* load = nullptr;
};

std::uint64_t hash_key(std::string_view key) {
    // FNV-1a: the same on every node and in every build, as std::hash need not be.
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char each : key) {
        hash = (hash ^ static_cast<unsigned char>(each)) * 0x100000001B3ULL;
    }
    return hash ^ (hash >> 32U);
}

bool has_ready(const routing_view& view, const service_id& of, const version_id& version) {
    const auto found = view.endpoints.find(of);
    return found != view.endpoints.end() &&
           std::any_of(found->second.begin(), found->second.end(), [&](const endpoint& each) {
               return each.version == version && each.state == msg::upstream_state::ready;
           });
}

double ramp_share(const endpoint_load& load, instant now) {
    const auto age = static_cast<double>((now - load.ready_since).count());
    const auto share = age / static_cast<double>(ramp_time.count());
    return std::clamp(share, first_ramp_share, 1.0);
}

/// Expected waiting: lower is better.
double score(const candidate& from, instant now) {
    const auto& load = *from.load;
    const auto latency = std::max(least_latency_us, static_cast<double>(load.latency.count()));
    const auto slots = std::max(1.0, static_cast<double>(from.at->slots));
    const auto busy = (estimate_in_flight(load, now) + 1) / (slots * ramp_share(load, now));
    return busy * (latency + failure_cost_us * load.failure_share);
}

bool has_room(const candidate& from, instant now) {
    return estimate_in_flight(*from.load, now) < std::max<std::uint32_t>(1, from.at->slots);
}

const endpoint* better_of_two(const std::vector<candidate>& from, instant now,
                              random_source& random) {
    if (from.empty()) {
        return nullptr;
    }
    if (from.size() == 1) {
        return from.front().at;
    }
    const auto first = random() % from.size();
    const auto second = (first + 1 + random() % (from.size() - 1)) % from.size();
    return score(from[second], now) < score(from[first], now) ? from[second].at : from[first].at;
}

struct candidate_lists {
    std::vector<candidate> near;
    std::vector<candidate> near_with_room;
    std::vector<candidate> far;
    std::vector<candidate> far_with_room;
    std::vector<candidate> ejected;
};

candidate_lists sort_candidates(const choice_input& from, load_table& loads, instant now) {
    candidate_lists lists;
    for (const auto& each : from.endpoints) {
        if (each.version != from.version || each.state != msg::upstream_state::ready ||
            std::find(from.tried.begin(), from.tried.end(), each.node) != from.tried.end()) {
            continue;
        }
        const candidate next{&each, &touch_load(loads, each, now)};
        if (is_ejected(*next.load, now) || now < next.load->closed_until) {
            lists.ejected.push_back(next);
            continue;
        }
        const bool is_near = each.data_centre == from.data_centre && !each.is_suspect;
        (is_near ? lists.near : lists.far).push_back(next);
        if (has_room(next, now)) {
            (is_near ? lists.near_with_room : lists.far_with_room).push_back(next);
        }
    }
    return lists;
}

/// An endpoint whose ejection has ended is given one call, so that it can come back.
const endpoint* find_due_probe(const candidate_lists& lists) {
    for (const auto* list : {&lists.near, &lists.far}) {
        for (const auto& each : *list) {
            if (each.load->ejected_until) {
                return each.at;
            }
        }
    }
    return nullptr;
}

} // namespace

version_id choose_version(const routing_view& view, const service& of,
                          std::optional<std::string_view> caller_key, random_source& random) {
    const auto share = view.shares.find(of.name);
    if (share == view.shares.end()) {
        return of.version;
    }
    const auto draw = (caller_key ? hash_key(*caller_key) : random()) % all_permille;
    if (draw >= share->second.permille) {
        return share->second.from;
    }
    return has_ready(view, of.name, share->second.to) ? share->second.to : share->second.from;
}

const endpoint* choose_endpoint(const choice_input& from, load_table& loads, instant now,
                                random_source& random) {
    const auto lists = sort_candidates(from, loads, now);
    // Probes go only with first attempts: a retry is for finishing the call.
    if (from.tried.empty()) {
        if (const auto* probe = find_due_probe(lists)) {
            return probe;
        }
    }
    for (const auto* list :
         {&lists.near_with_room, &lists.far_with_room, &lists.near, &lists.far, &lists.ejected}) {
        if (const auto* chosen = better_of_two(*list, now, random)) {
            return chosen;
        }
    }
    return nullptr;
}

} // namespace cyclamenhatch::call

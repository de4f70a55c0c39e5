#include "call/choose_endpoint.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

constexpr std::uint32_t all_permille = 1000;
/// Weight at the start of the ramp, as a share of the full weight.
constexpr double first_ramp_share = 0.1;
/// Latency charged for a failed call: an endpoint that fails fast must not look fast.
constexpr double failure_cost_us = 200'000;
/// Share of an endpoint's slots that is used before calls go to other data centres: a call within
/// the data centre is faster and cheaper, but full upstreams slow down.
constexpr double spillover_share = 0.7;
/// Bound of the share of calls that an endpoint is taken to shed, so that its cost stays finite.
constexpr double max_shed_share = 0.9;
/// Latencies below this count as equal: their differences are noise.
constexpr double min_latency_us = 500;

/// Share of a call's time within which it is expected to end here for it to stay here; run times of
/// a route vary.
constexpr double safe_share = 0.7;
/// A call that may be late here goes to another data centre when it is expected to end there in
/// less than this share of the time.
constexpr double clearly_sooner = 0.8;

struct candidate {
    const endpoint* target = nullptr;
    const endpoint_load* load = nullptr;
};

std::uint64_t hash_key(std::string_view key) {
    // FNV-1a: the same on every node and in every build, as std::hash need not be.
    std::uint64_t hash = 0xCBF29CE484222325ULL;
    for (const char c : key) {
        hash = (hash ^ static_cast<unsigned char>(c)) * 0x100000001B3ULL;
    }
    return hash ^ (hash >> 32U);
}

bool has_ready(const routing_view& view, const service_id& service,
               const version_filter& versions) {
    const auto it = view.endpoints.find(service);
    return it != view.endpoints.end() &&
           std::any_of(it->second.begin(), it->second.end(), [&](const endpoint& target) {
               return versions.allows(target.version) && takes_calls(target);
           });
}

version_filter old_versions(const version_share& share) {
    return share.old_version.empty() ? version_filter{.only = {}, .except = share.new_version}
                                     : version_filter{.only = share.old_version, .except = {}};
}

double ramp_share(const endpoint_load& load, instant now) {
    const auto age = static_cast<double>((now - load.ready_since).count());
    const auto share = age / static_cast<double>(ramp_time.count());
    return std::clamp(share, first_ramp_share, 1.0);
}

/// Time that a call takes at the endpoint once it runs.
microseconds run_time_at(const candidate& option, const choice_input& input, instant now) {
    const auto& load = *option.load;
    return input.times != nullptr && states_pace(load, now)
               ? load.way + expected_run(load, *input.times, input.route, now)
               : load.latency;
}

/// Cost of sending a call to the endpoint, by its load and latency; lower is better.
double score(const candidate& option, const choice_input& input, instant now) {
    const auto& load = *option.load;
    const auto latency =
        std::max(min_latency_us, static_cast<double>(run_time_at(option, input, now).count()));
    const auto slots = usable_slots(*option.target, load, now);
    const auto busy = (estimate_in_flight(load, now) + 1) / (slots * ramp_share(load, now));
    const auto taken_share = 1 - max_shed_share * estimate_shed_share(load, now);
    return busy * (latency + failure_cost_us * load.failure_share) / taken_share;
}

/// Whether the endpoint is busy enough for calls to go to other data centres as well.
bool is_nearly_full(const candidate& option, instant now) {
    return estimate_in_flight(*option.load, now) >=
           spillover_share * usable_slots(*option.target, *option.load, now);
}

/// Whether the endpoint states a rate that allows no start now, by its gate's last report.
bool must_wait_for_rate(const candidate& option, const route_id& route, instant now) {
    return option.load->notice.calls_per_s > 0 &&
           estimate_wait(*option.load, route, now).count() > 0;
}

const candidate* better_of_two(const std::vector<candidate>& candidates, const choice_input& input,
                               instant now, random_source& random) {
    if (candidates.empty()) {
        return nullptr;
    }
    if (candidates.size() == 1) {
        return &candidates.front();
    }
    const auto first = random() % candidates.size();
    const auto second = (first + 1 + random() % (candidates.size() - 1)) % candidates.size();
    const bool is_second =
        score(candidates[second], input, now) < score(candidates[first], input, now);
    return &candidates[is_second ? second : first];
}

struct candidate_lists {
    std::vector<candidate> near;
    std::vector<candidate> near_with_room;
    std::vector<candidate> far;
    std::vector<candidate> far_with_room;
    std::vector<candidate> with_room;
    /// Cold ones whose turn hasn't come.
    std::vector<candidate> cold;
    std::vector<candidate> ejected;
};

/// Entries that learn of a cold upstream together don't ask it together: each draws its turn. One
/// that knows none of the endpoints has itself just started, and can't tell when they became cold.
void draw_first_turn(const choice_input& input, const endpoint& target, endpoint_load& load,
                     bool knows_others, instant now, random_source& random) {
    const auto cold_us = static_cast<std::uint64_t>(microseconds(target.warm_up_time).count());
    if (knows_others && cold_us > 0 && input.warm_up_calls_per_s > 0) {
        load.next_turn = now + microseconds(static_cast<std::int64_t>(random() % cold_us));
    }
}

candidate_lists sort_candidates(const choice_input& input, load_table& loads, instant now,
                                random_source& random) {
    candidate_lists lists;
    const bool knows_others =
        std::any_of(input.endpoints.begin(), input.endpoints.end(),
                    [&](const endpoint& target) { return loads.contains(target.node); });
    for (const auto& target : input.endpoints) {
        if (!input.versions.allows(target.version) || !takes_calls(target) ||
            std::find(input.tried.begin(), input.tried.end(), target.node) != input.tried.end()) {
            continue;
        }
        auto& load = get_or_create_load(loads, target, now);
        if (load.ready_since == now && load.is_unasked && load.next_turn == instant{}) {
            draw_first_turn(input, target, load, knows_others, now, random);
        }
        const candidate next{&target, &load};
        if (is_leaving(*next.load, target)) {
            continue;
        }
        if (is_ejected(*next.load, now) || now < next.load->closed_until) {
            lists.ejected.push_back(next);
            continue;
        }
        if (must_wait_for_turn(load, now)) {
            lists.cold.push_back(next);
            continue;
        }
        const bool is_near = target.data_centre == input.data_centre && !target.is_suspect;
        (is_near ? lists.near : lists.far).push_back(next);
        if (must_wait_for_rate(next, input.route, now)) {
            continue;
        }
        if (is_near && !is_nearly_full(next, now)) {
            lists.near_with_room.push_back(next);
        }
        if (has_room(target, *next.load, now)) {
            lists.with_room.push_back(next);
            if (!is_near) {
                lists.far_with_room.push_back(next);
            }
        }
    }
    return lists;
}

/// An endpoint whose ejection has ended is given one call, so that it can come back.
const endpoint* find_due_probe(const candidate_lists& lists) {
    for (const auto* list : {&lists.near, &lists.far}) {
        for (const auto& option : *list) {
            if (option.load->ejected_until) {
                return option.target;
            }
        }
    }
    return nullptr;
}

bool is_uneven(const candidate_lists& lists, instant now) {
    return std::any_of(lists.near.begin(), lists.near.end(),
                       [now](const candidate& option) { return states_pace(*option.load, now); });
}

/// The choice among endpoints that state their pace; null when none here has room.
const endpoint* choose_by_end(const candidate_lists& lists, const choice_input& input, instant now,
                              random_source& random) {
    const auto* near = better_of_two(lists.near_with_room, input, now, random);
    near = near == nullptr ? better_of_two(lists.near, input, now, random) : near;
    const auto* far = better_of_two(lists.far_with_room, input, now, random);
    if (near == nullptr || far == nullptr) {
        return near == nullptr ? nullptr : near->target;
    }
    const auto end_of = [&](const candidate& option) {
        return expected_end(*option.target, *option.load, *input.times, input.route, now);
    };
    const auto near_end = static_cast<double>(end_of(*near).count());
    const bool may_be_late =
        input.useful_until &&
        near_end > safe_share * static_cast<double>((*input.useful_until - now).count());
    const bool is_sooner_there =
        static_cast<double>(end_of(*far).count()) < clearly_sooner * near_end;
    return may_be_late && is_sooner_there ? far->target : near->target;
}

} // namespace

bool has_room(const endpoint& candidate, const endpoint_load& load, instant now) {
    return estimate_in_flight(load, now) < std::max(1.0, usable_slots(candidate, load, now));
}

std::optional<microseconds> least_wait(const choice_input& input, const load_table& loads,
                                       instant now) {
    std::optional<microseconds> least;
    for (const auto& target : input.endpoints) {
        if (!input.versions.allows(target.version) || !takes_calls(target)) {
            continue;
        }
        const auto load = loads.find(target.node);
        if (load != loads.end() && is_leaving(load->second, target)) {
            continue;
        }
        const auto wait =
            load == loads.end() ? microseconds{0} : estimate_wait(load->second, input.route, now);
        least = least ? std::min(*least, wait) : wait;
    }
    return least;
}

service_id choose_service(const route& target, random_source& random) {
    std::uint64_t weights = 0;
    for (const auto& part : target.split) {
        weights += part.weight;
    }
    if (weights == 0) {
        return target.service;
    }
    auto draw = random() % weights;
    for (const auto& part : target.split) {
        if (draw < part.weight) {
            return part.service;
        }
        draw -= part.weight;
    }
    return target.service;
}

version_filter choose_version(const routing_view& view, const service& target,
                              std::optional<std::string_view> caller_key, random_source& random) {
    const auto share = view.shares.find(target.name);
    if (share == view.shares.end()) {
        return {.only = target.version, .except = {}};
    }
    const auto draw = (caller_key ? hash_key(*caller_key) : random()) % all_permille;
    const version_filter on_new{.only = share->second.new_version, .except = {}};
    const bool is_new = draw < share->second.permille && has_ready(view, target.name, on_new);
    return is_new ? on_new : old_versions(share->second);
}

const endpoint* choose_endpoint(const choice_input& input, load_table& loads, instant now,
                                random_source& random) {
    const auto lists = sort_candidates(input, loads, now, random);
    // Only first attempts serve as probes: a retry should complete the call.
    if (input.tried.empty()) {
        if (const auto* probe = find_due_probe(lists)) {
            return probe;
        }
    }
    if (input.times != nullptr && is_uneven(lists, now)) {
        if (const auto* chosen = choose_by_end(lists, input, now, random)) {
            return chosen;
        }
    }
    for (const auto* list : {&lists.near_with_room, &lists.with_room, &lists.near, &lists.far,
                             &lists.cold, &lists.ejected}) {
        if (const auto* chosen = better_of_two(*list, input, now, random)) {
            return chosen->target;
        }
    }
    return nullptr;
}

} // namespace cyclamenhatch::call

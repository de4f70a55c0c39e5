#include "move/reports.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace cyclamenhatch::moves {

namespace {

constexpr std::size_t score_count = reference_count * measure_count * effect_count;
/// Largest score that one entry adds per step.
constexpr float max_step_score = 6.0F;
/// Largest score of a source's first report.
constexpr float max_first_score = 50.0F;
/// Calls by other sources on the same route that make them witnesses.
constexpr std::uint64_t witness_calls = 20;
constexpr milliseconds silent_group_time{15000};

std::vector<float> flatten(const score_table& scores) {
    std::vector<float> flat;
    flat.reserve(score_count);
    for (const auto& with : scores) {
        for (const auto& of : with) {
            flat.insert(flat.end(), of.begin(), of.end());
        }
    }
    return flat;
}

score_table unflatten(const std::vector<float>& flat) {
    score_table scores{};
    if (flat.size() != score_count ||
        !std::all_of(flat.begin(), flat.end(), [](float each) { return std::isfinite(each); })) {
        return scores;
    }
    std::size_t next = 0;
    for (auto& with : scores) {
        for (auto& of : with) {
            for (float& each : of) {
                each = flat[next++];
            }
        }
    }
    return scores;
}

std::uint32_t saturate(std::uint64_t count) {
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(count, UINT32_MAX));
}

/// The buckets up to the last one that holds calls.
std::vector<std::uint32_t> write_latency(const latency_counts& counts) {
    const auto last =
        std::find_if(counts.rbegin(), counts.rend(), [](std::uint64_t each) { return each > 0; });
    std::vector<std::uint32_t> written;
    std::transform(counts.begin(), last.base(), std::back_inserter(written), saturate);
    return written;
}

latency_counts read_latency(const std::vector<std::uint32_t>& from) {
    latency_counts counts{};
    std::copy_n(from.begin(), std::min(from.size(), counts.size()), counts.begin());
    return counts;
}

std::unique_ptr<msg::route_evidence_msg> make_route(const route_id& name, const version_id& version,
                                                    std::uint64_t calls, std::uint64_t errors) {
    auto made = std::make_unique<msg::route_evidence_msg>();
    made->route = name.value;
    made->version = version.value;
    made->calls = saturate(calls);
    made->errors = saturate(errors);
    return made;
}

/// What one source's route brought since the last step.
score_table take_route(const score_table& now_at, score_table& seen, score_table& credit,
                       float max_step) {
    score_table taken{};
    for (std::size_t with = 0; with < reference_count; ++with) {
        for (std::size_t of = 0; of < measure_count; ++of) {
            for (std::size_t i = 0; i < effect_count; ++i) {
                const float step = std::min(now_at[with][of][i] - seen[with][of][i], max_step);
                float& held = credit[with][of][i];
                held = std::max(held + step, 0.0F);
                taken[with][of][i] = step;
            }
        }
    }
    seen = now_at;
    return taken;
}

void add_scores(effect_scores& sum, const effect_scores& added) {
    for (std::size_t i = 0; i < effect_count; ++i) {
        sum[i] += added[i];
    }
}

/// One source's part of a step.
struct source_step {
    score_table taken{};
    score_table credit{};
    std::uint64_t calls = 0;
};

float strength(const effect_scores& scores) {
    return *std::max_element(scores.begin(), scores.end());
}

/// The source with the strongest evidence, or the number of sources when none has any.
std::size_t find_strongest(const std::vector<source_step>& steps, std::size_t with,
                           std::size_t of) {
    std::size_t strongest = steps.size();
    float most = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const float found = strength(steps[i].credit[with][of]);
        if (found > most) {
            most = found;
            strongest = i;
        }
    }
    return strongest;
}

route_step join(const std::vector<source_step>& steps) {
    route_step joined;
    std::uint64_t all_calls = 0;
    std::uint64_t most_calls = 0;
    for (const auto& each : steps) {
        all_calls += each.calls;
    }
    for (std::size_t with = 0; with < reference_count; ++with) {
        for (std::size_t of = 0; of < measure_count; ++of) {
            const std::size_t strongest = find_strongest(steps, with, of);
            for (std::size_t i = 0; i < steps.size(); ++i) {
                add_scores(joined.all[with][of], steps[i].taken[with][of]);
                if (i != strongest) {
                    add_scores(joined.without_strongest[with][of], steps[i].taken[with][of]);
                }
            }
            if (strongest < steps.size()) {
                most_calls = std::max(most_calls, steps[strongest].calls);
            }
        }
    }
    joined.has_witnesses = all_calls - most_calls >= witness_calls;
    return joined;
}

} // namespace

report make_report(const attempt_key& key, const std::string& source, const entry_evidence& from,
                   instant now, bool has_latencies) {
    report made{.key = key,
                .source = source,
                .sequence = static_cast<std::uint64_t>(to_unix_ms(now)),
                .begun = from.begun};
    for (const auto& [name, route] : from.routes) {
        made.routes.emplace(name,
                            route_totals{.new_calls = route.on_new.calls,
                                         .new_errors = route.on_new.errors,
                                         .new_refusals = route.on_new.refusals,
                                         .old_calls = route.on_old.calls,
                                         .old_errors = route.on_old.errors,
                                         .busy_us = route.on_new.busy_us + route.on_old.busy_us,
                                         .scores = route.closed});
        if (has_latencies) {
            made.routes[name].new_latency = route.on_new.latency;
            made.routes[name].old_latency = route.on_old.latency;
        }
    }
    return made;
}

msg::move_evidence_msg to_message(const report& from, const version_id& from_version,
                                  const version_id& to_version) {
    msg::move_evidence_msg made;
    made.service = from.key.service.value;
    made.move = from.key.name.value;
    made.attempt = from.key.attempt;
    made.source = from.source;
    made.sequence = from.sequence;
    made.sources = from.sources;
    made.window_start_ms = to_unix_ms(from.begun);
    made.window_ms = static_cast<std::uint32_t>(
        std::max<std::int64_t>(static_cast<std::int64_t>(from.sequence) - made.window_start_ms, 0));
    for (const auto& [name, totals] : from.routes) {
        auto on_new = make_route(name, to_version, totals.new_calls, totals.new_errors);
        on_new->refusals = saturate(totals.new_refusals);
        on_new->busy_us = totals.busy_us;
        on_new->scores = flatten(totals.scores);
        on_new->latency = write_latency(totals.new_latency);
        made.routes.push_back(std::move(on_new));
        auto on_old = make_route(name, from_version, totals.old_calls, totals.old_errors);
        on_old->latency = write_latency(totals.old_latency);
        made.routes.push_back(std::move(on_old));
    }
    return made;
}

report from_message(const msg::move_evidence_msg& from, const version_id& to_version) {
    report made{.key = {.service = service_id(from.service),
                        .name = move_id(from.move),
                        .attempt = from.attempt},
                .source = from.source,
                .sequence = from.sequence,
                .sources = from.sources,
                .begun = from_unix_ms(from.window_start_ms)};
    for (const auto& each : from.routes) {
        if (!each || (made.routes.size() >= max_report_routes &&
                      !made.routes.contains(route_id(each->route)))) {
            continue;
        }
        route_totals& totals = made.routes[route_id(each->route)];
        if (each->version != to_version.value) {
            totals.old_calls = each->calls;
            totals.old_errors = each->errors;
            totals.old_latency = read_latency(each->latency);
            continue;
        }
        totals.new_calls = each->calls;
        totals.new_errors = each->errors;
        totals.new_refusals = each->refusals;
        totals.busy_us = each->busy_us;
        totals.new_latency = read_latency(each->latency);
        totals.scores = unflatten(each->scores);
    }
    return made;
}

bool accept(collection& self, const report& from, instant now) {
    const auto found = self.sources.find(from.source);
    if (found != self.sources.end()) {
        source_record& held = found->second;
        if (from.sequence <= held.latest.sequence) {
            return false;
        }
        if (from.begun != held.latest.begun) {
            // It began anew, as after a restart: what it counted before stands no longer in its
            // sums.
            held.seen.clear();
        }
        held.latest = from;
        held.heard = now;
        return true;
    }
    if (self.sources.size() >= max_sources) {
        return false;
    }
    self.sources.emplace(from.source, source_record{.latest = from, .heard = now});
    return true;
}

std::map<route_id, route_step> take_steps(collection& self) {
    std::map<route_id, std::vector<source_step>> by_route;
    for (auto& [name, source] : self.sources) {
        const auto entries = std::max(source.latest.sources, 1U);
        // The first report brings all that the source has seen so far.
        const float max_step =
            source.is_fresh ? max_first_score : max_step_score * static_cast<float>(entries);
        source.is_fresh = false;
        for (const auto& [route, totals] : source.latest.routes) {
            score_table& credit = source.credit[route];
            source_step step{.calls = totals.new_calls + totals.old_calls};
            step.taken = take_route(totals.scores, source.seen[route], credit, max_step);
            step.credit = credit;
            by_route[route].push_back(step);
        }
    }
    std::map<route_id, route_step> joined;
    for (const auto& [route, steps] : by_route) {
        joined.emplace(route, join(steps));
    }
    return joined;
}

void add_totals(route_totals& sum, const route_totals& added) {
    sum.new_calls += added.new_calls;
    sum.new_errors += added.new_errors;
    sum.new_refusals += added.new_refusals;
    sum.old_calls += added.old_calls;
    sum.old_errors += added.old_errors;
    sum.busy_us += added.busy_us;
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        sum.new_latency.at(i) += added.new_latency.at(i);
        sum.old_latency.at(i) += added.old_latency.at(i);
    }
}

std::map<route_id, route_totals> sum_totals(const collection& self) {
    std::map<route_id, route_totals> sums;
    for (const auto& [name, source] : self.sources) {
        for (const auto& [route, totals] : source.latest.routes) {
            route_totals& sum = sums[route];
            add_totals(sum, totals);
        }
    }
    return sums;
}

std::uint32_t count_sources(const collection& self) {
    std::uint32_t sum = 0;
    for (const auto& [name, source] : self.sources) {
        sum += source.latest.sources;
    }
    return sum;
}

void drop_silent_groups(collection& self, instant now) {
    std::erase_if(self.sources, [now](const auto& each) {
        return each.second.latest.sources > 1 && each.second.heard + silent_group_time < now;
    });
}

} // namespace cyclamenhatch::moves

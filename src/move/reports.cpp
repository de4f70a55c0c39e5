#include "move/reports.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>
#include <vector>

namespace cyclamenhatch::moves {

namespace {

constexpr std::size_t score_count = reference_count * measure_count * effect_count;
/// Largest score that one entry adds per step.
constexpr float max_step_score = 6.0F;
/// Largest score of a source's first report.
constexpr float max_first_score = 50.0F;
/// Calls of other sources on the same route from which they count as witnesses.
constexpr std::uint64_t witness_calls = 20;
constexpr milliseconds silent_group_time{15000};

std::vector<float> flatten(const score_table& scores) {
    std::vector<float> flat;
    flat.reserve(score_count);
    for (const auto& measures : scores) {
        for (const auto& effects : measures) {
            flat.insert(flat.end(), effects.begin(), effects.end());
        }
    }
    return flat;
}

score_table unflatten(const std::vector<float>& flat) {
    score_table scores{};
    if (flat.size() != score_count ||
        !std::all_of(flat.begin(), flat.end(), [](float value) { return std::isfinite(value); })) {
        return scores;
    }
    std::size_t next = 0;
    for (auto& measures : scores) {
        for (auto& effects : measures) {
            for (float& value : effects) {
                value = flat[next++];
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
        std::find_if(counts.rbegin(), counts.rend(), [](std::uint64_t calls) { return calls > 0; });
    std::vector<std::uint32_t> written;
    std::transform(counts.begin(), last.base(), std::back_inserter(written), saturate);
    return written;
}

latency_counts read_latency(const std::vector<std::uint32_t>& values) {
    latency_counts counts{};
    std::copy_n(values.begin(), std::min(values.size(), counts.size()), counts.begin());
    return counts;
}

std::unique_ptr<msg::route_evidence_msg> make_route(const route_id& name, const version_id& version,
                                                    std::uint64_t calls, std::uint64_t errors) {
    auto message = std::make_unique<msg::route_evidence_msg>();
    message->route = name.value;
    message->version = version.value;
    message->calls = saturate(calls);
    message->errors = saturate(errors);
    return message;
}

/// Scores of one source's route since the last step, each at most `max_step`.
score_table take_route_scores(const score_table& current, score_table& seen, score_table& credit,
                              float max_step) {
    score_table added{};
    for (std::size_t reference_index = 0; reference_index < reference_count; ++reference_index) {
        for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
            for (std::size_t i = 0; i < effect_count; ++i) {
                const float step = std::min(current[reference_index][measure_index][i] -
                                                seen[reference_index][measure_index][i],
                                            max_step);
                float& route_credit = credit[reference_index][measure_index][i];
                route_credit = std::max(route_credit + step, 0.0F);
                added[reference_index][measure_index][i] = step;
            }
        }
    }
    seen = current;
    return added;
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
std::size_t find_strongest(const std::vector<source_step>& steps, std::size_t reference_index,
                           std::size_t measure_index) {
    std::size_t strongest = steps.size();
    float highest = 0;
    for (std::size_t i = 0; i < steps.size(); ++i) {
        const float source_strength = strength(steps[i].credit[reference_index][measure_index]);
        if (source_strength > highest) {
            highest = source_strength;
            strongest = i;
        }
    }
    return strongest;
}

route_step combine_steps(const std::vector<source_step>& steps) {
    route_step joined;
    std::uint64_t all_calls = 0;
    std::uint64_t most_calls = 0;
    for (const auto& step : steps) {
        all_calls += step.calls;
    }
    for (std::size_t reference_index = 0; reference_index < reference_count; ++reference_index) {
        for (std::size_t measure_index = 0; measure_index < measure_count; ++measure_index) {
            const std::size_t strongest = find_strongest(steps, reference_index, measure_index);
            for (std::size_t i = 0; i < steps.size(); ++i) {
                add_scores(joined.all[reference_index][measure_index],
                           steps[i].taken[reference_index][measure_index]);
                if (i != strongest) {
                    add_scores(joined.without_strongest[reference_index][measure_index],
                               steps[i].taken[reference_index][measure_index]);
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

/// Applies an operation to each count; scores are left unchanged.
template <class Operation>
void combine_totals(route_totals& left, const route_totals& right, Operation apply) {
    left.new_calls = apply(left.new_calls, right.new_calls);
    left.new_errors = apply(left.new_errors, right.new_errors);
    left.new_refusals = apply(left.new_refusals, right.new_refusals);
    left.old_calls = apply(left.old_calls, right.old_calls);
    left.old_errors = apply(left.old_errors, right.old_errors);
    left.busy_us = apply(left.busy_us, right.busy_us);
    for (std::size_t i = 0; i < latency_buckets; ++i) {
        left.new_latency.at(i) = apply(left.new_latency.at(i), right.new_latency.at(i));
        left.old_latency.at(i) = apply(left.old_latency.at(i), right.old_latency.at(i));
    }
}

void add_to_sums(collection& self, const report& added) {
    for (const auto& [route, totals] : added.routes) {
        add_totals(self.sums[route], totals);
    }
}

void remove_from_sums(collection& self, const report& removed) {
    for (const auto& [route, totals] : removed.routes) {
        combine_totals(self.sums[route], totals,
                       [](std::uint64_t left, std::uint64_t right) { return left - right; });
    }
}

/// Routes that a report of this source may have beside those of the others.
std::size_t room_for(const collection& self, const std::string& reporter) {
    std::size_t taken = 0;
    for (const auto& [name, source] : self.sources) {
        taken += name == reporter ? 0 : source.latest.routes.size();
    }
    return taken < max_collected_routes ? max_collected_routes - taken : 0;
}

} // namespace

report make_report(const attempt_key& key, const std::string& source,
                   const entry_evidence& evidence, instant now, bool has_latencies) {
    report created{.key = key,
                   .source = source,
                   .sequence = static_cast<std::uint64_t>(to_unix_ms(now)),
                   .begun = evidence.begun};
    for (const auto& [name, route] : evidence.routes) {
        created.routes.emplace(name,
                               route_totals{.new_calls = route.on_new.calls,
                                            .new_errors = route.on_new.errors,
                                            .new_refusals = route.on_new.refusals,
                                            .old_calls = route.on_old.calls,
                                            .old_errors = route.on_old.errors,
                                            .busy_us = route.on_new.busy_us + route.on_old.busy_us,
                                            .scores = route.closed});
        if (has_latencies) {
            created.routes[name].new_latency = route.on_new.latency;
            created.routes[name].old_latency = route.on_old.latency;
        }
    }
    return created;
}

msg::move_evidence_msg to_message(const report& sent, const version_id& from_version,
                                  const version_id& to_version) {
    if (sent.routes.size() - sent.routes.count(rest_of_routes()) > max_report_routes) {
        report folded = sent;
        folded.cut_routes += fold_routes(folded.routes, max_report_routes);
        return to_message(folded, from_version, to_version);
    }
    msg::move_evidence_msg message;
    message.cut_routes = sent.cut_routes;
    message.service = sent.key.service.value;
    message.move = sent.key.name.value;
    message.attempt = sent.key.attempt;
    message.source = sent.source;
    message.sequence = sent.sequence;
    message.sources = sent.sources;
    message.window_start_ms = to_unix_ms(sent.begun);
    message.window_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(
        static_cast<std::int64_t>(sent.sequence) - message.window_start_ms, 0));
    for (const auto& [name, totals] : sent.routes) {
        auto on_new = make_route(name, to_version, totals.new_calls, totals.new_errors);
        on_new->refusals = saturate(totals.new_refusals);
        on_new->busy_us = totals.busy_us;
        on_new->scores = flatten(totals.scores);
        on_new->latency = write_latency(totals.new_latency);
        message.routes.push_back(std::move(on_new));
        auto on_old = make_route(name, from_version, totals.old_calls, totals.old_errors);
        on_old->latency = write_latency(totals.old_latency);
        message.routes.push_back(std::move(on_old));
    }
    return message;
}

report from_message(const msg::move_evidence_msg& message, const version_id& to_version) {
    report received{.key = {.service = service_id(message.service),
                            .name = move_id(message.move),
                            .attempt = message.attempt},
                    .source = message.source,
                    .sequence = message.sequence,
                    .sources = message.sources,
                    .begun = from_unix_ms(message.window_start_ms),
                    .cut_routes = message.cut_routes};
    for (const auto& route : message.routes) {
        if (!route) {
            continue;
        }
        route_totals& totals = received.routes[route_id(route->route)];
        if (route->version != to_version.value) {
            totals.old_calls = route->calls;
            totals.old_errors = route->errors;
            totals.old_latency = read_latency(route->latency);
            continue;
        }
        totals.new_calls = route->calls;
        totals.new_errors = route->errors;
        totals.new_refusals = route->refusals;
        totals.busy_us = route->busy_us;
        totals.new_latency = read_latency(route->latency);
        totals.scores = unflatten(route->scores);
    }
    received.cut_routes += fold_routes(received.routes, max_report_routes);
    return received;
}

bool accept(collection& self, report received, instant now) {
    const auto room = room_for(self, received.source);
    received.cut_routes += fold_routes(received.routes, room);
    const auto it = self.sources.find(received.source);
    if (it != self.sources.end()) {
        source_record& record = it->second;
        if (received.sequence <= record.latest.sequence) {
            return false;
        }
        if (received.begun != record.latest.begun) {
            // The source restarted, so its sums no longer include what it counted before.
            record.seen.clear();
        }
        remove_from_sums(self, record.latest);
        record.latest = std::move(received);
        add_to_sums(self, record.latest);
        record.received_at = now;
        return true;
    }
    if (self.sources.size() >= max_sources) {
        self.has_refused_source = true;
        return false;
    }
    add_to_sums(self, received);
    const auto source = received.source;
    self.sources.emplace(source, source_record{.latest = std::move(received), .received_at = now});
    return true;
}

std::uint32_t count_cut(const collection& self) {
    std::uint32_t cut = self.has_refused_source ? 1 : 0;
    for (const auto& [name, source] : self.sources) {
        cut += source.latest.cut_routes;
    }
    return cut;
}

std::map<route_id, route_step> take_steps(collection& self) {
    std::map<route_id, std::vector<source_step>> by_route;
    for (auto& [name, source] : self.sources) {
        const auto entries = std::max(source.latest.sources, 1U);
        // The first report holds the scores of all calls so far.
        const float max_step =
            source.is_fresh ? max_first_score : max_step_score * static_cast<float>(entries);
        source.is_fresh = false;
        for (const auto& [route, totals] : source.latest.routes) {
            score_table& credit = source.credit[route];
            source_step step{.calls = totals.new_calls + totals.old_calls};
            step.taken = take_route_scores(totals.scores, source.seen[route], credit, max_step);
            step.credit = credit;
            by_route[route].push_back(step);
        }
    }
    std::map<route_id, route_step> joined;
    for (const auto& [route, steps] : by_route) {
        joined.emplace(route, combine_steps(steps));
    }
    return joined;
}

void add_totals(route_totals& sum, const route_totals& added) {
    combine_totals(sum, added,
                   [](std::uint64_t left, std::uint64_t right) { return left + right; });
}

const std::map<route_id, route_totals>& sum_totals(const collection& self) {
    return self.sums;
}

std::uint32_t count_sources(const collection& self) {
    std::uint32_t sum = 0;
    for (const auto& [name, source] : self.sources) {
        sum += source.latest.sources;
    }
    return sum;
}

void drop_silent_groups(collection& self, instant now) {
    std::erase_if(self.sources, [&](const auto& entry) {
        const bool is_silent =
            entry.second.latest.sources > 1 && entry.second.received_at + silent_group_time < now;
        if (is_silent) {
            remove_from_sums(self, entry.second.latest);
        }
        return is_silent;
    });
}

} // namespace cyclamenhatch::moves

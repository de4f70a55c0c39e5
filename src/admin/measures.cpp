#include "admin/measures.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <optional>

namespace cyclamenhatch::admin {

/// `mutex` guards the positions; the registry guards itself.
struct measures {
    std::shared_ptr<metrics::registry> registry = metrics::make_registry();
    std::mutex mutex;
    /// Versions up to these have been counted; nothing until the node is first ready.
    std::optional<config_version> converged;
    config_version endings;
};

namespace {

/// Other methods count together, so that callers cannot make up any number of series.
std::string to_label(const std::string& method) {
    constexpr std::array<std::string_view, 4> known{"GET", "PUT", "POST", "DELETE"};
    return std::find(known.begin(), known.end(), method) == known.end() ? "other" : method;
}

void count_convergence(measures& into, const backend& node) {
    auto& histogram =
        metrics::get_latency(*into.registry, "cyclamenhatch_convergence_seconds",
                             "From the acceptance of a version to its being in force everywhere.");
    const auto counted = *into.converged;
    for (const auto& each : node.progress()) {
        if (each.version > counted && each.in_force != instant{}) {
            metrics::record(histogram, each.in_force - each.accepted);
            into.converged = std::max(*into.converged, each.version);
        }
    }
}

void count_ending(measures& into, const move& ended) {
    const bool is_done = ended.ending->outcome == move_outcome::done;
    const bool is_in_time = ended.ending->in_force_at <= ended.deadline;
    const metrics::label outcome{"outcome", is_done ? "done" : "taken_back"};
    auto& registry = *into.registry;
    metrics::get_counter(registry, "cyclamenhatch_moves_ended_total", "Moves that ended.",
                         {outcome, {"in_time", is_in_time ? "yes" : "no"}})
        .add();
    metrics::get_counter(registry, "cyclamenhatch_move_calls_on_new_total",
                         "Calls that met the new version in moves that ended.", {outcome})
        .add(ended.ending->calls_on_new);
    metrics::get_counter(registry, "cyclamenhatch_move_errors_on_new_total",
                         "Errors of the new version in moves that ended.", {outcome})
        .add(ended.ending->errors_on_new);
}

void count_endings(measures& into, const snapshot& config) {
    for (const auto& [name, part] : config.sections) {
        for (const auto& each : part->content.moves) {
            if (each.ending && each.last_write.revision > into.endings) {
                count_ending(into, each);
            }
        }
    }
    into.endings = std::max(into.endings, config.version);
}

} // namespace

std::shared_ptr<measures> make_measures() {
    return std::make_shared<measures>();
}

void record_request(measures& into, const std::string& method, int status, microseconds taken) {
    const metrics::label label{"method", to_label(method)};
    metrics::get_counter(*into.registry, "cyclamenhatch_api_requests_total",
                         "Operators' requests answered.",
                         {label, {"status", std::to_string(status)}})
        .add();
    metrics::record(metrics::get_latency(*into.registry, "cyclamenhatch_api_request_seconds",
                                         "Time to answer operators' requests.", {label}),
                    taken);
}

std::string write_measures(measures& from, const backend& node) {
    const std::lock_guard lock(from.mutex);
    const auto config = node.configuration();
    const bool is_ready = config && (!node.is_ready || node.is_ready());
    if (is_ready && !from.converged) {
        from.converged = config->version;
        from.endings = config->version;
    }
    if (is_ready) {
        count_convergence(from, node);
        count_endings(from, *config);
    }
    return metrics::write_text(*from.registry);
}

} // namespace cyclamenhatch::admin

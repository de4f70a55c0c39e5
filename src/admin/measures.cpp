#include "admin/measures.h"

#include <algorithm>
#include <array>
#include <mutex>
#include <optional>

namespace cyclamenhatch::admin {

/// `mutex` guards last_converged and last_ending; the registry is thread safe.
struct metrics_collector {
    std::shared_ptr<metrics::registry> registry = metrics::make_registry();
    std::mutex mutex;
    /// Newest version whose convergence was counted; empty until the node is first ready.
    std::optional<config_version> last_converged;
    /// Newest version whose ended moves were counted.
    config_version last_ending;
};

namespace {

/// Groups all other methods as one, so that callers cannot create any number of series.
std::string to_label(const std::string& method) {
    constexpr std::array<std::string_view, 4> named_methods{"GET", "PUT", "POST", "DELETE"};
    return std::find(named_methods.begin(), named_methods.end(), method) == named_methods.end()
               ? "other"
               : method;
}

void count_convergence(metrics_collector& collector, const backend& node) {
    auto& histogram =
        metrics::get_latency(*collector.registry, "cyclamenhatch_convergence_seconds",
                             "From the acceptance of a version to its being in force everywhere.");
    const auto previous = *collector.last_converged;
    for (const auto& progress : node.progress()) {
        if (progress.version > previous && progress.in_force_at != instant{}) {
            metrics::record(histogram, progress.in_force_at - progress.accepted_at);
            collector.last_converged = std::max(*collector.last_converged, progress.version);
        }
    }
}

void count_ending(metrics_collector& collector, const move& ended) {
    const bool is_done = ended.ending->outcome == move_outcome::done;
    const bool is_in_time = ended.ending->in_force_at <= ended.deadline;
    const metrics::label outcome{"outcome", is_done ? "done" : "taken_back"};
    auto& registry = *collector.registry;
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

void count_endings(metrics_collector& collector, const snapshot& config) {
    for (const auto& [name, part] : config.sections) {
        for (const auto& candidate : part->content.moves) {
            if (candidate.ending && candidate.last_write.revision > collector.last_ending) {
                count_ending(collector, candidate);
            }
        }
    }
    collector.last_ending = std::max(collector.last_ending, config.version);
}

} // namespace

std::shared_ptr<metrics_collector> make_metrics_collector() {
    return std::make_shared<metrics_collector>();
}

void record_request(metrics_collector& collector, const std::string& method, int status,
                    microseconds duration) {
    const metrics::label label{"method", to_label(method)};
    metrics::get_counter(*collector.registry, "cyclamenhatch_api_requests_total",
                         "Operators' requests answered.",
                         {label, {"status", std::to_string(status)}})
        .add();
    metrics::record(metrics::get_latency(*collector.registry, "cyclamenhatch_api_request_seconds",
                                         "Time to answer operators' requests.", {label}),
                    duration);
}

std::string write_metrics(metrics_collector& collector, const backend& node) {
    const std::lock_guard lock(collector.mutex);
    const auto config = node.configuration();
    const bool is_ready = config && (!node.is_ready || node.is_ready());
    if (is_ready && !collector.last_converged) {
        collector.last_converged = config->version;
        collector.last_ending = config->version;
    }
    if (is_ready) {
        count_convergence(collector, node);
        count_endings(collector, *config);
    }
    return metrics::write_text(*collector.registry);
}

} // namespace cyclamenhatch::admin

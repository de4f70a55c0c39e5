#include "admin/watch.h"
#include "admin/move_report.h"

#include <algorithm>

namespace cyclamenhatch::admin {
namespace {

constexpr std::size_t max_pending = 1024;

std::int64_t to_number(config_version version) {
    return static_cast<std::int64_t>(version.value);
}

bool is_in_force(const distribution::version_progress& progress) {
    return progress.in_force_at != instant{};
}

document list_operations(const std::vector<operation_id>& operations) {
    document::array items;
    for (const auto& operation : operations) {
        items.emplace_back(operation.value);
    }
    return {std::move(items)};
}

document describe_accepted(const distribution::version_progress& progress) {
    return {document::table{{"event", "accepted"},
                            {"version", to_number(progress.version)},
                            {"accepted_at", format_rfc3339(progress.accepted_at)},
                            {"operations", list_operations(progress.operations)}}};
}

document describe_in_force(const distribution::version_progress& progress) {
    const auto duration =
        std::chrono::duration_cast<milliseconds>(progress.in_force_at - progress.accepted_at);
    return {document::table{{"event", "in_force"},
                            {"version", to_number(progress.version)},
                            {"accepted_at", format_rfc3339(progress.accepted_at)},
                            {"in_force_at", format_rfc3339(progress.in_force_at)},
                            {"convergence_ms", std::int64_t{duration.count()}},
                            {"nodes", std::int64_t{progress.nodes}},
                            {"slowest", progress.slowest.value},
                            {"operations", list_operations(progress.operations)}}};
}

document describe_ended(const move& ended) {
    document::table event{{"event", "move_ended"},
                          {"version", to_number(ended.last_write.revision)},
                          {"service", ended.service.value},
                          {"move", ended.name.value},
                          {"attempt", std::int64_t{ended.attempt}}};
    for (auto& member : describe_ending(*ended.ending)) {
        event.push_back(std::move(member));
    }
    return {std::move(event)};
}

document describe_gap(config_version after, config_version next) {
    return {
        document::table{{"event", "gap"}, {"after", to_number(after)}, {"next", to_number(next)}}};
}

void add_accepted(watch_cursor& cursor, const std::vector<distribution::version_progress>& progress,
                  std::vector<document>& events) {
    for (const auto& progress_entry : progress) {
        if (progress_entry.version <= cursor.accepted) {
            continue;
        }
        if (progress_entry.version.value > cursor.accepted.value + 1) {
            events.push_back(describe_gap(cursor.accepted, progress_entry.version));
        }
        events.push_back(describe_accepted(progress_entry));
        cursor.accepted = progress_entry.version;
        cursor.pending.insert(progress_entry.version);
    }
}

/// When a version is in force, so are all earlier ones, also those that this node never had.
void add_in_force(watch_cursor& cursor, const std::vector<distribution::version_progress>& progress,
                  std::vector<document>& events) {
    for (const auto& progress_entry : progress) {
        const bool is_pending =
            !cursor.pending.empty() && *cursor.pending.begin() <= progress_entry.version;
        if (is_in_force(progress_entry) && is_pending) {
            events.push_back(describe_in_force(progress_entry));
            cursor.pending.erase(cursor.pending.begin(),
                                 cursor.pending.upper_bound(progress_entry.version));
        }
    }
    while (cursor.pending.size() > max_pending) {
        cursor.pending.erase(cursor.pending.begin());
    }
}

void add_endings(watch_cursor& cursor, const snapshot_ptr& config, std::vector<document>& events) {
    if (!config || config->version <= cursor.endings) {
        return;
    }
    for (const auto& [name, part] : config->sections) {
        for (const auto& candidate : part->content.moves) {
            if (candidate.ending && candidate.last_write.revision > cursor.endings) {
                events.push_back(describe_ended(candidate));
            }
        }
    }
    cursor.endings = config->version;
}

} // namespace

watch_cursor make_watch_cursor(config_version after, instant now) {
    watch_cursor cursor{.accepted = after, .endings = after, .pending = {}, .last_event = now};
    if (after > config_version{}) {
        cursor.pending.insert(after);
    }
    return cursor;
}

std::vector<document> next_events(watch_cursor& cursor, const backend& node, instant now) {
    std::vector<document> events;
    const auto config = node.configuration();
    const auto progress = node.progress();
    add_accepted(cursor, progress, events);
    add_in_force(cursor, progress, events);
    add_endings(cursor, config, events);
    if (events.empty() && now - cursor.last_event >= alive_interval) {
        events.emplace_back(document::table{{"event", "alive"},
                                            {"version", config ? to_number(config->version) : 0}});
    }
    if (!events.empty()) {
        cursor.last_event = now;
    }
    return events;
}

} // namespace cyclamenhatch::admin

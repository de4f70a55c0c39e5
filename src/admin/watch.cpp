#include "admin/watch.h"
#include "admin/move_report.h"

#include <algorithm>

namespace cyclamenhatch::admin {
namespace {

constexpr std::size_t max_awaited = 1024;

std::int64_t to_number(config_version version) {
    return static_cast<std::int64_t>(version.value);
}

bool is_in_force(const distribution::version_progress& from) {
    return from.in_force != instant{};
}

document list_operations(const std::vector<operation_id>& from) {
    document::array items;
    for (const auto& each : from) {
        items.emplace_back(each.value);
    }
    return {std::move(items)};
}

document describe_accepted(const distribution::version_progress& from) {
    return {document::table{{"event", "accepted"},
                            {"version", to_number(from.version)},
                            {"accepted_at", format_rfc3339(from.accepted)},
                            {"operations", list_operations(from.operations)}}};
}

document describe_in_force(const distribution::version_progress& from) {
    const auto taken = std::chrono::duration_cast<milliseconds>(from.in_force - from.accepted);
    return {document::table{{"event", "in_force"},
                            {"version", to_number(from.version)},
                            {"accepted_at", format_rfc3339(from.accepted)},
                            {"in_force_at", format_rfc3339(from.in_force)},
                            {"convergence_ms", std::int64_t{taken.count()}},
                            {"nodes", std::int64_t{from.nodes}},
                            {"slowest", from.slowest.value},
                            {"operations", list_operations(from.operations)}}};
}

document describe_ended(const move& from) {
    document::table event{{"event", "move_ended"},
                          {"version", to_number(from.last_write.revision)},
                          {"service", from.service.value},
                          {"move", from.name.value},
                          {"attempt", std::int64_t{from.attempt}}};
    for (auto& each : describe_ending(*from.ending)) {
        event.push_back(std::move(each));
    }
    return {std::move(event)};
}

document describe_gap(config_version after, config_version next) {
    return {
        document::table{{"event", "gap"}, {"after", to_number(after)}, {"next", to_number(next)}}};
}

void add_accepted(watch_cursor& cursor, const std::vector<distribution::version_progress>& progress,
                  std::vector<document>& events) {
    for (const auto& each : progress) {
        if (each.version <= cursor.accepted) {
            continue;
        }
        if (each.version.value > cursor.accepted.value + 1) {
            events.push_back(describe_gap(cursor.accepted, each.version));
        }
        events.push_back(describe_accepted(each));
        cursor.accepted = each.version;
        cursor.awaited.insert(each.version);
    }
}

/// A version in force means that every earlier one is as well, also one that this node never held.
void add_in_force(watch_cursor& cursor, const std::vector<distribution::version_progress>& progress,
                  std::vector<document>& events) {
    for (const auto& each : progress) {
        const bool is_awaited = !cursor.awaited.empty() && *cursor.awaited.begin() <= each.version;
        if (is_in_force(each) && is_awaited) {
            events.push_back(describe_in_force(each));
            cursor.awaited.erase(cursor.awaited.begin(), cursor.awaited.upper_bound(each.version));
        }
    }
    while (cursor.awaited.size() > max_awaited) {
        cursor.awaited.erase(cursor.awaited.begin());
    }
}

void add_endings(watch_cursor& cursor, const snapshot_ptr& config, std::vector<document>& events) {
    if (!config || config->version <= cursor.endings) {
        return;
    }
    for (const auto& [name, part] : config->sections) {
        for (const auto& each : part->content.moves) {
            if (each.ending && each.last_write.revision > cursor.endings) {
                events.push_back(describe_ended(each));
            }
        }
    }
    cursor.endings = config->version;
}

} // namespace

watch_cursor make_watch_cursor(config_version after, instant now) {
    watch_cursor cursor{.accepted = after, .endings = after, .awaited = {}, .last_event = now};
    if (after > config_version{}) {
        cursor.awaited.insert(after);
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

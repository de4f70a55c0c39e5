#include "admin/move_report.h"

namespace cyclamenhatch::admin {
namespace {

document describe_move(const moves::move_status& status) {
    document::table members{{"service", status.key.service.value},
                            {"move", status.key.name.value},
                            {"attempt", std::int64_t{status.key.attempt}},
                            {"from", status.old_version.value},
                            {"to", status.new_version.value},
                            {"phase", status.phase},
                            {"stage", std::int64_t{status.stage}},
                            {"permille", std::int64_t{status.permille}},
                            {"calls_on_new", static_cast<std::int64_t>(status.calls_on_new)},
                            {"errors_on_new", static_cast<std::int64_t>(status.errors_on_new)},
                            {"deadline", format_rfc3339(status.deadline)},
                            {"veto_reason", status.veto_reason}};
    if (status.ending) {
        members.push_back({"ending", describe_ending(*status.ending)});
    }
    return {std::move(members)};
}

} // namespace

document::table describe_ending(const move_ending& ending) {
    return {{"outcome", ending.outcome == move_outcome::done ? "done" : "taken_back"},
            {"reason", ending.reason},
            {"in_force_at", format_rfc3339(ending.in_force_at)},
            {"recorded_at", format_rfc3339(ending.recorded_at)},
            {"calls_on_new", static_cast<std::int64_t>(ending.calls_on_new)},
            {"errors_on_new", static_cast<std::int64_t>(ending.errors_on_new)}};
}

document describe_moves(const std::vector<moves::move_status>& statuses) {
    document::array items;
    for (const auto& status : statuses) {
        items.push_back(describe_move(status));
    }
    return {std::move(items)};
}

} // namespace cyclamenhatch::admin

#include "admin/move_report.h"

namespace cyclamenhatch::admin {
namespace {

document describe_move(const moves::move_status& from) {
    document::table to{{"service", from.key.service.value},
                       {"move", from.key.name.value},
                       {"attempt", std::int64_t{from.key.attempt}},
                       {"from", from.from.value},
                       {"to", from.to.value},
                       {"phase", from.phase},
                       {"stage", std::int64_t{from.stage}},
                       {"permille", std::int64_t{from.permille}},
                       {"calls_on_new", static_cast<std::int64_t>(from.calls_on_new)},
                       {"errors_on_new", static_cast<std::int64_t>(from.errors_on_new)},
                       {"deadline", format_rfc3339(from.deadline)},
                       {"veto_reason", from.veto_reason}};
    if (from.ending) {
        to.push_back({"ending", describe_ending(*from.ending)});
    }
    return {std::move(to)};
}

} // namespace

document::table describe_ending(const move_ending& from) {
    return {{"outcome", from.outcome == move_outcome::done ? "done" : "taken_back"},
            {"reason", from.reason},
            {"in_force_at", format_rfc3339(from.in_force_at)},
            {"recorded_at", format_rfc3339(from.recorded_at)},
            {"calls_on_new", static_cast<std::int64_t>(from.calls_on_new)},
            {"errors_on_new", static_cast<std::int64_t>(from.errors_on_new)}};
}

document describe_moves(const std::vector<moves::move_status>& from) {
    document::array items;
    for (const auto& each : from) {
        items.push_back(describe_move(each));
    }
    return {std::move(items)};
}

} // namespace cyclamenhatch::admin

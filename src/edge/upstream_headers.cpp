#include "edge/upstream_headers.h"

#include "edge/call_headers.h"

#include <charconv>
#include <cmath>
#include <string_view>
#include <utility>
#include <vector>

namespace cyclamenhatch::edge {
namespace {

/// Status of an upstream that is not the expected instance.
constexpr unsigned misdirected_status = 421;

void add_header(header_fields& headers, const std::string& name, std::string value) {
    if (!name.empty()) {
        headers.push_back({name, std::move(value)});
    }
}

/// Running calls, waiting calls, slots and, if stated, the pace.
constexpr std::size_t least_load_figures = 3;
constexpr std::size_t most_load_figures = 4;

/// The figures of "1,2,3", or nothing if there is anything else in the text.
std::optional<std::vector<std::uint64_t>> read_figures(std::string_view text) {
    std::vector<std::uint64_t> figures;
    const auto* place = text.data();
    const auto* const end = text.data() + text.size();
    while (figures.size() < most_load_figures) {
        std::uint64_t figure = 0;
        const auto parsed = std::from_chars(place, end, figure);
        if (parsed.ec != std::errc{}) {
            return std::nullopt;
        }
        figures.push_back(figure);
        if (parsed.ptr == end) {
            return figures;
        }
        if (*parsed.ptr != ',') {
            return std::nullopt;
        }
        place = parsed.ptr + 1;
    }
    return std::nullopt;
}

void read_load(const header_names& names, const answer_head& head, upstream_statement& statement) {
    const auto text =
        names.load.empty() ? std::string_view{} : find_header(head.headers, names.load);
    if (text.empty()) {
        return;
    }
    const auto figures = read_figures(text);
    const bool has_pace = figures && figures->size() == most_load_figures;
    if (!figures || figures->size() < least_load_figures || (has_pace && figures->back() == 0)) {
        statement.is_load_invalid = true;
    } else if (has_pace) {
        statement.pace_percent = figures->back();
    }
}

} // namespace

std::optional<msg::refusal_reason> find_not_run_reason(const header_names& names,
                                                       const answer_head& head) {
    if (!names.expected_instance.empty() && head.status == misdirected_status) {
        return msg::refusal_reason::wrong_instance;
    }
    const bool is_not_run =
        !names.not_run.empty() && !find_header(head.headers, names.not_run).empty();
    return is_not_run ? std::optional(msg::refusal_reason::upstream_refused) : std::nullopt;
}

upstream_statement read_statement(const header_names& names, const answer_head& head) {
    upstream_statement statement;
    if (!names.leaving.empty()) {
        statement.is_leaving = find_header(head.headers, names.leaving) == "1";
    }
    read_load(names, head, statement);
    const auto text =
        names.rate_limit.empty() ? std::string_view{} : find_header(head.headers, names.rate_limit);
    if (text.empty()) {
        return statement;
    }
    double calls_per_s = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, calls_per_s, std::chars_format::fixed);
    const bool is_number = parsed.ec == std::errc{} && parsed.ptr == end;
    if (is_number && std::isfinite(calls_per_s) && calls_per_s >= 0) {
        statement.calls_per_s = calls_per_s;
    } else {
        statement.is_limit_invalid = true;
    }
    return statement;
}

request_head make_upstream_head(const header_names& names, const std::string& instance,
                                msg::call_open_msg& request, microseconds time_left) {
    request_head head{.method = request.method,
                      .target = std::move(request.target),
                      .headers = from_wire(request.headers)};
    add_header(head.headers, names.deadline,
               std::to_string(std::chrono::duration_cast<milliseconds>(time_left).count()));
    add_header(head.headers, names.hops, std::to_string(request.hops));
    add_header(head.headers, names.attempts, std::to_string(request.attempt));
    if (!instance.empty()) {
        add_header(head.headers, names.expected_instance, instance);
    }
    request.headers.clear();
    return head;
}

answer_match make_answer_match(const header_names& names, const request_head& head) {
    if (names.request_id.empty()) {
        return {};
    }
    return {names.request_id, std::string(find_header(head.headers, names.request_id))};
}

} // namespace cyclamenhatch::edge

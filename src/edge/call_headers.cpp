#include "edge/call_headers.h"

#include <algorithm>
#include <charconv>

namespace cyclamenhatch::edge {
namespace {

using msg::call_outcome;
using msg::refusal_reason;

std::optional<std::uint64_t> read_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, failed] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (failed != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/// Set by the product itself. An upstream that passes on another call's outcome must not make it
/// look like this call's.
bool is_own_header(std::string_view name) {
    return equals_without_case(name, outcome_header) || equals_without_case(name, hops_header) ||
           equals_without_case(name, attempts_header) || equals_without_case(name, deadline_header);
}

unsigned status_for(const call::refusal& told) {
    if (told.reason == refusal_reason::no_route) {
        return 404;
    }
    if (told.reason == refusal_reason::deadline || told.outcome == call_outcome::unknown) {
        return 504;
    }
    return 503;
}

std::string_view explain(refusal_reason reason) {
    switch (reason) {
    case refusal_reason::no_route:
        return "no route matches the host and path";
    case refusal_reason::no_endpoint:
        return "no endpoint of the service is ready";
    case refusal_reason::queue_full:
        return "all slots and queues are full";
    case refusal_reason::deadline:
        return "the deadline could not be met";
    case refusal_reason::draining:
        return "the endpoint is leaving";
    case refusal_reason::wrong_version:
        return "the endpoint runs another version";
    case refusal_reason::upstream_unreachable:
        return "the upstream broke off or cannot be reached";
    case refusal_reason::duplicate:
        return "the answer is no longer kept";
    default:
        return "the call was not answered";
    }
}

own_answer make_problem(unsigned status, std::string_view outcome, std::string_view reason,
                        std::string_view detail) {
    own_answer made;
    made.head.status = status;
    made.head.headers.push_back({"Content-Type", "application/problem+json"});
    made.head.headers.push_back({std::string(outcome_header), std::string(outcome)});
    const std::string text = R"({"title":")" + std::string(detail) + R"(","status":)" +
                             std::to_string(status) + R"(,"outcome":")" + std::string(outcome) +
                             R"(","reason":")" + std::string(reason) + "\"}";
    made.body.assign(text.begin(), text.end());
    return made;
}

} // namespace

call_limits read_limits(const header_fields& headers) {
    constexpr std::uint64_t most = 1'000'000;
    call_limits limits;
    if (const auto hops = read_number(find_header(headers, hops_header))) {
        limits.hops = static_cast<std::uint32_t>(std::min(*hops, most));
    }
    if (const auto attempts = read_number(find_header(headers, attempts_header))) {
        limits.attempts = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(*attempts, 1, most));
    }
    if (const auto left = read_number(find_header(headers, deadline_header))) {
        limits.time_left = milliseconds(std::min(*left, most * 1000));
    }
    return limits;
}

std::string_view host_of(const header_fields& headers) {
    const auto host = find_header(headers, "host");
    const auto colon = host.rfind(':');
    // In "[::1]" the colons belong to the address.
    const bool has_port = colon != std::string_view::npos && host.find(']', colon) == host.npos;
    return has_port ? host.substr(0, colon) : host;
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find_first_of("?#"));
}

wire_headers to_wire(header_fields headers) {
    wire_headers to;
    to.reserve(headers.size());
    for (auto& each : headers) {
        if (is_own_header(each.name)) {
            continue;
        }
        auto next = std::make_unique<msg::http_header_msg>();
        next->name = std::move(each.name);
        next->value = std::move(each.value);
        to.push_back(std::move(next));
    }
    return to;
}

header_fields from_wire(const wire_headers& headers) {
    header_fields to;
    to.reserve(headers.size() + 3);
    for (const auto& each : headers) {
        to.push_back({each->name, each->value});
    }
    return to;
}

own_answer make_failure(const call::refusal& told) {
    const bool is_not_run = told.outcome == call_outcome::not_run;
    const auto status = status_for(told);
    auto made = make_problem(status, is_not_run ? "not-run" : "unknown",
                             msg::EnumNamerefusal_reason(told.reason), explain(told.reason));
    const auto after = std::chrono::ceil<seconds>(told.retry_after);
    if (status == 503 || after.count() > 0) {
        made.head.headers.push_back(
            {"Retry-After", std::to_string(std::max<std::int64_t>(1, after.count()))});
    }
    return made;
}

own_answer make_too_many_hops(std::uint32_t max_hops) {
    return make_problem(508, "not-run", "too_many_hops",
                        "the chain of calls is longer than " + std::to_string(max_hops) + " hops");
}

} // namespace cyclamenhatch::edge

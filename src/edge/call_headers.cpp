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
bool is_own_header(const header_names& names, std::string_view name) {
    for (const auto* own : {&names.outcome, &names.hops, &names.attempts, &names.deadline,
                            &names.expected_instance, &names.caller_service}) {
        if (!own->empty() && equals_without_case(name, *own)) {
            return true;
        }
    }
    return false;
}

/// Seconds, with milliseconds as a fraction where callers understand that.
std::string retry_after_text(const header_names& names, milliseconds after) {
    if (!names.has_fractional_retry_after) {
        const auto whole = std::chrono::ceil<seconds>(after);
        return std::to_string(std::max<std::int64_t>(1, whole.count()));
    }
    constexpr std::int64_t ms_per_s = 1000;
    std::string fraction = std::to_string(ms_per_s + after.count() % ms_per_s);
    fraction.front() = '.';
    return std::to_string(after.count() / ms_per_s) + fraction;
}

unsigned status_for(const call::refusal& told) {
    if (told.reason == refusal_reason::no_route) {
        return 404;
    }
    const bool is_hopeless = told.reason == refusal_reason::deadline && !told.retry_helps;
    if (is_hopeless || told.outcome == call_outcome::unknown) {
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
    case refusal_reason::busy:
        return "no slot is free";
    case refusal_reason::upstream_refused:
        return "the upstream did not take the call";
    case refusal_reason::wrong_instance:
        return "another upstream has the address";
    case refusal_reason::duplicate:
        return "the answer is no longer kept";
    default:
        return "the call was not answered";
    }
}

own_answer make_problem(const header_names& names, unsigned status, std::string_view outcome,
                        std::string_view reason, std::string_view detail) {
    own_answer made;
    made.reason = reason;
    made.head.status = status;
    made.head.headers.push_back({"Content-Type", "application/problem+json"});
    made.head.headers.push_back({names.outcome, std::string(outcome)});
    const std::string text = R"({"title":")" + std::string(detail) + R"(","status":)" +
                             std::to_string(status) + R"(,"outcome":")" + std::string(outcome) +
                             R"(","reason":")" + std::string(reason) + "\"}";
    made.body.assign(text.begin(), text.end());
    return made;
}

} // namespace

call_limits read_limits(const header_names& names, const header_fields& headers) {
    constexpr std::uint64_t most = 1'000'000;
    call_limits limits;
    if (const auto hops = read_number(find_header(headers, names.hops))) {
        limits.hops = static_cast<std::uint32_t>(std::min(*hops, most));
    }
    if (const auto attempts = read_number(find_header(headers, names.attempts))) {
        limits.attempts = static_cast<std::uint32_t>(std::clamp<std::uint64_t>(*attempts, 1, most));
    }
    if (const auto left = read_number(find_header(headers, names.deadline))) {
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

wire_headers to_wire(const header_names& names, header_fields headers) {
    wire_headers to;
    to.reserve(headers.size());
    for (auto& each : headers) {
        if (is_own_header(names, each.name)) {
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

own_answer make_failure(const header_names& names, const call::refusal& told) {
    const bool is_not_run = told.outcome == call_outcome::not_run;
    const auto status = status_for(told);
    auto made = make_problem(names, status, is_not_run ? "not-run" : "unknown",
                             msg::EnumNamerefusal_reason(told.reason), explain(told.reason));
    if (status == 503 || told.retry_after.count() > 0) {
        made.head.headers.push_back({"Retry-After", retry_after_text(names, told.retry_after)});
    }
    return made;
}

own_answer make_too_many_hops(const header_names& names, std::uint32_t max_hops) {
    return make_problem(names, 508, "not-run", "too_many_hops",
                        "the chain of calls is longer than " + std::to_string(max_hops) + " hops");
}

} // namespace cyclamenhatch::edge

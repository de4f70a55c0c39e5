#include "edge/call_headers.h"

#include <algorithm>
#include <charconv>

namespace cyclamenhatch::edge {
namespace {

using msg::call_outcome;
using msg::refusal_reason;

constexpr unsigned unauthorized_status = 401;

std::optional<std::uint64_t> read_number(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

/// Whether the product sets this header itself. An upstream that forwards the outcome header of
/// another call must not pass it off as the outcome of this call.
bool is_own_header(const header_names& names, std::string_view name) {
    for (const auto* own_name :
         {&names.outcome, &names.hops, &names.attempts, &names.deadline, &names.expected_instance,
          &names.caller_service, &names.workspace}) {
        if (!own_name->empty() && equals_without_case(name, *own_name)) {
            return true;
        }
    }
    return false;
}

/// Seconds; with a fraction of milliseconds where callers accept one.
std::string retry_after_text(const header_names& names, milliseconds delay) {
    if (!names.has_fractional_retry_after) {
        const auto whole = std::chrono::ceil<seconds>(delay);
        return std::to_string(std::max<std::int64_t>(1, whole.count()));
    }
    constexpr std::int64_t ms_per_s = 1000;
    std::string fraction = std::to_string(ms_per_s + delay.count() % ms_per_s);
    fraction.front() = '.';
    return std::to_string(delay.count() / ms_per_s) + fraction;
}

unsigned status_for(const call::refusal& refusal) {
    if (refusal.reason == refusal_reason::no_route) {
        return 404;
    }
    // All others promise that the call did not run: its caller may send it again, whatever its
    // kind.
    if (refusal.outcome != call_outcome::not_run) {
        return 504;
    }
    if (refusal.reason == refusal_reason::unauthorized) {
        return unauthorized_status;
    }
    return refusal.reason == refusal_reason::allowance_exceeded ? 429 : 503;
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
    case refusal_reason::rate_limited:
        return "the upstream takes no more calls now";
    case refusal_reason::warming_up:
        return "the upstream is cold and takes no more calls now";
    case refusal_reason::upstream_refused:
        return "the upstream did not take the call";
    case refusal_reason::wrong_instance:
        return "another upstream has the address";
    case refusal_reason::duplicate:
        return "the answer is no longer kept";
    case refusal_reason::quarantined:
        return "upstreams have crashed under this request";
    case refusal_reason::unauthorized:
        return "the request has no access key of a workspace";
    case refusal_reason::delayed:
        return "the call waited too long on its way to the endpoint";
    case refusal_reason::evacuated:
        return "the data centre of the endpoint is evacuated";
    case refusal_reason::allowance_exceeded:
        return "the workspace has used up its allowance";
    default:
        return "the call was not answered";
    }
}

local_answer make_problem(const header_names& names, unsigned status, std::string_view outcome,
                          std::string_view reason, std::string_view detail) {
    local_answer answer;
    answer.reason = reason;
    answer.head.status = status;
    answer.head.headers.push_back({"Content-Type", "application/problem+json"});
    answer.head.headers.push_back({names.outcome, std::string(outcome)});
    const std::string text = R"({"title":")" + std::string(detail) + R"(","status":)" +
                             std::to_string(status) + R"(,"outcome":")" + std::string(outcome) +
                             R"(","reason":")" + std::string(reason) + "\"}";
    answer.body.assign(text.begin(), text.end());
    return answer;
}

} // namespace

call_limits read_limits(const header_names& names, const header_fields& headers) {
    constexpr std::uint64_t max_value = 1'000'000;
    call_limits limits;
    if (const auto hops = read_number(find_header(headers, names.hops))) {
        limits.hops = static_cast<std::uint32_t>(std::min(*hops, max_value));
    }
    if (const auto attempts = read_number(find_header(headers, names.attempts))) {
        limits.attempts =
            static_cast<std::uint32_t>(std::clamp<std::uint64_t>(*attempts, 1, max_value));
    }
    if (const auto remaining = read_number(find_header(headers, names.deadline))) {
        limits.time_left = milliseconds(std::min(*remaining, max_value * 1000));
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
    wire_headers out;
    out.reserve(headers.size());
    for (auto& header : headers) {
        if (is_own_header(names, header.name)) {
            continue;
        }
        auto next = std::make_unique<msg::http_header_msg>();
        next->name = std::move(header.name);
        next->value = std::move(header.value);
        out.push_back(std::move(next));
    }
    return out;
}

void add_header(wire_headers& headers, const std::string& name, const std::string& value) {
    if (name.empty() || value.empty()) {
        return;
    }
    auto header = std::make_unique<msg::http_header_msg>();
    header->name = name;
    header->value = value;
    headers.push_back(std::move(header));
}

void drop_access_keys(const header_names& names, header_fields& headers) {
    std::erase_if(headers, [&](const header_field& header) {
        return equals_without_case(header.name, names.access_key);
    });
}

header_fields from_wire(const wire_headers& headers) {
    header_fields out;
    out.reserve(headers.size() + 3);
    for (const auto& header : headers) {
        out.push_back({header->name, header->value});
    }
    return out;
}

local_answer make_failure(const header_names& names, const call::refusal& refusal) {
    const bool is_not_run = refusal.outcome == call_outcome::not_run;
    const auto status = status_for(refusal);
    auto answer =
        make_problem(names, status, is_not_run ? "not-run" : "unknown",
                     msg::EnumNamerefusal_reason(refusal.reason), explain(refusal.reason));
    if (status == 503 || refusal.retry_after.count() > 0) {
        answer.head.headers.push_back(
            {"Retry-After", retry_after_text(names, refusal.retry_after)});
    }
    if (status == unauthorized_status) {
        answer.head.headers.push_back({"WWW-Authenticate", "Bearer"});
    }
    return answer;
}

local_answer make_too_many_hops(const header_names& names, std::uint32_t max_hops) {
    return make_problem(names, 508, "not-run", "too_many_hops",
                        "the chain of calls is longer than " + std::to_string(max_hops) + " hops");
}

} // namespace cyclamenhatch::edge

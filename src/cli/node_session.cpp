#include "cli/node_session.h"
#include "cli/table_printer.h"

#include <cctype>

namespace cyclamenhatch::cli {
namespace {

constexpr int status_ok_end = 300;
constexpr int status_gateway_timeout = 504;

http_call make_call(const connection& to, const std::string& method, const std::string& path) {
    http_call call{.method = method, .path = path};
    if (!to.token.empty()) {
        call.headers["authorization"] = "Bearer " + to.token;
    }
    return call;
}

/// A body that is no JSON becomes a text.
document read_body(const std::string& body) {
    auto parsed = parse_json(body, "");
    if (auto* read = std::get_if<document>(&parsed)) {
        return std::move(*read);
    }
    return {body};
}

void show_finding(std::ostream& err, const document& from) {
    err << "  "
        << to_string(finding{.location = {},
                             .path = text_or(from, "path", ""),
                             .problem = text_or(from, "problem", ""),
                             .remedy = text_or(from, "remedy", "")})
        << "\n";
}

void show_problem(const environment& around, const http_answer& answer) {
    const auto body = read_body(answer.body);
    around.err << "refused: " << answer.status << " " << text_or(body, "detail", answer.body)
               << "\n";
    for (const char* field : {"outcome", "operation"}) {
        if (find_member(body, field) != nullptr) {
            around.err << field << ": " << text_or(body, field, "") << "\n";
        }
    }
    if (const auto retry = number_or(body, "retry_after_ms", 0); retry > 0) {
        around.err << "retry after: " << retry << " ms\n";
    }
    const auto* found = find_member(body, "findings");
    const auto* items = found == nullptr ? nullptr : std::get_if<document::array>(&found->value);
    if (items != nullptr) {
        for (const auto& each : *items) {
            show_finding(around.err, each);
        }
    }
}

exit_code show_unreachable(const environment& around, const connection& to,
                           const http_failure& failure) {
    around.err << "not reachable: " << to.node << ": " << failure.reason << "\n";
    return exit_code::not_reachable;
}

session_result judge(const environment& around, const http_answer& answer) {
    if (answer.status >= 200 && answer.status < status_ok_end) {
        return read_body(answer.body);
    }
    show_problem(around, answer);
    return answer.status == status_gateway_timeout ? exit_code::unknown : exit_code::refused;
}

exit_code show_unknown(const environment& around, const operation_id& operation) {
    around.err << "outcome unknown; ask again with: cyclamenhatch operation " << operation.value
               << "\n";
    return exit_code::unknown;
}

/// What became of a change whose answer was lost.
session_result find_outcome(const environment& around, const connection& to,
                            const operation_id& operation) {
    const auto path = "/v1/operations/" + encode_segment(operation.value);
    const auto sent = around.http.send(to.node, make_call(to, "GET", path));
    const auto* answer = std::get_if<http_answer>(&sent);
    if (answer == nullptr || answer->status >= status_ok_end) {
        return show_unknown(around, operation);
    }
    auto body = read_body(answer->body);
    if (text_or(body, "outcome", "") != "accepted") {
        return show_unknown(around, operation);
    }
    return body;
}

void show_event(const environment& around, const connection& to, const std::string& line) {
    if (to.output == output_format::json) {
        around.out << line << "\n";
    } else {
        print_line(around.out, read_body(line), "event");
    }
    around.out.flush();
}

} // namespace

session_result ask(const environment& around, const connection& to, const std::string& path) {
    const auto sent = around.http.send(to.node, make_call(to, "GET", path));
    if (const auto* failure = std::get_if<http_failure>(&sent)) {
        return show_unreachable(around, to, *failure);
    }
    return judge(around, std::get<http_answer>(sent));
}

session_result change(const environment& around, const connection& to,
                      const change_request& request) {
    auto call = make_call(to, request.method, request.path);
    call.body = request.body;
    call.headers["cyclamenhatch-operation"] = request.operation.value;
    if (!request.if_match.empty()) {
        call.headers["if-match"] = request.if_match;
    }
    const auto sent = around.http.send(to.node, call);
    if (const auto* failure = std::get_if<http_failure>(&sent)) {
        if (!failure->was_sent) {
            return show_unreachable(around, to, *failure);
        }
        around.err << "the answer was lost: " << failure->reason << "\n";
        return find_outcome(around, to, request.operation);
    }
    const auto& answer = std::get<http_answer>(sent);
    auto judged = judge(around, answer);
    if (answer.status == status_gateway_timeout) {
        return show_unknown(around, request.operation);
    }
    return judged;
}

exit_code wait_until_in_force(const environment& around, const connection& to, std::int64_t version,
                              seconds timeout) {
    const auto give_up = around.now() + timeout;
    bool is_in_force = false;
    const auto on_line = [&](const std::string& line) {
        const auto event = read_body(line);
        is_in_force =
            text_or(event, "event", "") == "in_force" && number_or(event, "version", -1) >= version;
        if (is_in_force) {
            show_event(around, to, line);
        }
        return !is_in_force && around.now() < give_up;
    };
    const auto call = make_call(to, "GET", "/v1/watch?after=" + std::to_string(version));
    const auto sent = around.http.stream(to.node, call, on_line);
    if (is_in_force) {
        return exit_code::done;
    }
    if (const auto* failure = std::get_if<http_failure>(&sent)) {
        around.err << failure->reason << "\n";
    }
    around.err << "accepted, but not yet known to be in force on every node\n";
    return exit_code::unknown;
}

exit_code follow_events(const environment& around, const connection& to, std::int64_t after) {
    const auto path =
        after < 0 ? std::string("/v1/watch") : "/v1/watch?after=" + std::to_string(after);
    const auto sent =
        around.http.stream(to.node, make_call(to, "GET", path), [&](const std::string& line) {
            show_event(around, to, line);
            return static_cast<bool>(around.out);
        });
    if (const auto* failure = std::get_if<http_failure>(&sent)) {
        return show_unreachable(around, to, *failure);
    }
    const auto judged = judge(around, std::get<http_answer>(sent));
    const auto* code = std::get_if<exit_code>(&judged);
    return code == nullptr ? exit_code::done : *code;
}

exit_code refuse(const environment& around, const findings& found) {
    for (const auto& each : found) {
        around.err << to_string(each) << "\n";
    }
    return exit_code::refused;
}

operation_id settle_operation(const environment& around, const std::string& given) {
    return given.empty() ? around.make_operation() : operation_id{given};
}

std::string encode_segment(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char each : text) {
        const auto byte = static_cast<unsigned char>(each);
        if (std::isalnum(byte) != 0 || each == '-' || each == '_' || each == '.') {
            encoded += each;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0x0FU];
    }
    return encoded;
}

} // namespace cyclamenhatch::cli

#include "cli/node_session.h"
#include "cli/table_printer.h"

#include <cctype>

namespace cyclamenhatch::cli {
namespace {

constexpr int status_ok_end = 300;
constexpr int status_gateway_timeout = 504;

http_call make_call(const connection_options& connection, const std::string& method,
                    const std::string& path) {
    http_call call{.method = method, .path = path};
    if (!connection.token.empty()) {
        call.headers["authorization"] = "Bearer " + connection.token;
    }
    return call;
}

/// A body that is not JSON is returned as a string.
document read_body(const std::string& body) {
    auto parsed = parse_json(body, "");
    if (auto* read = std::get_if<document>(&parsed)) {
        return std::move(*read);
    }
    return {body};
}

void show_finding(std::ostream& err, const document& item) {
    err << "  "
        << to_string(finding{.location = {},
                             .path = text_or(item, "path", ""),
                             .problem = text_or(item, "problem", ""),
                             .remedy = text_or(item, "remedy", "")})
        << "\n";
}

void show_problem(const environment& env, const http_answer& answer) {
    const auto body = read_body(answer.body);
    env.err << "refused: " << answer.status << " " << text_or(body, "detail", answer.body) << "\n";
    for (const char* field : {"outcome", "operation"}) {
        if (find_member(body, field) != nullptr) {
            env.err << field << ": " << text_or(body, field, "") << "\n";
        }
    }
    if (const auto retry = number_or(body, "retry_after_ms", 0); retry > 0) {
        env.err << "retry after: " << retry << " ms\n";
    }
    const auto* member = find_member(body, "findings");
    const auto* items = member == nullptr ? nullptr : std::get_if<document::array>(&member->value);
    if (items != nullptr) {
        for (const auto& item : *items) {
            show_finding(env.err, item);
        }
    }
}

exit_code show_unreachable(const environment& env, const connection_options& connection,
                           const http_failure& failure) {
    env.err << "not reachable: " << connection.node << ": " << failure.reason << "\n";
    return exit_code::not_reachable;
}

session_result read_result(const environment& env, const http_answer& answer) {
    if (answer.status >= 200 && answer.status < status_ok_end) {
        return read_body(answer.body);
    }
    show_problem(env, answer);
    return answer.status == status_gateway_timeout ? exit_code::unknown : exit_code::refused;
}

exit_code show_unknown(const environment& env, const operation_id& operation) {
    env.err << "outcome unknown; ask again with: cyclamenhatch operation " << operation.value
            << "\n";
    return exit_code::unknown;
}

/// Queries the outcome of a change whose answer was lost.
session_result find_outcome(const environment& env, const connection_options& connection,
                            const operation_id& operation) {
    const auto path = "/v1/operations/" + encode_segment(operation.value);
    const auto sent = env.http.send(connection.node, make_call(connection, "GET", path));
    const auto* answer = std::get_if<http_answer>(&sent);
    if (answer == nullptr || answer->status >= status_ok_end) {
        return show_unknown(env, operation);
    }
    auto body = read_body(answer->body);
    if (text_or(body, "outcome", "") != "accepted") {
        return show_unknown(env, operation);
    }
    return body;
}

void show_event(const environment& env, const connection_options& connection,
                const std::string& line) {
    if (connection.output == output_format::json) {
        env.out << line << "\n";
    } else {
        print_line(env.out, read_body(line), "event");
    }
    env.out.flush();
}

} // namespace

session_result query_node(const environment& env, const connection_options& connection,
                          const std::string& path) {
    const auto sent = env.http.send(connection.node, make_call(connection, "GET", path));
    if (const auto* failure = std::get_if<http_failure>(&sent)) {
        return show_unreachable(env, connection, *failure);
    }
    return read_result(env, std::get<http_answer>(sent));
}

session_result send_change(const environment& env, const connection_options& connection,
                           const change_request& request) {
    auto call = make_call(connection, request.method, request.path);
    call.body = request.body;
    call.headers["cyclamenhatch-operation"] = request.operation.value;
    if (!request.if_match.empty()) {
        call.headers["if-match"] = request.if_match;
    }
    const auto sent = env.http.send(connection.node, call);
    if (const auto* failure = std::get_if<http_failure>(&sent)) {
        if (!failure->was_sent) {
            return show_unreachable(env, connection, *failure);
        }
        env.err << "the answer was lost: " << failure->reason << "\n";
        return find_outcome(env, connection, request.operation);
    }
    const auto& answer = std::get<http_answer>(sent);
    auto result = read_result(env, answer);
    if (answer.status == status_gateway_timeout) {
        return show_unknown(env, request.operation);
    }
    return result;
}

exit_code wait_until_in_force(const environment& env, const connection_options& connection,
                              std::int64_t version, seconds timeout) {
    const auto deadline = env.now() + timeout;
    bool is_in_force = false;
    const auto on_line = [&](const std::string& line) {
        const auto event = read_body(line);
        is_in_force =
            text_or(event, "event", "") == "in_force" && number_or(event, "version", -1) >= version;
        if (is_in_force) {
            show_event(env, connection, line);
        }
        return !is_in_force && env.now() < deadline;
    };
    const auto call = make_call(connection, "GET", "/v1/watch?after=" + std::to_string(version));
    const auto sent = env.http.stream(connection.node, call, on_line);
    if (is_in_force) {
        return exit_code::done;
    }
    if (const auto* failure = std::get_if<http_failure>(&sent)) {
        env.err << failure->reason << "\n";
    }
    env.err << "accepted, but not yet known to be in force on every node\n";
    return exit_code::unknown;
}

exit_code follow_events(const environment& env, const connection_options& connection,
                        std::int64_t after) {
    const auto path =
        after < 0 ? std::string("/v1/watch") : "/v1/watch?after=" + std::to_string(after);
    const auto sent = env.http.stream(connection.node, make_call(connection, "GET", path),
                                      [&](const std::string& line) {
                                          show_event(env, connection, line);
                                          return static_cast<bool>(env.out);
                                      });
    if (const auto* failure = std::get_if<http_failure>(&sent)) {
        return show_unreachable(env, connection, *failure);
    }
    const auto result = read_result(env, std::get<http_answer>(sent));
    const auto* code = std::get_if<exit_code>(&result);
    return code == nullptr ? exit_code::done : *code;
}

exit_code report_findings(const environment& env, const findings& problems) {
    for (const auto& problem : problems) {
        env.err << to_string(problem) << "\n";
    }
    return exit_code::refused;
}

operation_id choose_operation(const environment& env, const std::string& given) {
    return given.empty() ? env.make_operation() : operation_id{given};
}

std::string encode_segment(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || character == '-' || character == '_' || character == '.') {
            encoded += character;
            continue;
        }
        encoded += '%';
        encoded += digits[byte >> 4U];
        encoded += digits[byte & 0x0FU];
    }
    return encoded;
}

} // namespace cyclamenhatch::cli

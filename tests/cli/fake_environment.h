#pragma once

#include "cli/run.h"

#include <deque>
#include <map>
#include <sstream>

namespace cyclamenhatch::cli {

/// An environment with files in memory, a fixed clock and prepared answers, returned in order.
struct fake_environment {
    std::map<std::string, std::string> files;
    std::deque<http_result> answers;
    std::vector<std::string> lines;
    std::vector<http_call> calls;
    std::ostringstream out;
    std::ostringstream err;
    instant now = from_unix_ms(1'800'000'000'000);
    int node_runs = 0;

    http_result take_answer(const http_call& call) {
        calls.push_back(call);
        if (answers.empty()) {
            return http_failure{.was_sent = false, .reason = "refused"};
        }
        auto answer = std::move(answers.front());
        answers.pop_front();
        return answer;
    }

    http_result stream(const http_call& call, const line_handler& on_line) {
        auto answer = take_answer(call);
        for (const auto& line : lines) {
            if (!std::holds_alternative<http_answer>(answer) || !on_line(line)) {
                break;
            }
        }
        return answer;
    }

    exit_code run(const std::vector<std::string>& arguments) {
        const environment env{
            .http = {.send = [this](const std::string&,
                                    const http_call& call) { return take_answer(call); },
                     .stream =
                         [this](const std::string&, const http_call& call,
                                const line_handler& on_line) { return stream(call, on_line); }},
            .out = out,
            .err = err,
            .read_file = [this](const std::string& path) -> result<std::string> {
                const auto it = files.find(path);
                if (it == files.end()) {
                    return findings{{.location = {.file = path}, .problem = "cannot be read"}};
                }
                return it->second;
            },
            .now = [this] { return now; },
            .make_operation = [] { return operation_id{"made"}; },
            .run_node =
                [this](const msg::settings_msg&,
                       const std::function<result<msg::settings_msg>()>&) {
                    ++node_runs;
                    return 0;
                }};
        return run_command_line(env, arguments);
    }
};

} // namespace cyclamenhatch::cli

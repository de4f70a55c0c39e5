#include "scenarios/script.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace cyclamenhatch::scenarios {
namespace {

words split_words(const std::string& line) {
    std::istringstream stream(line.substr(0, line.find('#')));
    words result;
    for (std::string word; stream >> word;) {
        result.push_back(word);
    }
    return result;
}

words tail(const words& line, std::size_t first) {
    if (first >= line.size()) {
        throw std::invalid_argument("the command is missing");
    }
    return {line.begin() + static_cast<std::ptrdiff_t>(first), line.end()};
}

script_step parse_step(const words& line) {
    if (line.front() == "at") {
        const auto time = parse_duration(line.at(1));
        const bool is_expectation = line.at(2) == "expect";
        return {.kind = is_expectation ? step_kind::expect_at : step_kind::action,
                .begin = time,
                .end = time,
                .command = tail(line, is_expectation ? 3 : 2)};
    }
    if (line.front() != "from") {
        return {.command = line};
    }
    if (line.at(4) != "expect" || (line[2] != "by" && line[2] != "to")) {
        throw std::invalid_argument("use: from TIME by|to TIME expect ...");
    }
    return {.kind = line[2] == "by" ? step_kind::expect_by : step_kind::expect_during,
            .begin = parse_duration(line[1]),
            .end = parse_duration(line[3]),
            .command = tail(line, 5)};
}

void parse_line(script& result, const std::string& line, int number) {
    const auto line_words = split_words(line);
    if (line_words.empty()) {
        return;
    }
    try {
        auto step = parse_step(line_words);
        step.line = number;
        if (step.command.front() == "seed") {
            result.seed = std::stoull(step.command.at(1));
            return;
        }
        result.length = std::max(result.length, step.end + milliseconds{100});
        result.steps.push_back(std::move(step));
    } catch (const std::exception& error) {
        result.errors.push_back("line " + std::to_string(number) + ": " + error.what());
    }
}

} // namespace

milliseconds parse_duration(const std::string& text) {
    std::size_t used = 0;
    const auto number = std::stod(text, &used);
    const auto unit = text.substr(used);
    const double factor = unit == "ms" ? 1 : unit == "s" ? 1000 : unit == "m" ? 60'000 : 0;
    if (factor == 0) {
        throw std::invalid_argument("\"" + text + "\" is not a duration");
    }
    return milliseconds{static_cast<std::int64_t>(number * factor)};
}

script parse_script(const std::string& path, const std::string& extra) {
    script result;
    std::ifstream file(path);
    if (!file) {
        result.errors.push_back("there is no such file");
    }
    std::istringstream extra_lines(extra);
    for (std::string line; std::getline(extra_lines, line, ';');) {
        parse_line(result, line, 0);
    }
    int number = 0;
    for (std::string line; std::getline(file, line);) {
        parse_line(result, line, ++number);
    }
    return result;
}

} // namespace cyclamenhatch::scenarios

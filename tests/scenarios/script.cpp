#include "scenarios/script.h"

#include <fstream>
#include <sstream>
#include <stdexcept>

namespace cyclamenhatch::scenarios {
namespace {

words split(const std::string& line) {
    std::istringstream stream(line.substr(0, line.find('#')));
    words found;
    for (std::string each; stream >> each;) {
        found.push_back(each);
    }
    return found;
}

words tail(const words& all, std::size_t first) {
    if (first >= all.size()) {
        throw std::invalid_argument("the command is missing");
    }
    return {all.begin() + static_cast<std::ptrdiff_t>(first), all.end()};
}

script_step read_step(const words& line) {
    if (line.front() == "at") {
        const auto time = read_duration(line.at(1));
        const bool is_expectation = line.at(2) == "expect";
        return {.kind = is_expectation ? step_kind::expect_at : step_kind::action,
                .from = time,
                .to = time,
                .command = tail(line, is_expectation ? 3 : 2)};
    }
    if (line.front() != "from") {
        return {.command = line};
    }
    if (line.at(4) != "expect" || (line[2] != "by" && line[2] != "to")) {
        throw std::invalid_argument("use: from TIME by|to TIME expect ...");
    }
    return {.kind = line[2] == "by" ? step_kind::expect_by : step_kind::expect_during,
            .from = read_duration(line[1]),
            .to = read_duration(line[3]),
            .command = tail(line, 5)};
}

void read_line(script& read, const std::string& line, int number) {
    const auto found = split(line);
    if (found.empty()) {
        return;
    }
    try {
        auto step = read_step(found);
        step.line = number;
        if (step.command.front() == "seed") {
            read.seed = std::stoull(step.command.at(1));
            return;
        }
        read.length = std::max(read.length, step.to + milliseconds{100});
        read.steps.push_back(std::move(step));
    } catch (const std::exception& wrong) {
        read.errors.push_back("line " + std::to_string(number) + ": " + wrong.what());
    }
}

} // namespace

milliseconds read_duration(const std::string& text) {
    std::size_t used = 0;
    const auto number = std::stod(text, &used);
    const auto unit = text.substr(used);
    const double factor = unit == "ms" ? 1 : unit == "s" ? 1000 : unit == "m" ? 60'000 : 0;
    if (factor == 0) {
        throw std::invalid_argument("\"" + text + "\" is not a duration");
    }
    return milliseconds{static_cast<std::int64_t>(number * factor)};
}

script read_script(const std::string& path, const std::string& extra) {
    script read;
    std::ifstream file(path);
    if (!file) {
        read.errors.push_back("there is no such file");
    }
    std::istringstream before(extra);
    for (std::string line; std::getline(before, line, ';');) {
        read_line(read, line, 0);
    }
    int number = 0;
    for (std::string line; std::getline(file, line);) {
        read_line(read, line, ++number);
    }
    return read;
}

} // namespace cyclamenhatch::scenarios

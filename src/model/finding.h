#pragma once

#include <string>
#include <variant>
#include <vector>

namespace cyclamenhatch {

/// Where in an operator's input something stands. Line and column count from 1; 0 is "not known",
/// as for input that came over the API.
struct place {
    std::string file;
    int line = 0;
    int column = 0;

    friend bool operator==(const place&, const place&) = default;
};

/// One thing that is wrong with an input, where, and what would be right.
struct finding {
    place where;
    /// Path of the field, such as route[2].service.
    std::string path;
    std::string problem;
    std::string remedy;

    friend bool operator==(const finding&, const finding&) = default;
};

/// Findings are collected and reported together; empty means that nothing is wrong.
using findings = std::vector<finding>;

/// A value, or all that kept it from being made.
template <class T> using result = std::variant<T, findings>;

/// One line for people: "file:line:column: path: problem; remedy".
[[nodiscard]] std::string to_string(const finding& found);

} // namespace cyclamenhatch

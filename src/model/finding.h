#pragma once

#include <string>
#include <variant>
#include <vector>

namespace cyclamenhatch {

/// A location in an operator's input. Line and column start at 1; 0 means unknown, as for input
/// from the API.
struct source_location {
    std::string file;
    int line = 0;
    int column = 0;

    friend bool operator==(const source_location&, const source_location&) = default;
};

/// A problem in an input, its location and how to correct it.
struct finding {
    source_location location;
    /// Path of the field, such as route[2].service.
    std::string path;
    std::string problem;
    std::string remedy;

    friend bool operator==(const finding&, const finding&) = default;
};

/// All problems of an input, reported together; empty when it is valid.
using findings = std::vector<finding>;

/// A value, or the findings that prevented it.
template <class T> using result = std::variant<T, findings>;

/// One readable line: "file:line:column: path: problem; remedy".
[[nodiscard]] std::string to_string(const finding& item);

} // namespace cyclamenhatch

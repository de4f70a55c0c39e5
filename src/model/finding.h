#pragma once

#include <string>
#include <variant>
#include <vector>

namespace cyclamenhatch {

/// A position in an operator's input. Line and column start at 1; 0 means unknown, as for input
/// from the API.
struct place {
    std::string file;
    int line = 0;
    int column = 0;

    friend bool operator==(const place&, const place&) = default;
};

/// A problem in an input, its position and how to correct it.
struct finding {
    place where;
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

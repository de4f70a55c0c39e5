#pragma once

#include <gtest/gtest.h>

#include <ostream>
#include <string>

/// Tables of entries of another writer: a valid text with one part replaced.
namespace cyclamenhatch::platform::testing {

inline std::string repeat(const std::string& text, std::size_t count) {
    std::string out;
    for (std::size_t i = 0; i < count; ++i) {
        out += text;
    }
    return out;
}

struct odd_row {
    const char* name;
    /// Text in the valid entry and its replacement.
    std::string original;
    std::string replacement;

    friend std::ostream& operator<<(std::ostream& out, const odd_row& row) {
        return out << row.name;
    }
};

inline std::string test_name(const ::testing::TestParamInfo<odd_row>& row) {
    return row.param.name;
}

inline std::string replace(std::string text, const odd_row& row) {
    text.replace(text.find(row.original), row.original.size(), row.replacement);
    return text;
}

} // namespace cyclamenhatch::platform::testing

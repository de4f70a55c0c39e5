#pragma once

#include "model/finding.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// A parsed TOML or JSON text, with the place of every value, and its writing as JSON. All texts
/// that people or outside services exchange with the product pass through here.
namespace cyclamenhatch {

struct document_member;

/// One value of a document.
struct document {
    using array = std::vector<document>;
    /// Members in the order in which they stand.
    using table = std::vector<document_member>;

    std::variant<std::monostate, bool, std::int64_t, double, std::string, array, table> value;
    place where;

    document();
    ~document();
    document(const document& other);
    document(document&& other) noexcept;
    document& operator=(const document& other);
    document& operator=(document&& other) noexcept;
    document(bool flag);           // NOLINT(google-explicit-constructor)
    document(std::int64_t number); // NOLINT(google-explicit-constructor)
    document(double number);       // NOLINT(google-explicit-constructor)
    document(std::string text);    // NOLINT(google-explicit-constructor)
    document(const char* text);    // NOLINT(google-explicit-constructor)
    document(array items);         // NOLINT(google-explicit-constructor)
    document(table members);       // NOLINT(google-explicit-constructor)
};

struct document_member {
    std::string key;
    document value;
    /// Where the key stands.
    place where;
};

/// The member with this key, or null when the value is no table or has none.
[[nodiscard]] const document* find_member(const document& from, std::string_view key);

/// The text, number or flag of a member, or the fallback when it is absent or of another type.
[[nodiscard]] std::string text_or(const document& from, std::string_view key,
                                  std::string_view fallback);
[[nodiscard]] std::int64_t number_or(const document& from, std::string_view key,
                                     std::int64_t fallback);
[[nodiscard]] bool flag_or(const document& from, std::string_view key, bool fallback);

/// Findings carry file, line and column. Numbers in JSON text that fit no int64 become doubles.
[[nodiscard]] result<document> parse_toml(std::string_view text, const std::string& file);
[[nodiscard]] result<document> parse_json(std::string_view text, const std::string& file);

/// Compact JSON on one line, or indented by two spaces.
[[nodiscard]] std::string write_json(const document& from, bool is_indented = false);

} // namespace cyclamenhatch

#pragma once

#include "model/finding.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

/// Parses TOML and JSON, keeping the location of every value, and writes JSON. All text exchanged
/// with people and outside services in these formats passes through here.
namespace cyclamenhatch {

struct document_member;

/// One value of a document.
struct document {
    using array = std::vector<document>;
    /// Members in the order of the text.
    using table = std::vector<document_member>;

    std::variant<std::monostate, bool, std::int64_t, double, std::string, array, table> value;
    source_location location;

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
    /// Location of the key.
    source_location key_location;
};

/// The value of the member with this key, or null when `parent` is not a table or has no such
/// member.
[[nodiscard]] const document* find_member(const document& parent, std::string_view key);

/// The text, integer or flag of a member, or the fallback when it is absent or of another type.
[[nodiscard]] std::string text_or(const document& parent, std::string_view key,
                                  std::string_view fallback);
[[nodiscard]] std::int64_t number_or(const document& parent, std::string_view key,
                                     std::int64_t fallback);
[[nodiscard]] bool flag_or(const document& parent, std::string_view key, bool fallback);

/// Largest number up to which JSON numbers are exact for all writers.
constexpr std::int64_t max_exact_number = (1LL << 53) - 1;

/// The whole number nearest to an integer or a fraction. Nothing when the value is no number from
/// `lowest` to `highest`, which is at most max_exact_number.
[[nodiscard]] std::optional<std::int64_t> whole_number(const document& value, std::int64_t lowest,
                                                       std::int64_t highest);

/// Parses a text; `file` is the name that locations in findings carry. JSON numbers that do not fit
/// an int64 become doubles, and those beyond the largest double infinite ones. JSON nested deeper
/// than 128 levels is refused, so that values are safe to walk, copy and destroy recursively.
[[nodiscard]] result<document> parse_toml(std::string_view text, const std::string& file);
[[nodiscard]] result<document> parse_json(std::string_view text, const std::string& file);

/// Compact JSON on one line, or indented by two spaces.
[[nodiscard]] std::string write_json(const document& root, bool is_indented = false);

} // namespace cyclamenhatch

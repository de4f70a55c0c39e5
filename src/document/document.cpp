#include "document/document.h"

#include <array>
#include <charconv>
#include <cmath>

namespace cyclamenhatch {
namespace {

constexpr std::size_t indent_width = 2;
constexpr unsigned char first_printable = 0x20;

void write_text(std::string& out, const std::string& text) {
    constexpr std::string_view digits = "0123456789abcdef";
    out += '"';
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (character == '"' || character == '\\') {
            out += '\\';
            out += character;
        } else if (character == '\n') {
            out += "\\n";
        } else if (byte < first_printable) {
            out += "\\u00";
            out += digits[byte >> 4U];
            out += digits[byte & 0x0FU];
        } else {
            out += character;
        }
    }
    out += '"';
}

void write_double(std::string& out, double number) {
    if (!std::isfinite(number)) {
        out += "null";
        return;
    }
    std::array<char, 64> digits{};
    const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
    const std::string_view text(digits.data(), static_cast<std::size_t>(end - digits.data()));
    out += text;
    if (text.find_first_of(".e") == std::string_view::npos) {
        out += ".0";
    }
}

/// Writes values as JSON; `depth` is the number of enclosing arrays and tables.
struct json_writer {
    std::string out;
    bool is_indented = false;

    void new_line(std::size_t depth) {
        if (is_indented) {
            out += '\n';
            out.append(depth * indent_width, ' ');
        }
    }

    void write(const document::array& items, std::size_t depth) {
        out += '[';
        for (std::size_t i = 0; i < items.size(); ++i) {
            out += i > 0 ? "," : "";
            new_line(depth + 1);
            write(items[i], depth + 1);
        }
        if (!items.empty()) {
            new_line(depth);
        }
        out += ']';
    }

    void write(const document::table& members, std::size_t depth) {
        out += '{';
        for (std::size_t i = 0; i < members.size(); ++i) {
            out += i > 0 ? "," : "";
            new_line(depth + 1);
            write_text(out, members[i].key);
            out += is_indented ? ": " : ":";
            write(members[i].value, depth + 1);
        }
        if (!members.empty()) {
            new_line(depth);
        }
        out += '}';
    }

    void write(const document& element, std::size_t depth) {
        if (const auto* flag = std::get_if<bool>(&element.value)) {
            out += *flag ? "true" : "false";
        } else if (const auto* number = std::get_if<std::int64_t>(&element.value)) {
            out += std::to_string(*number);
        } else if (const auto* real = std::get_if<double>(&element.value)) {
            write_double(out, *real);
        } else if (const auto* text = std::get_if<std::string>(&element.value)) {
            write_text(out, *text);
        } else if (const auto* items = std::get_if<document::array>(&element.value)) {
            write(*items, depth);
        } else if (const auto* members = std::get_if<document::table>(&element.value)) {
            write(*members, depth);
        } else {
            out += "null";
        }
    }
};

template <class Value> const Value* find_value(const document& parent, std::string_view key) {
    const auto* member = find_member(parent, key);
    return member == nullptr ? nullptr : std::get_if<Value>(&member->value);
}

} // namespace

// Defined here, where document_member is complete.
document::document() = default;
document::~document() = default;
document::document(const document& other) = default;
document::document(document&& other) noexcept = default;
document& document::operator=(const document& other) = default;
document& document::operator=(document&& other) noexcept = default;
document::document(bool flag) : value(flag) {}
document::document(std::int64_t number) : value(number) {}
document::document(double number) : value(number) {}
document::document(std::string text) : value(std::move(text)) {}
document::document(const char* text) : value(std::string(text)) {}
document::document(array items) : value(std::move(items)) {}
document::document(table members) : value(std::move(members)) {}

const document* find_member(const document& parent, std::string_view key) {
    const auto* members = std::get_if<document::table>(&parent.value);
    if (members == nullptr) {
        return nullptr;
    }
    for (const auto& member : *members) {
        if (member.key == key) {
            return &member.value;
        }
    }
    return nullptr;
}

std::string text_or(const document& parent, std::string_view key, std::string_view fallback) {
    const auto* value = find_value<std::string>(parent, key);
    return value == nullptr ? std::string(fallback) : *value;
}

std::int64_t number_or(const document& parent, std::string_view key, std::int64_t fallback) {
    const auto* value = find_value<std::int64_t>(parent, key);
    return value == nullptr ? fallback : *value;
}

bool flag_or(const document& parent, std::string_view key, bool fallback) {
    const auto* value = find_value<bool>(parent, key);
    return value == nullptr ? fallback : *value;
}

std::optional<std::int64_t> whole_number(const document& value, std::int64_t lowest,
                                         std::int64_t highest) {
    if (const auto* whole = std::get_if<std::int64_t>(&value.value)) {
        return *whole >= lowest && *whole <= highest ? std::optional(*whole) : std::nullopt;
    }
    const auto* fraction = std::get_if<double>(&value.value);
    // Compared before it is rounded: rounding a number that does not fit is undefined.
    const bool is_in_range = fraction != nullptr && *fraction >= static_cast<double>(lowest) &&
                             *fraction <= static_cast<double>(highest);
    return is_in_range ? std::optional<std::int64_t>(std::llround(*fraction)) : std::nullopt;
}

std::string write_json(const document& root, bool is_indented) {
    json_writer writer{.is_indented = is_indented};
    writer.write(root, 0);
    return std::move(writer.out);
}

} // namespace cyclamenhatch

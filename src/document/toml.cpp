#include "document/document.h"

#include <algorithm>
#include <sstream>
#include <toml++/toml.h>

namespace cyclamenhatch {
namespace {

source_location to_source_location(const toml::source_region& region, const std::string& file) {
    return {.file = file,
            .line = static_cast<int>(region.begin.line),
            .column = static_cast<int>(region.begin.column)};
}

/// Dates and times become their RFC 3339 text.
template <class Value> std::string to_text(const Value& value) {
    std::ostringstream out;
    out << value;
    return out.str();
}

document convert(const toml::node& node, const std::string& file);

document convert_table(const toml::table& source, const std::string& file) {
    document::table members;
    for (const auto& [key, value] : source) {
        members.push_back({.key = std::string(key.str()),
                           .value = convert(value, file),
                           .key_location = to_source_location(key.source(), file)});
    }
    // The library sorts members by key; this restores the order of the text.
    std::stable_sort(members.begin(), members.end(), [](const auto& left, const auto& right) {
        return std::pair(left.key_location.line, left.key_location.column) <
               std::pair(right.key_location.line, right.key_location.column);
    });
    return {std::move(members)};
}

document convert_array(const toml::array& array, const std::string& file) {
    document::array items;
    for (const auto& item : array) {
        items.push_back(convert(item, file));
    }
    return {std::move(items)};
}

document convert_value(const toml::node& node, const std::string& file) {
    if (const auto* table = node.as_table()) {
        return convert_table(*table, file);
    }
    if (const auto* array = node.as_array()) {
        return convert_array(*array, file);
    }
    if (const auto* text = node.as_string()) {
        return {text->get()};
    }
    if (const auto* number = node.as_integer()) {
        return {number->get()};
    }
    if (const auto* real = node.as_floating_point()) {
        return {real->get()};
    }
    if (const auto* flag = node.as_boolean()) {
        return {flag->get()};
    }
    if (const auto* date_time = node.as_date_time()) {
        return {to_text(date_time->get())};
    }
    if (const auto* date = node.as_date()) {
        return {to_text(date->get())};
    }
    return {to_text(node.as_time()->get())};
}

document convert(const toml::node& node, const std::string& file) {
    document converted = convert_value(node, file);
    converted.location = to_source_location(node.source(), file);
    return converted;
}

} // namespace

result<document> parse_toml(std::string_view text, const std::string& file) {
    try {
        return convert(toml::parse(text), file);
    } catch (const toml::parse_error& error) {
        return findings{{.location = to_source_location(error.source(), file),
                         .problem = std::string(error.description()),
                         .remedy = "write the line as TOML 1.0"}};
    }
}

} // namespace cyclamenhatch

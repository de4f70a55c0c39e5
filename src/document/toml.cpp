#include "document/document.h"

#include <algorithm>
#include <sstream>
#include <toml++/toml.h>

namespace cyclamenhatch {
namespace {

place to_place(const toml::source_region& from, const std::string& file) {
    return {.file = file,
            .line = static_cast<int>(from.begin.line),
            .column = static_cast<int>(from.begin.column)};
}

/// Dates and times become their RFC 3339 text.
template <class Value> std::string to_text(const Value& from) {
    std::ostringstream out;
    out << from;
    return out.str();
}

document convert(const toml::node& from, const std::string& file);

document convert_table(const toml::table& from, const std::string& file) {
    document::table members;
    for (const auto& [key, value] : from) {
        members.push_back({.key = std::string(key.str()),
                           .value = convert(value, file),
                           .where = to_place(key.source(), file)});
    }
    // The library orders by key.
    std::stable_sort(members.begin(), members.end(), [](const auto& left, const auto& right) {
        return std::pair(left.where.line, left.where.column) <
               std::pair(right.where.line, right.where.column);
    });
    return {std::move(members)};
}

document convert_array(const toml::array& from, const std::string& file) {
    document::array items;
    for (const auto& each : from) {
        items.push_back(convert(each, file));
    }
    return {std::move(items)};
}

document convert_value(const toml::node& from, const std::string& file) {
    if (const auto* table = from.as_table()) {
        return convert_table(*table, file);
    }
    if (const auto* array = from.as_array()) {
        return convert_array(*array, file);
    }
    if (const auto* text = from.as_string()) {
        return {text->get()};
    }
    if (const auto* number = from.as_integer()) {
        return {number->get()};
    }
    if (const auto* real = from.as_floating_point()) {
        return {real->get()};
    }
    if (const auto* flag = from.as_boolean()) {
        return {flag->get()};
    }
    if (const auto* moment = from.as_date_time()) {
        return {to_text(moment->get())};
    }
    if (const auto* date = from.as_date()) {
        return {to_text(date->get())};
    }
    return {to_text(from.as_time()->get())};
}

document convert(const toml::node& from, const std::string& file) {
    document to = convert_value(from, file);
    to.where = to_place(from.source(), file);
    return to;
}

} // namespace

result<document> parse_toml(std::string_view text, const std::string& file) {
    try {
        return convert(toml::parse(text), file);
    } catch (const toml::parse_error& error) {
        return findings{{.where = to_place(error.source(), file),
                         .problem = std::string(error.description()),
                         .remedy = "write the line as TOML 1.0"}};
    }
}

} // namespace cyclamenhatch

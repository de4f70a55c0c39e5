#include "document/document.h"

#include <cpprest/json.h>
#include <regex>
#include <set>

namespace cyclamenhatch {
namespace {

/// Converts values below one path and collects keys that stand twice.
struct json_converter {
    std::string file;
    findings found;

    document convert(const web::json::value& from, const std::string& path) {
        document to = convert_value(from, path);
        to.where.file = file;
        return to;
    }

    document convert_value(const web::json::value& from, const std::string& path) {
        switch (from.type()) {
        case web::json::value::Number:
            if (from.as_number().is_int64()) {
                return {from.as_number().to_int64()};
            }
            return {from.as_double()};
        case web::json::value::Boolean:
            return {from.as_bool()};
        case web::json::value::String:
            return {from.as_string()};
        case web::json::value::Object:
            return convert_table(from.as_object(), path);
        case web::json::value::Array:
            return convert_array(from.as_array(), path);
        default:
            return {};
        }
    }

    document convert_table(const web::json::object& from, const std::string& path) {
        document::table members;
        std::set<std::string> seen;
        for (const auto& [key, value] : from) {
            std::string below = path;
            below.append(path.empty() ? "" : ".").append(key);
            if (!seen.insert(key).second) {
                found.push_back({.where = {.file = file},
                                 .path = below,
                                 .problem = "the key stands twice",
                                 .remedy = "keep one"});
            }
            members.push_back(
                {.key = key, .value = convert(value, below), .where = {.file = file}});
        }
        return {std::move(members)};
    }

    document convert_array(const web::json::array& from, const std::string& path) {
        document::array items;
        for (std::size_t i = 0; i < from.size(); ++i) {
            std::string below = path;
            below.append("[").append(std::to_string(i)).append("]");
            items.push_back(convert(from.at(i), below));
        }
        return {std::move(items)};
    }
};

/// The library names the place of a syntax error only in its text.
finding describe_error(const std::string& text, const std::string& file) {
    finding error{.where = {.file = file},
                  .problem = text,
                  .remedy = "write the text as JSON, encoded as UTF-8"};
    static const std::regex pattern("Line ([0-9]{1,9}), Column ([0-9]{1,9})\\s*([^]*)");
    std::smatch match;
    if (std::regex_search(text, match, pattern)) {
        error.where.line = std::stoi(match[1]);
        error.where.column = std::stoi(match[2]);
        error.problem = match[3];
    }
    return error;
}

} // namespace

result<document> parse_json(std::string_view text, const std::string& file) {
    static const bool keeps_order = [] {
        web::json::keep_object_element_order(true);
        return true;
    }();
    static_cast<void>(keeps_order);
    try {
        json_converter converter{.file = file};
        auto read = converter.convert(web::json::value::parse(std::string(text)), "");
        if (!converter.found.empty()) {
            return std::move(converter.found);
        }
        return read;
    } catch (const std::exception& error) {
        return findings{describe_error(error.what(), file)};
    }
}

} // namespace cyclamenhatch

#include "document/document.h"

#include <cpprest/json.h>
#include <regex>
#include <set>

namespace cyclamenhatch {
namespace {

/// Converts values and collects findings about duplicate keys.
struct json_converter {
    std::string file;
    findings problems;

    document convert(const web::json::value& source, const std::string& path) {
        document converted = convert_value(source, path);
        converted.location.file = file;
        return converted;
    }

    document convert_value(const web::json::value& source, const std::string& path) {
        switch (source.type()) {
        case web::json::value::Number:
            if (source.as_number().is_int64()) {
                return {source.as_number().to_int64()};
            }
            return {source.as_double()};
        case web::json::value::Boolean:
            return {source.as_bool()};
        case web::json::value::String:
            return {source.as_string()};
        case web::json::value::Object:
            return convert_table(source.as_object(), path);
        case web::json::value::Array:
            return convert_array(source.as_array(), path);
        default:
            return {};
        }
    }

    document convert_table(const web::json::object& object, const std::string& path) {
        document::table members;
        std::set<std::string> seen;
        for (const auto& [key, value] : object) {
            std::string member_path = path;
            member_path.append(path.empty() ? "" : ".").append(key);
            if (!seen.insert(key).second) {
                problems.push_back({.location = {.file = file},
                                    .path = member_path,
                                    .problem = "the key occurs twice",
                                    .remedy = "keep only one"});
            }
            members.push_back(
                {.key = key, .value = convert(value, member_path), .key_location = {.file = file}});
        }
        return {std::move(members)};
    }

    document convert_array(const web::json::array& array, const std::string& path) {
        document::array items;
        for (std::size_t i = 0; i < array.size(); ++i) {
            std::string item_path = path;
            item_path.append("[").append(std::to_string(i)).append("]");
            items.push_back(convert(array.at(i), item_path));
        }
        return {std::move(items)};
    }
};

/// The library gives the location of a syntax error only in the message text.
finding describe_error(const std::string& text, const std::string& file) {
    finding error{.location = {.file = file},
                  .problem = text,
                  .remedy = "write the text as JSON, encoded as UTF-8"};
    static const std::regex pattern("Line ([0-9]{1,9}), Column ([0-9]{1,9})\\s*([^]*)");
    std::smatch match;
    if (std::regex_search(text, match, pattern)) {
        error.location.line = std::stoi(match[1]);
        error.location.column = std::stoi(match[2]);
        error.problem = match[3];
    }
    return error;
}

} // namespace

result<document> parse_json(std::string_view text, const std::string& file) {
    static const bool is_order_kept = [] {
        web::json::keep_object_element_order(true);
        return true;
    }();
    static_cast<void>(is_order_kept);
    try {
        json_converter converter{.file = file};
        auto root = converter.convert(web::json::value::parse(std::string(text)), "");
        if (!converter.problems.empty()) {
            return std::move(converter.problems);
        }
        return root;
    } catch (const std::exception& error) {
        return findings{describe_error(error.what(), file)};
    }
}

} // namespace cyclamenhatch

#include "http_types.h"

#include <boost/algorithm/string/predicate.hpp>

namespace cyclamenhatch::standin {

std::string_view find_header(const std::vector<header_field>& headers, std::string_view name) {
    for (const auto& header : headers) {
        if (boost::algorithm::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

std::string_view query_value(std::string_view target, std::string_view name) {
    const auto query_start = target.find('?');
    std::string_view rest =
        query_start == std::string_view::npos ? std::string_view{} : target.substr(query_start + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto separator = pair.find('=');
        if (pair.substr(0, separator) == name && separator != std::string_view::npos) {
            return pair.substr(separator + 1);
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

} // namespace cyclamenhatch::standin

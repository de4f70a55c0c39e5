#include "http_types.h"

#include <boost/algorithm/string/predicate.hpp>

namespace cyclamenhatch::standin {

std::string_view find_header(const std::vector<header_field>& headers, std::string_view name) {
    for (const auto& each : headers) {
        if (boost::algorithm::iequals(each.name, name)) {
            return each.value;
        }
    }
    return {};
}

std::string_view path_of(std::string_view target) {
    return target.substr(0, target.find('?'));
}

std::string_view query_value(std::string_view target, std::string_view name) {
    const auto question = target.find('?');
    std::string_view rest =
        question == std::string_view::npos ? std::string_view{} : target.substr(question + 1);
    while (!rest.empty()) {
        const auto end = rest.find('&');
        const auto pair = rest.substr(0, end);
        const auto equals = pair.find('=');
        if (pair.substr(0, equals) == name && equals != std::string_view::npos) {
            return pair.substr(equals + 1);
        }
        rest = end == std::string_view::npos ? std::string_view{} : rest.substr(end + 1);
    }
    return {};
}

} // namespace cyclamenhatch::standin

#include "feed/usable_rows.h"

#include "model/validation.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <set>
#include <string_view>

namespace cyclamenhatch::feed {
namespace {

constexpr std::string_view service_kind = "service";

/// What a finding is about: a row of a section, or the section itself.
struct row_place {
    std::string_view service;
    std::string_view kind;
    std::size_t index = 0;
};

/// Removes the text behind the last dot from `path` and returns it.
std::string_view take_last_part(std::string_view& path) {
    const auto dot = path.rfind('.');
    if (dot == std::string_view::npos) {
        return {};
    }
    const auto part = path.substr(dot + 1);
    path = path.substr(0, dot);
    return part;
}

/// Reads a path such as SERVICE.route[2].path_prefix from its end, since a service's name may
/// contain any of its signs.
std::optional<row_place> find_place(std::string_view path) {
    (void)take_last_part(path);
    auto row = take_last_part(path);
    if (row == service_kind) {
        return row_place{path, service_kind};
    }
    const auto bracket = row.find('[');
    if (bracket == std::string_view::npos || !row.ends_with(']')) {
        return std::nullopt;
    }
    row_place place{path, row.substr(0, bracket)};
    const auto digits = row.substr(bracket + 1, row.size() - bracket - 2);
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), place.index);
    return read.ec == std::errc{} ? std::optional(place) : std::nullopt;
}

template <class Resource>
bool remove_rows(std::vector<Resource>& resources, const std::set<std::size_t>& rows) {
    std::size_t index = 0;
    return std::erase_if(resources, [&](const auto&) { return rows.contains(index++); }) > 0;
}

/// The rows of one kind, in the section that holds them, which the findings name.
std::set<std::size_t> list_rows(const std::vector<row_place>& places, const section& content,
                                std::string_view kind) {
    std::set<std::size_t> rows;
    for (const auto& place : places) {
        if (place.kind == kind && place.service == content.service.name.value) {
            rows.insert(place.index);
        }
    }
    return rows;
}

/// Removes the last section of that name: the first one of several counts.
void remove_service(std::vector<section>& sections, std::string_view name) {
    const auto last = std::find_if(sections.rbegin(), sections.rend(), [&](const auto& content) {
        return content.service.name.value == name;
    });
    if (last != sections.rend()) {
        sections.erase(std::next(last).base());
    }
}

findings validate(const std::vector<section>& sections) {
    std::vector<const section*> contents;
    contents.reserve(sections.size());
    for (const auto& content : sections) {
        contents.push_back(&content);
    }
    return validate_sections(contents, name_rule::opaque);
}

/// Removes what the findings name. Returns false when that is nothing.
bool remove_named(std::vector<section>& sections, const findings& problems) {
    std::vector<row_place> places;
    for (const auto& problem : problems) {
        if (const auto place = find_place(problem.path)) {
            places.push_back(*place);
        }
    }
    bool has_removed = false;
    for (auto& content : sections) {
        has_removed |= remove_rows(content.routes, list_rows(places, content, "route"));
        has_removed |=
            remove_rows(content.versions, list_rows(places, content, "upstream_version"));
        has_removed |= remove_rows(content.moves, list_rows(places, content, "move"));
    }
    std::set<std::string_view> services;
    for (const auto& place : places) {
        if (place.kind == service_kind && place.service != fleet_section_name().value) {
            services.insert(place.service);
        }
    }
    const auto size = sections.size();
    for (const auto name : services) {
        remove_service(sections, name);
    }
    return has_removed || sections.size() != size;
}

} // namespace

findings remove_reserved(std::vector<section>& sections) {
    const auto count = std::erase_if(sections, is_fleet_section);
    return findings(count, {.path = "service.name",
                            .problem = "\"" + fleet_section_name().value + "\" is reserved",
                            .remedy = "give the service another name"});
}

findings remove_unusable(std::vector<section>& sections) {
    findings all;
    for (auto problems = validate(sections); !problems.empty() && remove_named(sections, problems);
         problems = validate(sections)) {
        std::move(problems.begin(), problems.end(), std::back_inserter(all));
    }
    return all;
}

} // namespace cyclamenhatch::feed

#include "model/validation.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace cyclamenhatch {
namespace {

constexpr std::size_t max_name_length = 128;
constexpr std::uint32_t full_share_permille = 1000;
constexpr milliseconds max_route_timeout{3'600'000};
constexpr std::uint32_t max_reserved_slots = 100'000;

/// Collects findings below one path.
struct section_report {
    findings found;

    void add(std::string path, std::string problem, std::string remedy) {
        found.push_back(
            {.path = std::move(path), .problem = std::move(problem), .remedy = std::move(remedy)});
    }
};

std::string indexed(std::string_view kind, std::size_t index, std::string_view field) {
    return std::string(kind) + "[" + std::to_string(index) + "]." + std::string(field);
}

bool is_name_char(char each) {
    return (each >= 'a' && each <= 'z') || (each >= 'A' && each <= 'Z') ||
           (each >= '0' && each <= '9') || each == '-' || each == '_' || each == '.';
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_char);
}

void check_name(section_report& report, const std::string& path, const std::string& name) {
    if (!is_name(name)) {
        report.add(path, "\"" + name + "\" is not a name",
                   "use 1 to 128 letters, digits, '-', '_' or '.'");
    }
}

void check_belongs(section_report& report, const std::string& path, const service_id& named,
                   const service_id& own) {
    if (named != own) {
        report.add(path, "\"" + named.value + "\" is not this section's service",
                   "use \"" + own.value + "\"");
    }
}

bool has_version(const section& part, const version_id& name) {
    return std::any_of(part.versions.begin(), part.versions.end(),
                       [&](const upstream_version& each) { return each.name == name; });
}

/// An empty name stands for every version that is announced.
void check_version(section_report& report, const section& part, const std::string& path,
                   const version_id& name) {
    if (!name.empty() && !has_version(part, name)) {
        report.add(path,
                   "no upstream version \"" + name.value + "\" of service \"" +
                       part.service.name.value + "\"",
                   "add an upstream_version with this name or name another");
    }
}

template <class Resource>
void check_unique(section_report& report, std::string_view kind,
                  const std::vector<Resource>& resources) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < resources.size(); ++i) {
        const auto& name = resources[i].name.value;
        check_name(report, indexed(kind, i, "name"), name);
        if (!seen.insert(name).second) {
            report.add(indexed(kind, i, "name"), "\"" + name + "\" stands twice",
                       "give each a name of its own");
        }
    }
}

void check_service(section_report& report, const section& part) {
    const auto& checked = part.service;
    check_name(report, "service.name", checked.name.value);
    check_name(report, "service.owner", checked.owner.value);
    check_version(report, part, "service.version", checked.version);
    if (checked.reserved_slots < 1 || checked.reserved_slots > max_reserved_slots) {
        report.add("service.reserved_slots",
                   std::to_string(checked.reserved_slots) + " is out of range", "use 1 to 100000");
    }
}

void check_routes(section_report& report, const section& part) {
    check_unique(report, "route", part.routes);
    for (std::size_t i = 0; i < part.routes.size(); ++i) {
        const auto& checked = part.routes[i];
        check_belongs(report, indexed("route", i, "service"), checked.service, part.service.name);
        if (checked.path_prefix.empty() || checked.path_prefix.front() != '/') {
            report.add(indexed("route", i, "path_prefix"),
                       "\"" + checked.path_prefix + "\" does not start with '/'",
                       "use \"/\" to match every path");
        }
        if (checked.timeout < milliseconds{1} || checked.timeout > max_route_timeout) {
            report.add(indexed("route", i, "timeout_ms"),
                       std::to_string(checked.timeout.count()) + " is out of range",
                       "use 1 to 3600000");
        }
    }
}

void check_move(section_report& report, const section& part, std::size_t i) {
    const auto& checked = part.moves[i];
    check_belongs(report, indexed("move", i, "service"), checked.service, part.service.name);
    if (checked.ending) {
        return; // A closed record is history: its versions may be gone by now.
    }
    check_version(report, part, indexed("move", i, "from"), checked.from);
    check_version(report, part, indexed("move", i, "to"), checked.to);
    if (checked.from == checked.to) {
        report.add(indexed("move", i, "to"), "the move goes to the version that it leaves",
                   "name two different versions");
    }
    if (checked.to.empty()) {
        report.add(indexed("move", i, "to"), "is required", "name the version to move to");
    }
    if (checked.from != part.service.version) {
        report.add(indexed("move", i, "from"),
                   "the service is on \"" + part.service.version.value + "\"",
                   "move from the version that the service is on");
    }
    if (checked.first_share_permille < 1 || checked.first_share_permille > full_share_permille) {
        report.add(indexed("move", i, "first_share_permille"),
                   std::to_string(checked.first_share_permille) + " is out of range",
                   "use 1 to 1000");
    }
    if (checked.min_calls < 1) {
        report.add(indexed("move", i, "min_calls"), "0 calls allow no verdict", "use 1 or more");
    }
    if (checked.start && *checked.start + checked.bake >= checked.deadline) {
        report.add(indexed("move", i, "deadline"), "the deadline leaves no time for the bake",
                   "set it later than start and bake_s together");
    }
}

void check_moves(section_report& report, const section& part) {
    check_unique(report, "move", part.moves);
    std::size_t open = 0;
    for (std::size_t i = 0; i < part.moves.size(); ++i) {
        check_move(report, part, i);
        if (part.moves[i].ending) {
            continue;
        }
        if (++open > 1) {
            report.add(indexed("move", i, "service"),
                       "another move of service \"" + part.service.name.value + "\" is open",
                       "wait for its end or cancel it");
        }
    }
}

/// What one route's split states by itself; whether its services exist is known of all sections
/// together only.
void check_split(section_report& report, const route& checked, std::size_t i) {
    std::uint64_t weights = 0;
    bool names_own = checked.split.empty();
    for (const auto& part : checked.split) {
        weights += part.weight;
        names_own = names_own || part.service == checked.service;
    }
    if (!names_own) {
        report.add(indexed("route", i, "split"),
                   "the route's own service \"" + checked.service.value +
                       "\" is not among the parts",
                   "make the route's service one of the parts");
    }
    if (!checked.split.empty() && weights == 0) {
        report.add(indexed("route", i, "split"), "all weights are 0", "give a part a weight");
    }
}

/// What a call matches a route by.
struct route_key {
    std::string host;
    std::string path_prefix;

    friend auto operator<=>(const route_key&, const route_key&) = default;
};

} // namespace

findings validate_section(const section& part) {
    section_report report;
    check_service(report, part);
    check_routes(report, part);
    for (std::size_t i = 0; i < part.routes.size(); ++i) {
        check_split(report, part.routes[i], i);
    }
    check_unique(report, "upstream_version", part.versions);
    for (std::size_t i = 0; i < part.versions.size(); ++i) {
        check_belongs(report, indexed("upstream_version", i, "service"), part.versions[i].service,
                      part.service.name);
    }
    check_moves(report, part);
    return report.found;
}

namespace {

/// Parts of splits that name services which the configuration lacks.
findings check_split_services(const std::vector<const section*>& parts) {
    std::set<service_id> known;
    for (const section* part : parts) {
        known.insert(part->service.name);
    }
    findings all;
    for (const section* part : parts) {
        for (std::size_t i = 0; i < part->routes.size(); ++i) {
            for (const auto& each : part->routes[i].split) {
                if (!known.contains(each.service)) {
                    all.push_back(
                        {.path = part->service.name.value + "." + indexed("route", i, "split"),
                         .problem = "no service \"" + each.service.value + "\"",
                         .remedy = "add the service or name another"});
                }
            }
        }
    }
    return all;
}

} // namespace

findings validate_sections(const std::vector<const section*>& parts) {
    findings all = check_split_services(parts);
    std::set<service_id> services;
    std::map<route_key, route_id> matches;
    for (const section* part : parts) {
        const std::string prefix = part->service.name.value + ".";
        for (auto& each : validate_section(*part)) {
            each.path = prefix + each.path;
            all.push_back(std::move(each));
        }
        if (!services.insert(part->service.name).second) {
            all.push_back({.path = prefix + "service.name",
                           .problem = "the service stands twice",
                           .remedy = "give each service a name of its own"});
        }
        for (std::size_t i = 0; i < part->routes.size(); ++i) {
            const auto& checked = part->routes[i];
            const auto [held, is_new] =
                matches.emplace(route_key{checked.host, checked.path_prefix}, checked.name);
            if (!is_new) {
                all.push_back({.path = prefix + indexed("route", i, "path_prefix"),
                               .problem = "route \"" + held->second.value +
                                          "\" matches the same host and path prefix",
                               .remedy = "change the host or the path prefix of one"});
            }
        }
    }
    return all;
}

} // namespace cyclamenhatch

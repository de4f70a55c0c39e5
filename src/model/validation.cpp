#include "model/validation.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

namespace cyclamenhatch {
namespace {

constexpr std::size_t max_name_length = 128;
constexpr std::size_t max_opaque_name_length = 256;
constexpr std::uint32_t full_share_permille = 1000;
constexpr std::uint32_t max_reserved_slots = 100'000;
constexpr milliseconds max_warm_up_time{3'600'000};
constexpr double max_calls_per_s = 1e9;
constexpr std::size_t digest_length = 64;

/// Collects the findings of one section.
struct section_report {
    name_rule names = name_rule::strict;
    findings problems;

    void add(std::string path, std::string problem, std::string remedy) {
        problems.push_back(
            {.path = std::move(path), .problem = std::move(problem), .remedy = std::move(remedy)});
    }
};

std::string field_path(std::string_view kind, std::size_t index, std::string_view field) {
    return std::string(kind) + "[" + std::to_string(index) + "]." + std::string(field);
}

bool is_name_char(char character) {
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_' ||
           character == '.';
}

bool is_control(char character) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7f;
    const auto byte = static_cast<unsigned char>(character);
    return byte < first_printable || byte == del;
}

bool is_opaque_name(std::string_view text) {
    return !text.empty() && text.size() <= max_opaque_name_length &&
           std::none_of(text.begin(), text.end(), is_control);
}

void check_name(section_report& report, const std::string& path, const std::string& name) {
    if (report.names == name_rule::opaque) {
        if (!is_opaque_name(name)) {
            report.add(path, "is empty, too long or has control characters",
                       "use 1 to 256 bytes without control characters");
        }
        return;
    }
    if (!is_name(name)) {
        report.add(path, "\"" + name + "\" is not a name",
                   "use 1 to 128 letters, digits, '-', '_' or '.'");
    }
}

void check_service_reference(section_report& report, const std::string& path,
                             const service_id& referenced, const service_id& expected) {
    if (referenced != expected) {
        report.add(path, "\"" + referenced.value + "\" is not this section's service",
                   "use \"" + expected.value + "\"");
    }
}

bool has_version(const section& content, const version_id& name) {
    return std::any_of(content.versions.begin(), content.versions.end(),
                       [&](const upstream_version& candidate) { return candidate.name == name; });
}

/// Accepts an empty name, which stands for every announced version.
void check_version(section_report& report, const section& content, const std::string& path,
                   const version_id& name) {
    if (!name.empty() && !has_version(content, name)) {
        report.add(path,
                   "no upstream version \"" + name.value + "\" of service \"" +
                       content.service.name.value + "\"",
                   "add an upstream_version with this name or name another");
    }
}

template <class Resource>
void check_unique(section_report& report, std::string_view kind,
                  const std::vector<Resource>& resources) {
    std::set<std::string> seen;
    for (std::size_t i = 0; i < resources.size(); ++i) {
        const auto& name = resources[i].name.value;
        check_name(report, field_path(kind, i, "name"), name);
        if (!seen.insert(name).second) {
            report.add(field_path(kind, i, "name"), "\"" + name + "\" is used twice",
                       "give each a unique name");
        }
    }
}

void check_rate(section_report& report, const std::string& path, double rate) {
    if (!(rate >= 0 && rate <= max_calls_per_s)) {
        report.add(path, std::to_string(rate) + " is out of range", "use 0 to 1000000000");
    }
}

void check_service(section_report& report, const section& content) {
    const auto& resource = content.service;
    check_name(report, "service.name", resource.name.value);
    check_name(report, "service.owner", resource.owner.value);
    check_version(report, content, "service.version", resource.version);
    if (resource.reserved_slots < 1 || resource.reserved_slots > max_reserved_slots) {
        report.add("service.reserved_slots",
                   std::to_string(resource.reserved_slots) + " is out of range", "use 1 to 100000");
    }
    if (resource.warm_up_time > max_warm_up_time) {
        report.add("service.warm_up_ms",
                   std::to_string(resource.warm_up_time.count()) + " is out of range",
                   "use 0 to 3600000");
    }
    check_rate(report, "service.warm_up_calls_per_s", resource.warm_up_calls_per_s);
}

bool is_digest(const digest_id& digest) {
    return digest.value.size() == digest_length &&
           std::all_of(digest.value.begin(), digest.value.end(), [](char character) {
               return (character >= '0' && character <= '9') ||
                      (character >= 'a' && character <= 'f');
           });
}

/// The finding names the place of a digest only: it belongs to a secret.
void check_keys(section_report& report, const section& content) {
    std::map<digest_id, workspace_id> holders;
    for (std::size_t i = 0; i < content.workspaces.size(); ++i) {
        const auto& resource = content.workspaces[i];
        for (const auto& digest : resource.key_digests) {
            const auto [holder, is_new] = holders.emplace(digest, resource.name);
            if (!is_digest(digest)) {
                report.add(field_path("workspace", i, "key_digest"), "is not a SHA-256",
                           "use 64 lower-case hexadecimal digits");
            } else if (!is_new && holder->second != resource.name) {
                report.add(field_path("workspace", i, "key_digest"),
                           "workspace \"" + holder->second.value + "\" has the same key",
                           "give each workspace keys of its own");
            }
        }
    }
}

void check_fleet_section(section_report& report, const section& content) {
    if (!content.routes.empty() || !content.versions.empty() || !content.moves.empty()) {
        report.add("service.name", "the fleet section has routes, versions or moves",
                   "put them in the section of a service");
    }
    check_unique(report, "workspace", content.workspaces);
    check_keys(report, content);
    for (std::size_t i = 0; i < content.workspaces.size(); ++i) {
        check_rate(report, field_path("workspace", i, "calls_per_s"),
                   content.workspaces[i].calls_per_s);
        check_rate(report, field_path("workspace", i, "burst"), content.workspaces[i].burst);
    }
}

void check_routes(section_report& report, const section& content) {
    check_unique(report, "route", content.routes);
    for (std::size_t i = 0; i < content.routes.size(); ++i) {
        const auto& resource = content.routes[i];
        check_service_reference(report, field_path("route", i, "service"), resource.service,
                                content.service.name);
        if (resource.path_prefix.empty() || resource.path_prefix.front() != '/') {
            report.add(field_path("route", i, "path_prefix"),
                       "\"" + resource.path_prefix + "\" does not start with '/'",
                       "use \"/\" to match every path");
        }
        if (resource.timeout < milliseconds{1} || resource.timeout > max_route_timeout) {
            report.add(field_path("route", i, "timeout_ms"),
                       std::to_string(resource.timeout.count()) + " is out of range",
                       "use 1 to 3600000");
        }
    }
}

void check_move(section_report& report, const section& content, std::size_t i) {
    const auto& resource = content.moves[i];
    check_service_reference(report, field_path("move", i, "service"), resource.service,
                            content.service.name);
    if (resource.ending) {
        return; // The versions that an ended move names may have been removed.
    }
    check_version(report, content, field_path("move", i, "from"), resource.old_version);
    check_version(report, content, field_path("move", i, "to"), resource.new_version);
    if (resource.old_version == resource.new_version) {
        report.add(field_path("move", i, "to"), "the move starts and ends at the same version",
                   "name two different versions");
    }
    if (resource.new_version.empty()) {
        report.add(field_path("move", i, "to"), "is required", "name the version to move to");
    }
    if (resource.old_version != content.service.version) {
        report.add(field_path("move", i, "from"),
                   "the service is on \"" + content.service.version.value + "\"",
                   "move from the version that the service is on");
    }
    if (resource.first_share_permille < 1 || resource.first_share_permille > full_share_permille) {
        report.add(field_path("move", i, "first_share_permille"),
                   std::to_string(resource.first_share_permille) + " is out of range",
                   "use 1 to 1000");
    }
    if (resource.min_calls < 1) {
        report.add(field_path("move", i, "min_calls"), "0 calls are too few to judge a stage",
                   "use 1 or more");
    }
    if (resource.start && *resource.start + resource.bake >= resource.deadline) {
        report.add(field_path("move", i, "deadline"), "the deadline leaves no time for the bake",
                   "set it later than start and bake_s together");
    }
}

void check_moves(section_report& report, const section& content) {
    check_unique(report, "move", content.moves);
    std::size_t open_moves = 0;
    for (std::size_t i = 0; i < content.moves.size(); ++i) {
        check_move(report, content, i);
        if (content.moves[i].ending) {
            continue;
        }
        if (++open_moves > 1) {
            report.add(field_path("move", i, "service"),
                       "another move of service \"" + content.service.name.value + "\" is open",
                       "wait for its end or cancel it");
        }
    }
}

/// Checks a route's split alone; check_split_services checks that its services exist.
void check_split(section_report& report, const route& resource, std::size_t i) {
    std::uint64_t total_weight = 0;
    bool has_own_service = resource.split.empty();
    for (const auto& part : resource.split) {
        total_weight += part.weight;
        has_own_service = has_own_service || part.service == resource.service;
    }
    if (!has_own_service) {
        report.add(field_path("route", i, "split"),
                   "the route's own service \"" + resource.service.value +
                       "\" is not among the parts",
                   "make the route's service one of the parts");
    }
    if (!resource.split.empty() && total_weight == 0) {
        report.add(field_path("route", i, "split"), "all weights are 0",
                   "give at least one part a weight above 0");
    }
}

/// The host and path prefix by which calls match a route.
struct route_key {
    std::string host;
    std::string path_prefix;

    friend auto operator<=>(const route_key&, const route_key&) = default;
};

} // namespace

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_char);
}

findings validate_section(const section& content, name_rule names) {
    section_report report{.names = names};
    if (is_fleet_section(content)) {
        check_fleet_section(report, content);
        return report.problems;
    }
    if (!content.workspaces.empty() || !content.evacuated.empty() || content.requires_access_key) {
        report.add("service.name",
                   "workspaces, access and evacuated data centres belong to no service",
                   "put them in the fleet section");
    }
    check_service(report, content);
    check_routes(report, content);
    for (std::size_t i = 0; i < content.routes.size(); ++i) {
        check_split(report, content.routes[i], i);
    }
    check_unique(report, "upstream_version", content.versions);
    for (std::size_t i = 0; i < content.versions.size(); ++i) {
        check_service_reference(report, field_path("upstream_version", i, "service"),
                                content.versions[i].service, content.service.name);
    }
    check_moves(report, content);
    return report.problems;
}

namespace {

/// Findings for parts of splits that name services missing from the configuration.
findings check_split_services(const std::vector<const section*>& sections) {
    std::set<service_id> service_names;
    for (const section* content : sections) {
        service_names.insert(content->service.name);
    }
    findings problems;
    for (const section* content : sections) {
        for (std::size_t i = 0; i < content->routes.size(); ++i) {
            for (const auto& split_part : content->routes[i].split) {
                if (!service_names.contains(split_part.service)) {
                    problems.push_back(
                        {.path =
                             content->service.name.value + "." + field_path("route", i, "split"),
                         .problem = "no service \"" + split_part.service.value + "\"",
                         .remedy = "add the service or name another"});
                }
            }
        }
    }
    return problems;
}

} // namespace

findings validate_sections(const std::vector<const section*>& sections, name_rule names) {
    findings problems = check_split_services(sections);
    std::set<service_id> service_names;
    std::map<route_key, route_id> routes_by_key;
    for (const section* content : sections) {
        const std::string prefix = content->service.name.value + ".";
        for (auto& item : validate_section(*content, names)) {
            item.path = prefix + item.path;
            problems.push_back(std::move(item));
        }
        if (!service_names.insert(content->service.name).second) {
            problems.push_back({.path = prefix + "service.name",
                                .problem = "the service is defined twice",
                                .remedy = "give each service a unique name"});
        }
        for (std::size_t i = 0; i < content->routes.size(); ++i) {
            const auto& resource = content->routes[i];
            const auto [existing, is_new] = routes_by_key.emplace(
                route_key{resource.host, resource.path_prefix}, resource.name);
            if (!is_new) {
                problems.push_back({.path = prefix + field_path("route", i, "path_prefix"),
                                    .problem = "route \"" + existing->second.value +
                                               "\" matches the same host and path prefix",
                                    .remedy = "change the host or the path prefix of one"});
            }
        }
    }
    return problems;
}

} // namespace cyclamenhatch

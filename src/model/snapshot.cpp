#include "model/snapshot.h"

#include "model/digest.h"
#include "model/resource_codec.h"
#include "model/validation.h"

#include <algorithm>

namespace cyclamenhatch {
namespace {

std::string_view prefix_of(const route_match& candidate) {
    return candidate.matched_route->path_prefix;
}

std::size_t common_length(std::string_view left, std::string_view right) {
    const auto ends = std::mismatch(left.begin(), left.end(), right.begin(), right.end());
    return static_cast<std::size_t>(ends.first - left.begin());
}

/// Whether a prefix of this length, above 0, ends at a path boundary.
bool is_boundary(std::string_view path, std::size_t length) {
    return length == path.size() || path[length - 1] == '/' || path[length] == '/';
}

route_index index_routes(const std::map<service_id, section_ptr>& sections) {
    route_index index;
    for (const auto& [name, stored] : sections) {
        for (const auto& resource : stored->content.routes) {
            index[resource.host].push_back({&resource, stored.get()});
        }
    }
    for (auto& [host, routes] : index) {
        std::sort(routes.begin(), routes.end(), [](const auto& left, const auto& right) {
            return prefix_of(left) < prefix_of(right);
        });
    }
    return index;
}

key_index index_keys(const section& fleet) {
    key_index index;
    for (const auto& resource : fleet.workspaces) {
        for (const auto& digest : resource.key_digests) {
            index.emplace(digest, &resource);
        }
    }
    return index;
}

route_match find_in_index(const route_index& index, std::string_view host, std::string_view path) {
    const auto host_routes = index.find(host);
    if (host_routes == index.end()) {
        return {};
    }
    const auto& routes = host_routes->second;
    // A prefix of `key` is not longer than what `key` has in common with the last route up to it.
    for (auto key = path; !key.empty();) {
        const auto after = std::upper_bound(
            routes.begin(), routes.end(), key,
            [](const auto& text, const auto& candidate) { return text < prefix_of(candidate); });
        if (after == routes.begin()) {
            return {};
        }
        const auto& candidate = *std::prev(after);
        const auto prefix = prefix_of(candidate);
        const auto common = common_length(prefix, key);
        if (common == prefix.size() && is_boundary(path, common)) {
            return candidate;
        }
        key = key.substr(0, common == prefix.size() ? common - 1 : common);
    }
    return {};
}

} // namespace

section_ptr make_stored_section(section content) {
    sort_resources(content);
    auto stored = std::make_shared<stored_section>();
    stored->encoded = encode_section(content);
    stored->digest = compute_digest(stored->encoded);
    stored->content = std::move(content);
    return stored;
}

result<section_ptr> decode_stored_section(std::string encoded, const digest_id& expected) {
    const auto digest = compute_digest(encoded);
    if (digest != expected) {
        return findings{{.path = "section",
                         .problem = "the section has digest " + digest.value + " but " +
                                    expected.value + " is expected",
                         .remedy = "fetch the section again"}};
    }
    auto decoded = decode_section(encoded);
    if (auto* problems = std::get_if<findings>(&decoded)) {
        return std::move(*problems);
    }
    auto stored = std::make_shared<stored_section>();
    stored->content = std::get<section>(std::move(decoded));
    stored->encoded = std::move(encoded);
    stored->digest = digest;
    return section_ptr{std::move(stored)};
}

digest_id compute_head_digest(config_version version,
                              const std::map<service_id, section_ptr>& sections) {
    std::string text = std::to_string(version.value);
    for (const auto& [name, stored] : sections) {
        text += "\n" + name.value + " " + stored->digest.value;
    }
    return compute_digest(text);
}

result<snapshot_ptr> build_snapshot(config_version version, std::vector<section_ptr> sections,
                                    std::vector<operation_id> operations) {
    std::vector<const section*> contents;
    contents.reserve(sections.size());
    for (const auto& stored : sections) {
        contents.push_back(&stored->content);
    }
    auto problems = validate_sections(contents, name_rule::opaque);
    if (!problems.empty()) {
        return problems;
    }
    auto built = std::make_shared<snapshot>();
    built->version = version;
    built->operations = std::move(operations);
    for (auto& stored : sections) {
        const service_id name = stored->content.service.name;
        built->sections.emplace(name, std::move(stored));
    }
    built->routes = index_routes(built->sections);
    const auto fleet = built->sections.find(fleet_section_name());
    if (fleet != built->sections.end()) {
        built->fleet = fleet->second;
        built->keys = index_keys(fleet->second->content);
    }
    built->digest = compute_head_digest(version, built->sections);
    return snapshot_ptr{std::move(built)};
}

route_match find_route(const snapshot& config, std::string_view host, std::string_view path) {
    const auto exact = find_in_index(config.routes, host, path);
    return exact.matched_route != nullptr || host.empty() ? exact
                                                          : find_in_index(config.routes, "", path);
}

bool requires_access_key(const snapshot& config) {
    return config.fleet &&
           (config.fleet->content.requires_access_key || !config.fleet->content.workspaces.empty());
}

const workspace* find_workspace(const snapshot& config, std::string_view access_key) {
    const auto it = config.keys.find(compute_digest(access_key));
    return it == config.keys.end() ? nullptr : it->second;
}

bool is_evacuated(const snapshot& config, const data_centre_id& data_centre) {
    if (!config.fleet) {
        return false;
    }
    const auto& evacuated = config.fleet->content.evacuated;
    return std::binary_search(evacuated.begin(), evacuated.end(), data_centre);
}

caller_limits compute_max_caller_limits(const snapshot& config) {
    std::optional<caller_limits> widest;
    for (const auto& [name, stored] : config.sections) {
        const auto& limits = stored->content.service.limits;
        if (!limits) {
            continue;
        }
        if (!widest) {
            widest = limits;
            continue;
        }
        widest->max_header_bytes = std::max(widest->max_header_bytes, limits->max_header_bytes);
        widest->max_body_bytes = std::max(widest->max_body_bytes, limits->max_body_bytes);
        widest->header_timeout = std::max(widest->header_timeout, limits->header_timeout);
        widest->idle_timeout = std::max(widest->idle_timeout, limits->idle_timeout);
    }
    return widest.value_or(caller_limits{});
}

} // namespace cyclamenhatch

#include "model/snapshot.h"

#include "model/digest.h"
#include "model/resource_codec.h"
#include "model/validation.h"

namespace cyclamenhatch {
namespace {

bool is_path_match(std::string_view path, std::string_view prefix) {
    if (path.substr(0, prefix.size()) != prefix) {
        return false;
    }
    return path.size() == prefix.size() || prefix.back() == '/' || path[prefix.size()] == '/';
}

bool is_better(const route& candidate, const route* best) {
    if (best == nullptr) {
        return true;
    }
    if (candidate.host.empty() != best->host.empty()) {
        return best->host.empty();
    }
    return candidate.path_prefix.size() > best->path_prefix.size();
}

} // namespace

section_ptr make_stored_section(section content) {
    auto stored = std::make_shared<stored_section>();
    stored->encoded = encode_section(content);
    stored->digest = compute_digest(stored->encoded);
    stored->content = std::move(content);
    return stored;
}

result<section_ptr> open_stored_section(std::string encoded, const digest_id& expected) {
    const auto digest = compute_digest(encoded);
    if (digest != expected) {
        return findings{{.path = "section",
                         .problem = "the digest is " + digest.value + " where " + expected.value +
                                    " is expected",
                         .remedy = "fetch the section again"}};
    }
    auto decoded = decode_section(encoded);
    if (auto* found = std::get_if<findings>(&decoded)) {
        return std::move(*found);
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
    for (const auto& [name, part] : sections) {
        text += "\n" + name.value + " " + part->digest.value;
    }
    return compute_digest(text);
}

result<snapshot_ptr> build_snapshot(config_version version, std::vector<section_ptr> sections,
                                    std::vector<operation_id> operations) {
    std::vector<const section*> contents;
    contents.reserve(sections.size());
    for (const auto& each : sections) {
        contents.push_back(&each->content);
    }
    auto found = validate_sections(contents);
    if (!found.empty()) {
        return found;
    }
    auto built = std::make_shared<snapshot>();
    built->version = version;
    built->operations = std::move(operations);
    for (auto& each : sections) {
        const service_id name = each->content.service.name;
        built->sections.emplace(name, std::move(each));
    }
    built->digest = compute_head_digest(version, built->sections);
    return snapshot_ptr{std::move(built)};
}

route_match find_route(const snapshot& config, std::string_view host, std::string_view path) {
    route_match best;
    for (const auto& [name, part] : config.sections) {
        for (const auto& each : part->content.routes) {
            const bool is_host_match = each.host.empty() || each.host == host;
            if (is_host_match && is_path_match(path, each.path_prefix) &&
                is_better(each, best.matched)) {
                best = {&each, part.get()};
            }
        }
    }
    return best;
}

} // namespace cyclamenhatch

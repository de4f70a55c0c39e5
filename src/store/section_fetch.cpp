#include "store/section_fetch.h"

#include <utility>

namespace cyclamenhatch::store {
namespace {

section_ptr find_known(const service_id& service, const digest_id& digest,
                       const std::vector<const section_map*>& known) {
    for (const section_map* each : known) {
        if (each == nullptr) {
            continue;
        }
        const auto held = each->find(service);
        if (held != each->end() && held->second->digest == digest) {
            return held->second;
        }
    }
    return nullptr;
}

} // namespace

section_fetch begin_fetch(stored_head head, std::int64_t mod_revision,
                          const std::vector<const section_map*>& known) {
    section_fetch fetch;
    for (const auto& [service, digest] : head.entries) {
        if (auto part = find_known(service, digest, known)) {
            fetch.have.emplace(service, std::move(part));
        } else {
            fetch.missing.emplace(digest, service);
        }
    }
    fetch.head = std::move(head);
    fetch.mod_revision = mod_revision;
    return fetch;
}

kv_range fetch_request(const section_fetch& fetch, const std::string& prefix) {
    if (fetch.missing.size() == 1) {
        return {.key = section_key(prefix, fetch.missing.begin()->first)};
    }
    return {.key = section_prefix(prefix), .is_prefix = true};
}

findings absorb(section_fetch& fetch, const std::string& prefix,
                const std::vector<kv_entry>& entries) {
    findings all;
    const auto name_start = section_prefix(prefix).size();
    for (const auto& each : entries) {
        if (each.key.size() <= name_start) {
            continue;
        }
        const auto wanted = fetch.missing.find(digest_id{each.key.substr(name_start)});
        if (wanted == fetch.missing.end()) {
            continue;
        }
        auto opened = open_stored_section(each.value, wanted->first);
        if (auto* found = std::get_if<findings>(&opened)) {
            all.insert(all.end(), found->begin(), found->end());
            continue;
        }
        fetch.have.emplace(wanted->second, std::get<section_ptr>(std::move(opened)));
        fetch.missing.erase(wanted);
    }
    return all;
}

std::vector<section_ptr> list_sections(const section_map& from) {
    std::vector<section_ptr> parts;
    parts.reserve(from.size());
    for (const auto& [name, part] : from) {
        parts.push_back(part);
    }
    return parts;
}

} // namespace cyclamenhatch::store

#include "store/section_fetch.h"

#include <utility>

namespace cyclamenhatch::store {
namespace {

section_ptr find_section(const service_id& service, const digest_id& digest,
                         const std::vector<const section_map*>& sources) {
    for (const section_map* sections : sources) {
        if (sections == nullptr) {
            continue;
        }
        const auto it = sections->find(service);
        if (it != sections->end() && it->second->digest == digest) {
            return it->second;
        }
    }
    return nullptr;
}

} // namespace

section_fetch begin_fetch(stored_head head, std::int64_t mod_revision,
                          const std::vector<const section_map*>& sources) {
    section_fetch fetch;
    for (const auto& [service, digest] : head.entries) {
        if (auto local_section = find_section(service, digest, sources)) {
            fetch.available.emplace(service, std::move(local_section));
        } else {
            fetch.missing.emplace(digest, service);
        }
    }
    fetch.head = std::move(head);
    fetch.mod_revision = mod_revision;
    return fetch;
}

kv_range make_fetch_request(const section_fetch& fetch, const std::string& prefix) {
    if (fetch.missing.size() == 1) {
        return {.key = section_key(prefix, fetch.missing.begin()->first)};
    }
    return {.key = section_prefix(prefix), .is_prefix = true};
}

findings add_fetched_sections(section_fetch& fetch, const std::string& prefix,
                              const std::vector<kv_entry>& entries) {
    findings problems;
    const auto name_start = section_prefix(prefix).size();
    for (const auto& entry : entries) {
        if (entry.key.size() <= name_start) {
            continue;
        }
        const auto missing = fetch.missing.find(digest_id{entry.key.substr(name_start)});
        if (missing == fetch.missing.end()) {
            continue;
        }
        auto opened = decode_stored_section(entry.value, missing->first);
        if (auto* malformed = std::get_if<findings>(&opened)) {
            problems.insert(problems.end(), malformed->begin(), malformed->end());
            continue;
        }
        fetch.available.emplace(missing->second, std::get<section_ptr>(std::move(opened)));
        fetch.missing.erase(missing);
    }
    return problems;
}

std::vector<section_ptr> list_sections(const section_map& sections) {
    std::vector<section_ptr> list;
    list.reserve(sections.size());
    for (const auto& [name, stored] : sections) {
        list.push_back(stored);
    }
    return list;
}

} // namespace cyclamenhatch::store

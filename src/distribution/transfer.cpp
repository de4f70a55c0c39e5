#include "distribution/transfer.h"

#include "distribution/patch.h"

#include <map>
#include <set>
#include <utility>

namespace cyclamenhatch::distribution {
namespace {

using section_map = std::map<service_id, section_ptr>;

std::unique_ptr<msg::section_blob_msg> make_blob(const section_ptr& part) {
    auto blob = std::make_unique<msg::section_blob_msg>();
    blob->service = part->content.service.name.value;
    blob->digest = part->digest.value;
    blob->body.assign(part->encoded.begin(), part->encoded.end());
    return blob;
}

std::unique_ptr<msg::head_entry_msg> make_entry(const section_ptr& part) {
    auto entry = std::make_unique<msg::head_entry_msg>();
    entry->service = part->content.service.name.value;
    entry->digest = part->digest.value;
    return entry;
}

std::vector<std::string> operation_names(const snapshot& config) {
    std::vector<std::string> names;
    for (const auto& operation : config.operations) {
        names.push_back(operation.value);
    }
    return names;
}

bool has_section(const section_map& sections, const std::string& service,
                 const std::string& digest) {
    const auto it = sections.find(service_id{service});
    return it != sections.end() && it->second->digest.value == digest;
}

/// Decodes the sections of a message and adds them. Returns the findings of all sections.
findings add_sections(const std::vector<std::unique_ptr<msg::section_blob_msg>>& blobs,
                      section_map& sections) {
    findings all;
    for (const auto& blob : blobs) {
        if (!blob) {
            continue;
        }
        auto opened = decode_stored_section(std::string(blob->body.begin(), blob->body.end()),
                                            digest_id{blob->digest});
        if (const auto* problems = std::get_if<findings>(&opened)) {
            for (auto problem : *problems) {
                problem.path = blob->service + "." + problem.path;
                all.push_back(std::move(problem));
            }
            continue;
        }
        const auto& part = std::get<section_ptr>(opened);
        if (part->content.service.name.value != blob->service) {
            all.push_back({.path = blob->service + ".service.name",
                           .problem = "the section belongs to service \"" +
                                      part->content.service.name.value + "\"",
                           .remedy = "fetch the section again"});
            continue;
        }
        sections[part->content.service.name] = part;
    }
    return all;
}

/// Applies patches to the sections. Returns false when a patch does not fit its section.
bool patch_sections(const std::vector<std::unique_ptr<msg::section_patch_msg>>& patches,
                    section_map& sections) {
    for (const auto& patch : patches) {
        if (!patch) {
            return false;
        }
        const auto it = sections.find(service_id{patch->service});
        if (it == sections.end()) {
            return false;
        }
        if (it->second->digest.value == patch->digest) {
            continue; // The base of the delta is older; the held section has this change already.
        }
        auto patched = apply_patch(*it->second, *patch);
        if (!patched) {
            return false;
        }
        it->second = std::move(patched);
    }
    return true;
}

/// Adds one section to a delta, as a patch if possible and whole otherwise.
void add_change(msg::config_delta_msg& delta, const snapshot& base, const section_ptr& part,
                section_form form) {
    const auto it = base.sections.find(part->content.service.name);
    if (form == section_form::patched && it != base.sections.end()) {
        if (auto patch = make_patch(*it->second, *part)) {
            delta.patched.push_back(std::move(patch));
            return;
        }
    }
    delta.changed.push_back(make_blob(part));
}

result<snapshot_ptr> build(config_version version, const section_map& sections,
                           const std::vector<std::string>& operations) {
    std::vector<section_ptr> parts;
    for (const auto& [name, part] : sections) {
        parts.push_back(part);
    }
    std::vector<operation_id> ids;
    ids.reserve(operations.size());
    for (const auto& operation : operations) {
        ids.emplace_back(operation);
    }
    return build_snapshot(version, std::move(parts), std::move(ids));
}

} // namespace

msg::config_delta_msg make_delta(const snapshot& base, const snapshot& target, section_form form) {
    msg::config_delta_msg delta;
    delta.base_version = base.version.value;
    delta.version = target.version.value;
    delta.digest = target.digest.value;
    delta.operations = operation_names(target);
    for (const auto& [name, part] : target.sections) {
        if (!has_section(base.sections, name.value, part->digest.value)) {
            add_change(delta, base, part, form);
        }
    }
    for (const auto& [name, part] : base.sections) {
        if (!target.sections.contains(name)) {
            delta.removed.push_back(name.value);
        }
    }
    return delta;
}

msg::config_snapshot_msg make_snapshot_message(const snapshot& config,
                                               const msg::config_pull_msg& request) {
    std::set<std::pair<std::string, std::string>> have;
    for (const auto& entry : request.have) {
        if (entry) {
            have.emplace(entry->service, entry->digest);
        }
    }
    msg::config_snapshot_msg message;
    message.version = config.version.value;
    message.digest = config.digest.value;
    message.operations = operation_names(config);
    for (const auto& [name, part] : config.sections) {
        if (have.contains({name.value, part->digest.value})) {
            message.kept.push_back(make_entry(part));
        } else {
            message.sections.push_back(make_blob(part));
        }
    }
    return message;
}

msg::config_pull_msg make_pull(const snapshot_ptr& current, section_form form) {
    msg::config_pull_msg pull;
    pull.accepts_patches = form == section_form::patched;
    if (!current) {
        return pull;
    }
    pull.version = current->version.value;
    for (const auto& [name, part] : current->sections) {
        pull.have.push_back(make_entry(part));
    }
    return pull;
}

msg::config_notice_msg make_notice(const snapshot_ptr& current) {
    msg::config_notice_msg notice;
    if (current) {
        notice.version = current->version.value;
        notice.digest = current->digest.value;
    }
    return notice;
}

bool has_sections_of(const msg::config_pull_msg& request, const snapshot& base) {
    if (request.version != base.version.value || request.have.size() != base.sections.size()) {
        return false;
    }
    for (const auto& entry : request.have) {
        if (!entry || !has_section(base.sections, entry->service, entry->digest)) {
            return false;
        }
    }
    return true;
}

transfer_result apply_delta(const snapshot& base, const msg::config_delta_msg& delta) {
    auto sections = base.sections;
    for (const auto& removed : delta.removed) {
        sections.erase(service_id{removed});
    }
    if (auto problems = add_sections(delta.changed, sections); !problems.empty()) {
        return problems;
    }
    if (!patch_sections(delta.patched, sections)) {
        return transfer_mismatch{};
    }
    const config_version version{delta.version};
    if (compute_head_digest(version, sections).value != delta.digest) {
        return transfer_mismatch{};
    }
    auto built = build(version, sections, delta.operations);
    if (auto* problems = std::get_if<findings>(&built)) {
        return std::move(*problems);
    }
    return std::get<snapshot_ptr>(built);
}

transfer_result open_snapshot(const snapshot_ptr& current,
                              const msg::config_snapshot_msg& message) {
    section_map sections;
    for (const auto& kept : message.kept) {
        if (!kept) {
            continue;
        }
        if (!current || !has_section(current->sections, kept->service, kept->digest)) {
            return transfer_mismatch{};
        }
        const service_id name{kept->service};
        sections[name] = current->sections.at(name);
    }
    if (auto problems = add_sections(message.sections, sections); !problems.empty()) {
        return problems;
    }
    auto built = build(config_version{message.version}, sections, message.operations);
    if (auto* problems = std::get_if<findings>(&built)) {
        return std::move(*problems);
    }
    const auto& config = std::get<snapshot_ptr>(built);
    if (config->digest.value != message.digest) {
        return findings{{.path = "digest",
                         .problem = "the sections have digest " + config->digest.value + " but " +
                                    message.digest + " is stated",
                         .remedy = "fetch the configuration from another member"}};
    }
    return config;
}

} // namespace cyclamenhatch::distribution

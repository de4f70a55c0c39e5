#include "store/write_batch.h"

#include <algorithm>
#include <set>

namespace cyclamenhatch::store {
namespace {

/// Limits of one transaction, below those of the service (128 operations, 1.5 MB per request).
constexpr std::size_t max_swap_operations = 120;
constexpr std::size_t max_swap_bytes = 1'000'000;
constexpr std::size_t max_section_bytes = 900'000;

using apply_result = std::variant<section_map, change_refused>;

/// Digests that the stored head names and the new sections do not.
std::vector<digest_id> find_replaced(const writer_base& base, const section_map& sections) {
    std::vector<digest_id> replaced;
    for (const auto& [service, digest] : base.head.entries) {
        const auto new_section = sections.find(service);
        if (new_section == sections.end() || new_section->second->digest != digest) {
            replaced.push_back(digest);
        }
    }
    return replaced;
}

/// Sections that are not stored yet.
std::vector<section_ptr> find_changed(const writer_base& base, const section_map& sections) {
    std::vector<section_ptr> changed;
    for (const auto& [service, new_section] : sections) {
        const auto stored = base.head.entries.find(service);
        if (stored == base.head.entries.end() || stored->second != new_section->digest) {
            changed.push_back(new_section);
        }
    }
    return changed;
}

bool fits_one_swap(const writer_base& base, const section_map& sections) {
    const auto changed = find_changed(base, sections);
    std::size_t bytes = 0;
    for (const auto& changed_section : changed) {
        if (changed_section->encoded.size() > max_section_bytes) {
            return false;
        }
        bytes += changed_section->encoded.size();
    }
    const auto operations = changed.size() + find_replaced(base, sections).size() + 1;
    return operations <= max_swap_operations && bytes <= max_swap_bytes;
}

change_refused make_too_large_refusal() {
    return {refusal_kind::invalid,
            {{.path = "write",
              .problem = "the change does not fit one transaction of the store",
              .remedy = "split it into several writes"}}};
}

/// Applies one change and refuses a result that the service could not store at once.
apply_result try_change(const writer_base& base, const section_map& sections,
                        const queued_write& queued, config_version version) {
    auto applied = apply_change(sections, queued.requested_change, version, queued.operation);
    const auto* updated = std::get_if<section_map>(&applied);
    if (updated != nullptr && !fits_one_swap(base, *updated)) {
        return make_too_large_refusal();
    }
    return applied;
}

/// Handles a change that was refused on top of the earlier changes of the batch. A change that the
/// base alone permits stays queued.
void note_refusal(write_batch& batch, const writer_base& base, const queued_write& queued,
                  std::size_t index, change_refused refused) {
    if (!batch.included.empty()) {
        auto alone = try_change(base, base.sections, queued, batch.version);
        if (std::holds_alternative<section_map>(alone)) {
            return;
        }
        refused = std::get<change_refused>(std::move(alone));
    }
    if (base.requested_at < queued.submitted_at) {
        batch.needs_fresh_base = true;
    } else if (queued.unresolved) {
        batch.needs_fence = true;
    } else {
        batch.refused.push_back({index, std::move(refused)});
    }
}

template <class Resource>
std::optional<config_version> find_stamp(const std::vector<Resource>& resources,
                                         const operation_id& operation) {
    for (const auto& resource : resources) {
        if (resource.last_write.operation == operation) {
            return resource.last_write.revision;
        }
    }
    return std::nullopt;
}

std::optional<config_version> find_stamp(const section& content, const operation_id& operation) {
    if (content.service.last_write.operation == operation) {
        return content.service.last_write.revision;
    }
    if (const auto version = find_stamp(content.routes, operation)) {
        return version;
    }
    if (const auto version = find_stamp(content.versions, operation)) {
        return version;
    }
    return find_stamp(content.moves, operation);
}

} // namespace

write_batch form_batch(const writer_base& base, const std::vector<queued_write>& queue) {
    write_batch batch;
    batch.version = config_version{base.version.value + 1};
    batch.sections = base.sections;
    for (std::size_t i = 0; i < queue.size(); ++i) {
        auto applied = try_change(base, batch.sections, queue[i], batch.version);
        if (auto* updated = std::get_if<section_map>(&applied)) {
            batch.sections = std::move(*updated);
            batch.included.push_back(i);
        } else {
            note_refusal(batch, base, queue[i], i, std::get<change_refused>(std::move(applied)));
        }
    }
    return batch;
}

stored_head make_next_head(const writer_base& base, const write_batch& batch,
                           const std::vector<queued_write>& queue) {
    stored_head next;
    next.version = batch.version;
    for (const auto& [service, new_section] : batch.sections) {
        next.entries.emplace(service, new_section->digest);
    }
    next.recent = base.head.recent;
    for (const auto index : batch.included) {
        next.operations.push_back(queue[index].operation);
        next.recent.push_back({queue[index].operation, batch.version});
    }
    const auto kept_count = std::max(remembered_operations, batch.included.size());
    if (next.recent.size() > kept_count) {
        const auto surplus = static_cast<std::ptrdiff_t>(next.recent.size() - kept_count);
        next.recent.erase(next.recent.begin(), next.recent.begin() + surplus);
    }
    return next;
}

kv_transaction make_swap(const std::string& prefix, const writer_base& base,
                         const section_map& sections, const stored_head& next) {
    kv_transaction swap;
    swap.compares.push_back({head_key(prefix), base.mod_revision});
    for (const auto& changed_section : find_changed(base, sections)) {
        swap.puts.push_back(
            {section_key(prefix, changed_section->digest), changed_section->encoded});
    }
    swap.puts.push_back({head_key(prefix), encode_head(next)});
    for (const auto& digest : find_replaced(base, sections)) {
        swap.deletes.push_back(section_key(prefix, digest));
    }
    return swap;
}

std::optional<config_version> find_accepted(const writer_base& base,
                                            const operation_id& operation) {
    for (const auto& accepted : base.head.recent) {
        if (accepted.operation == operation) {
            return accepted.version;
        }
    }
    for (const auto& [service, stored] : base.sections) {
        if (const auto version = find_stamp(stored->content, operation)) {
            return version;
        }
    }
    return std::nullopt;
}

bool is_absence_proven(const writer_base& base, const unresolved_swap& swap) {
    if (base.mod_revision == swap.mod_revision || base.head.version <= swap.version) {
        return false;
    }
    const auto& recent = base.head.recent;
    return recent.size() < remembered_operations || recent.front().version <= swap.version;
}

} // namespace cyclamenhatch::store

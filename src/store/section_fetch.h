#pragma once

#include "model/finding.h"
#include "store/head_codec.h"
#include "store/kv.h"
#include "store/resource_key.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Collects the sections that a head names: from local copies where possible, and by reading the
/// rest from the key-value service.
namespace cyclamenhatch::store {

struct section_fetch {
    stored_head head;
    std::int64_t mod_revision = 0;
    section_map available;
    std::map<digest_id, service_id> missing;
};

/// Takes the sections that the head names from `sources`, and notes which are missing. Null maps
/// are skipped.
[[nodiscard]] section_fetch begin_fetch(stored_head head, std::int64_t mod_revision,
                                        const std::vector<const section_map*>& sources);

/// One read that returns all missing sections. Precondition: at least one is missing.
[[nodiscard]] kv_range make_fetch_request(const section_fetch& fetch, const std::string& prefix);

/// Takes the missing sections from the entries of a read. Returns findings when one is malformed.
/// Sections that stay missing were deleted by the write of a newer head.
[[nodiscard]] findings add_fetched_sections(section_fetch& fetch, const std::string& prefix,
                                            const std::vector<kv_entry>& entries);

[[nodiscard]] std::vector<section_ptr> list_sections(const section_map& sections);

} // namespace cyclamenhatch::store

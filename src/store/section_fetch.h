#pragma once

#include "model/finding.h"
#include "store/head_codec.h"
#include "store/kv.h"
#include "store/resource_key.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Completes a head that was read with its sections: those already known, and those still to fetch.
namespace cyclamenhatch::store {

struct section_fetch {
    stored_head head;
    std::int64_t mod_revision = 0;
    section_map have;
    std::map<digest_id, service_id> missing;
};

/// Takes from each of `known` the sections that the head names. Null maps are skipped.
[[nodiscard]] section_fetch begin_fetch(stored_head head, std::int64_t mod_revision,
                                        const std::vector<const section_map*>& known);

/// One read for all that is missing. Precondition: something is.
[[nodiscard]] kv_range fetch_request(const section_fetch& fetch, const std::string& prefix);

/// Takes the missing sections out of a read's entries. Findings when one is malformed. What stays
/// missing has been replaced by a newer head.
[[nodiscard]] findings absorb(section_fetch& fetch, const std::string& prefix,
                              const std::vector<kv_entry>& entries);

[[nodiscard]] std::vector<section_ptr> list_sections(const section_map& from);

} // namespace cyclamenhatch::store

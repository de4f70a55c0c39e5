#pragma once

#include "model/finding.h"
#include "model/ids.h"
#include "model/snapshot.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// Encoding of the head, and the keys of the values in the key-value service.
namespace cyclamenhatch::store {

/// An accepted operation and the version that carried it.
struct accepted_operation {
    operation_id operation;
    config_version version;

    friend bool operator==(const accepted_operation&, const accepted_operation&) = default;
};

/// One version of the whole configuration as the digests of its sections. Writers replace it by
/// compare-and-swap.
struct stored_head {
    config_version version;
    std::map<service_id, digest_id> entries;
    /// Operations that this version carried.
    std::vector<operation_id> operations;
    /// Operations of this and earlier versions, oldest first.
    std::vector<accepted_operation> recent;

    friend bool operator==(const stored_head&, const stored_head&) = default;
};

/// How many of the latest operations a head lists in `recent`; more when one version carries more.
constexpr std::size_t remembered_operations = 256;

[[nodiscard]] std::string encode_head(const stored_head& head);

/// Findings when the bytes are not a well-formed head.
[[nodiscard]] result<stored_head> decode_head(std::string_view bytes);

/// Whether `head` names exactly these sections.
[[nodiscard]] bool matches_sections(const stored_head& head,
                                    const std::map<service_id, section_ptr>& sections);

[[nodiscard]] std::string head_key(const std::string& prefix);
[[nodiscard]] std::string section_key(const std::string& prefix, const digest_id& digest);
/// The common prefix of all section keys.
[[nodiscard]] std::string section_prefix(const std::string& prefix);
[[nodiscard]] std::string contact_key(const std::string& prefix, const std::string& node);
/// The key of the last leave that the upstream beside a node has announced. It has the prefix of
/// the contacts, so that a node which starts finds it with the read that it needs anyway.
[[nodiscard]] std::string leave_key(const std::string& prefix, const std::string& node);
[[nodiscard]] bool is_leave_key(const std::string& prefix, std::string_view key);
/// The common prefix of all contact keys and leave keys.
[[nodiscard]] std::string contact_prefix(const std::string& prefix);

} // namespace cyclamenhatch::store

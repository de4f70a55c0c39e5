#pragma once

#include "model/finding.h"
#include "model/ids.h"
#include "model/snapshot.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

/// The stored form of the head, and the keys under which the product stores its values.
namespace cyclamenhatch::store {

/// An accepted operation and the version that carried it.
struct accepted_operation {
    operation_id operation;
    config_version version;

    friend bool operator==(const accepted_operation&, const accepted_operation&) = default;
};

/// The value that a write swaps: one version of the whole configuration, by digests.
struct stored_head {
    config_version version;
    std::map<service_id, digest_id> entries;
    /// Operations that this version carried.
    std::vector<operation_id> operations;
    /// Operations of this and earlier versions, oldest first.
    std::vector<accepted_operation> recent;

    friend bool operator==(const stored_head&, const stored_head&) = default;
};

/// How many operations a head remembers at least, besides those of its own version.
constexpr std::size_t remembered_operations = 256;

[[nodiscard]] std::string encode_head(const stored_head& from);

/// Findings when the bytes are not a well-formed head.
[[nodiscard]] result<stored_head> decode_head(std::string_view bytes);

/// Whether `head` names exactly these sections.
[[nodiscard]] bool names_sections(const stored_head& head,
                                  const std::map<service_id, section_ptr>& sections);

[[nodiscard]] std::string head_key(const std::string& prefix);
[[nodiscard]] std::string section_key(const std::string& prefix, const digest_id& digest);
/// What all section keys start with.
[[nodiscard]] std::string section_prefix(const std::string& prefix);
[[nodiscard]] std::string contact_key(const std::string& prefix, const std::string& node);
/// What all contact keys start with.
[[nodiscard]] std::string contact_prefix(const std::string& prefix);

} // namespace cyclamenhatch::store

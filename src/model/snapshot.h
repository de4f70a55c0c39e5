#pragma once

#include "model/finding.h"
#include "model/resources.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhatch {

/// A section together with its encoded form and the digest that names it. Immutable once made.
struct stored_section {
    section content;
    std::string encoded;
    digest_id digest;
};

using section_ptr = std::shared_ptr<const stored_section>;

/// Where a call goes: its route and the section that the route's service stands in. The pointers
/// live as long as the snapshot.
struct route_match {
    const route* matched = nullptr;
    const stored_section* part = nullptr;
};

/// The routes of each host, those with the longest path prefix first; the empty host holds those
/// that match every host.
using route_index = std::map<std::string, std::vector<route_match>, std::less<>>;

/// The whole configuration of one version. Immutable once built; shared between threads as
/// snapshot_ptr and replaced whole, so a reader never sees two versions mixed.
struct snapshot {
    config_version version;
    /// Digest over the version and all section digests.
    digest_id digest;
    /// Operations that led to this version from the one before.
    std::vector<operation_id> operations;
    std::map<service_id, section_ptr> sections;
    route_index routes;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

/// Encodes a section, with its routes in order of name, and names it.
[[nodiscard]] section_ptr make_stored_section(section content);

/// Decodes a section that came from the store or a peer. Findings when the bytes are not a section
/// or do not have the expected digest.
[[nodiscard]] result<section_ptr> open_stored_section(std::string encoded,
                                                      const digest_id& expected);

/// Builds a snapshot and checks it whole: references, duplicates and values. Findings when any
/// resource is invalid; nothing is ever built in part.
[[nodiscard]] result<snapshot_ptr> build_snapshot(config_version version,
                                                  std::vector<section_ptr> sections,
                                                  std::vector<operation_id> operations);

/// The digest of a configuration: over its version and its section digests in order of service.
[[nodiscard]] digest_id compute_head_digest(config_version version,
                                            const std::map<service_id, section_ptr>& sections);

/// The route for a call: the exact host before the empty one, then the longest path prefix that
/// ends at a path boundary. Empty match when no route fits.
[[nodiscard]] route_match find_route(const snapshot& config, std::string_view host,
                                     std::string_view path);

/// The widest caller limits of all services, which hold while a request's route is not known yet;
/// the defaults when no service states any.
[[nodiscard]] caller_limits widest_limits(const snapshot& config);

} // namespace cyclamenhatch

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

/// A section together with its encoded form and the digest that identifies it. Immutable once made.
struct stored_section {
    section content;
    std::string encoded;
    digest_id digest;
};

using section_ptr = std::shared_ptr<const stored_section>;

/// The route of a call and the section that holds it; both null when no route matches. The pointers
/// are valid as long as the snapshot.
struct route_match {
    const route* matched_route = nullptr;
    const stored_section* matched_section = nullptr;
};

/// Routes by host, sorted by path prefix; the empty host holds the routes that match every host.
using route_index = std::map<std::string, std::vector<route_match>, std::less<>>;

/// Workspaces by the digest of an access key. The pointers are valid as long as the snapshot.
using key_index = std::map<digest_id, const workspace*>;

/// The whole configuration of one version. Immutable once built; shared between threads as
/// snapshot_ptr and replaced as a whole, so a reader never sees a mix of two versions.
struct snapshot {
    config_version version;
    /// Digest over the version and all section digests.
    digest_id digest;
    /// Operations that led to this version from the one before.
    std::vector<operation_id> operations;
    std::map<service_id, section_ptr> sections;
    route_index routes;
    /// The fleet section; null when there is none. It is in `sections` as well.
    section_ptr fleet;
    key_index keys;
};

using snapshot_ptr = std::shared_ptr<const snapshot>;

/// Sorts the resources of a section by name, encodes the section and computes its digest.
[[nodiscard]] section_ptr make_stored_section(section content);

/// Decodes a section received from the store or a peer. Returns findings when the bytes are not a
/// section or do not have the expected digest.
[[nodiscard]] result<section_ptr> decode_stored_section(std::string encoded,
                                                        const digest_id& expected);

/// Checks all sections (references, duplicates and values, and names by name_rule::opaque) and
/// builds a snapshot. Returns findings when any resource is invalid, never a partial snapshot.
[[nodiscard]] result<snapshot_ptr> build_snapshot(config_version version,
                                                  std::vector<section_ptr> sections,
                                                  std::vector<operation_id> operations);

/// The digest of a configuration, over its version and its section digests in order of service.
[[nodiscard]] digest_id compute_head_digest(config_version version,
                                            const std::map<service_id, section_ptr>& sections);

/// Finds the route of a call. Routes of the exact host precede those that match every host; of
/// these, the longest path prefix that ends at a path boundary wins.
[[nodiscard]] route_match find_route(const snapshot& config, std::string_view host,
                                     std::string_view path);

/// Whether requests need an access key of a workspace, unless their route is anonymous. Still true
/// when the last workspace has been removed.
[[nodiscard]] bool requires_access_key(const snapshot& config);

/// The workspace that holds the access key, or null. The comparison takes the same time for all
/// keys of one length that no workspace holds.
[[nodiscard]] const workspace* find_workspace(const snapshot& config, std::string_view access_key);

/// Whether the upstreams of the data centre are to get no calls.
[[nodiscard]] bool is_evacuated(const snapshot& config, const data_centre_id& data_centre);

/// The largest value of each caller limit over all services, applied until a request's route is
/// known; the defaults when no service states limits.
[[nodiscard]] caller_limits compute_max_caller_limits(const snapshot& config);

} // namespace cyclamenhatch

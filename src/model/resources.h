#pragma once

#include "model/ids.h"
#include "model/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The resources that operators write, with strong types. schema/resources.fbs holds their stored
/// and transmitted form; resource_codec.h converts.
namespace cyclamenhatch {

/// Which accepted change last wrote a resource. Set by the system, never by operators.
struct provenance {
    config_version revision;
    operation_id operation;

    friend bool operator==(const provenance&, const provenance&) = default;
};

/// What callers may send, and how long they may take for it.
struct caller_limits {
    std::uint32_t max_header_bytes = 32'768;
    std::uint64_t max_body_bytes = 1'073'741'824;
    /// Longest time from the first byte of a request's head to its last.
    milliseconds header_timeout{30'000};
    /// Longest time that a connection stays open without a request.
    milliseconds idle_timeout{75'000};

    friend bool operator==(const caller_limits&, const caller_limits&) = default;
};

/// A service: the owner that pays for it and the upstream version that serves its calls.
struct service {
    service_id name;
    owner_id owner;
    /// Receives all calls while no move is in progress. If empty, every announced version does,
    /// except the target of the service's move.
    version_id version;
    /// Weight of the owner in fair sharing, in slots.
    std::uint32_t reserved_slots = 1;
    provenance last_write;
    /// Connections that one upstream accepts from all nodes together; 0 means no limit.
    std::uint32_t max_connections = 0;
    /// Path of an upstream's health check; empty when there is none.
    std::string health_path;
    std::optional<caller_limits> limits;
    /// How long an upstream stays cold after its start; 0 if upstreams need no warm-up.
    milliseconds warm_up_time{0};
    /// Calls a second that a cold upstream takes from all nodes together; 0 means no limit.
    double warm_up_calls_per_s = 0;

    friend bool operator==(const service&, const service&) = default;
};

/// One of several services that a route divides its calls among.
struct route_part {
    service_id service;
    /// Relative to the weights of the other parts.
    std::uint32_t weight = 1;

    friend bool operator==(const route_part&, const route_part&) = default;
};

/// Directs calls to a service by host and longest path prefix.
struct route {
    route_id name;
    service_id service;
    /// Empty matches every host.
    std::string host;
    std::string path_prefix;
    /// Whether a dispatched call may be sent again.
    bool idempotent = false;
    milliseconds timeout{1000};
    provenance last_write;
    /// Largest number of endpoints that a call may be sent to; 0 uses the node's setting.
    std::uint32_t max_attempts = 0;
    /// Time within which an answer has its full value to the caller; 0 when none is stated.
    milliseconds latency_objective{0};
    /// Rank among the calls that wait for the same endpoint; 0 is the highest.
    std::uint32_t priority = 0;
    /// Divides the calls among services by weight; the route's own service must be one of them.
    /// If empty, all calls go to the route's own service.
    std::vector<route_part> split;
    /// Whether callers need no access key while workspaces are configured.
    bool is_anonymous = false;
    /// Whether requests carry large bodies, as uploads do.
    bool has_large_bodies = false;

    friend bool operator==(const route&, const route&) = default;
};

/// A version of a service's upstream that endpoints may announce.
struct upstream_version {
    version_id name;
    service_id service;
    provenance last_write;

    friend bool operator==(const upstream_version&, const upstream_version&) = default;
};

enum class little_traffic_policy { take_back, done };

enum class move_outcome { done, taken_back };

/// How a move ended; recorded once.
struct move_ending {
    move_outcome outcome = move_outcome::taken_back;
    std::string reason;
    instant in_force_at;
    instant recorded_at;
    std::uint64_t calls_on_new = 0;
    std::uint64_t errors_on_new = 0;

    friend bool operator==(const move_ending&, const move_ending&) = default;
};

/// Directs a service's traffic from one upstream version to another by a deadline.
struct move {
    move_id name;
    service_id service;
    /// If empty, the move starts from every version except `new_version`.
    version_id old_version;
    version_id new_version;
    instant deadline;
    /// Earliest start of the move; if absent, it starts at once.
    std::optional<instant> start;
    /// Largest share of calls in the first stage, in thousandths.
    std::uint32_t first_share_permille = 10;
    /// Calls on the new version needed to judge a stage.
    std::uint32_t min_calls = 200;
    /// How long all traffic stays on the new version before the move is done.
    seconds bake{30};
    little_traffic_policy on_little_traffic = little_traffic_policy::take_back;
    /// Set by an operator to have the move taken back.
    bool cancel = false;
    std::uint32_t attempt = 1;
    /// Present once the move has ended.
    std::optional<move_ending> ending;
    provenance last_write;
    /// Time from when the nodes learn of the move to its deadline, when no deadline is stated.
    milliseconds duration{0};

    friend bool operator==(const move&, const move&) = default;
};

/// A group of callers that share access keys and an allowance.
struct workspace {
    workspace_id name;
    /// Digests of the access keys; the keys themselves are not kept.
    std::vector<digest_id> key_digests;
    /// Replaces the priority of the route.
    std::optional<std::uint32_t> priority;
    /// Calls a second that all nodes together admit; 0 means no limit.
    double calls_per_s = 0;
    /// Calls that may be admitted at once beyond that rate after a time with fewer.
    double burst = 0;
    provenance last_write;

    friend bool operator==(const workspace&, const workspace&) = default;
};

/// A service with its routes, versions and moves, or the fleet section: stored and put in force as
/// one unit.
struct section {
    struct service service;
    std::vector<route> routes;
    std::vector<upstream_version> versions;
    std::vector<move> moves;
    /// Only in the fleet section; sorted by name once stored.
    std::vector<workspace> workspaces;
    /// Data centres whose upstreams get no calls. Only in the fleet section; sorted once stored.
    std::vector<data_centre_id> evacuated;
    /// Whether requests need an access key, also while no workspace is left that holds one. Only in
    /// the fleet section, where any workspace implies it.
    bool requires_access_key = false;

    friend bool operator==(const section&, const section&) = default;
};

/// Name of the section that belongs to no service. No service can have it.
[[nodiscard]] const service_id& fleet_section_name();

/// Whether the section holds what concerns the whole fleet instead of a service.
[[nodiscard]] bool is_fleet_section(const section& content);

/// Whether the section is a fleet section that states nothing.
[[nodiscard]] bool is_empty_fleet_section(const section& content);

/// The move of a section that has not ended, or null. A valid section has at most one.
[[nodiscard]] const move* find_open_move(const section& content);

/// Sorts the routes, workspaces and evacuated data centres by name, so that equal sets of them give
/// equal sections.
void sort_resources(section& content);

} // namespace cyclamenhatch

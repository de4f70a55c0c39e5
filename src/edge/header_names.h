#pragma once

#include <string>

namespace cyclamenhatch::edge {

/// The headers by which calls carry their limits along a chain of services, and by which upstreams
/// report the outcome of a call. A header with an empty name is neither sent nor read.
struct header_names {
    /// Milliseconds that the caller still waits.
    std::string deadline = "cyclamenhatch-deadline-ms";
    /// Nodes that the chain of calls has passed.
    std::string hops = "cyclamenhatch-hops";
    /// Attempts made along the chain.
    std::string attempts = "cyclamenhatch-attempts";
    std::string owner = "cyclamenhatch-owner";
    /// Outcome of a call that no upstream answered: not-run or unknown.
    std::string outcome = "cyclamenhatch-outcome";
    /// Id of a call; upstreams echo it in their answers.
    std::string request_id;
    /// Instance id of the upstream run that the call is meant for; another run refuses with 421.
    std::string expected_instance;
    /// The service that runs on the host of the entry.
    std::string caller_service;
    /// Its presence in an answer says that the upstream did not run the call.
    std::string not_run;
    /// Calls a second, as a decimal number, that the upstream takes from all nodes together. Holds
    /// until an answer comes without it.
    std::string rate_limit = "cyclamenhatch-upstream-limit";
    /// "1" in the answers of an upstream that leaves.
    std::string leaving = "cyclamenhatch-upstream-leaves";
    /// Running calls, waiting calls and slots of the upstream and, as a fourth figure, how long
    /// work takes there now in percent of the usual time; decimal numbers with commas between them.
    std::string load;
    /// Milliseconds that the upstream stays cold, in its health answers.
    std::string cold;
    /// The access key of a workspace, as "Bearer KEY". It is not passed on.
    std::string access_key = "authorization";
    /// The workspace of the caller, set by the entry.
    std::string workspace = "cyclamenhatch-workspace";
    /// Whether Retry-After may hold fractions of a second.
    bool has_fractional_retry_after = false;
};

} // namespace cyclamenhatch::edge

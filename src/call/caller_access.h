#pragma once

#include "model/snapshot.h"

#include <string_view>
#include <vector>

/// Decides whose call a request is. Pure functions; thread safe.
namespace cyclamenhatch::call {

enum class access_verdict {
    granted,
    /// No credential at all.
    missing_key,
    /// More than one credential; which one counts is unclear.
    several_keys,
    /// The credential is no bearer token.
    other_scheme,
    /// No workspace of the configuration holds the key.
    unknown_key
};

struct caller_access {
    access_verdict verdict = access_verdict::granted;
    /// The workspace that holds the key; null when none is configured, and for a call without its
    /// key on an anonymous route. Valid as long as the snapshot.
    const workspace* caller = nullptr;
};

/// Whose call a request is that matches the route and carries these credentials, the values of all
/// its headers with an access key. Without workspaces every request is granted.
[[nodiscard]] caller_access decide_access(const snapshot& config, const route& matched,
                                          const std::vector<std::string_view>& credentials);

/// The verdict's name, for logs.
[[nodiscard]] std::string_view name_of(access_verdict verdict);

} // namespace cyclamenhatch::call

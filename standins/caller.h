#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace cyclamenhatch::standin {

struct caller_options {
    /// URLs of the caller ports of nodes, as http://IP:PORT.
    std::vector<std::string> targets;
    /// Calls per second over all targets.
    double rate = 100;
    double seconds = 10;
    /// Request paths, used in turn.
    std::vector<std::string> paths{"/"};
    /// Start of the call keys; empty picks a random one.
    std::string key_prefix;
    std::string method = "GET";
    /// Host header; empty sends the address of the target.
    std::string host;
    /// Service that every answer must name; empty accepts all.
    std::string service;
    /// Size of request bodies.
    std::uint32_t body_bytes = 0;
    std::uint32_t timeout_ms = 5000;
    /// Upstreams whose ledgers are compared at the end, as http://IP:PORT.
    std::vector<std::string> ledgers;
    /// Prints a line each second.
    bool has_progress = false;
};

/// Runs an open-loop load: calls start on schedule even when earlier ones have not ended, and
/// latency is measured from the scheduled start. Prints one line of key=value pairs. Returns the
/// exit code.
[[nodiscard]] int run_caller(const caller_options& options);

} // namespace cyclamenhatch::standin

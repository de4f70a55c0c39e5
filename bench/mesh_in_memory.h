#pragma once

#include "bench/http_load.h"
#include "edge/call_path.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenhatch::bench {

struct mesh_options {
    std::vector<std::uint16_t> upstream_ports;
    std::uint32_t slots = 12;
    std::uint32_t workers = 2;
    bool is_idempotent = true;
    milliseconds timeout{1000};
    /// False for the baseline, whose gates have no limits.
    bool has_limits = true;
    std::uint32_t retry_budget_percent = 10;
};

/// An entry and one gate for each upstream in one process. Their messages are encoded and decoded
/// as on links but do not pass through sockets. Opaque.
struct mesh_in_memory;

[[nodiscard]] std::shared_ptr<mesh_in_memory> start_mesh(const mesh_options& options);
[[nodiscard]] std::uint16_t entry_port(const mesh_in_memory& mesh);
[[nodiscard]] edge::call_path& entry_of(mesh_in_memory& mesh);
[[nodiscard]] edge::call_path& gate_of(mesh_in_memory& mesh, std::size_t number);

} // namespace cyclamenhatch::bench

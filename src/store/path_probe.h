#pragma once

#include "model/time.h"
#include "store/kv.h"
#include "store/request_state.h"

#include <cstdint>
#include <string>
#include <vector>

/// Finds out soon that requests to the key-value service are lost without an error, while a watch
/// waits for changes and so would notice much later. It reads a key that is never written, from any
/// replica: the answer proves the path to the service, not what is stored.
namespace cyclamenhatch::store {

/// Plain data, one per node. Not thread safe: the caller serialises access.
struct path_probe {
    std::string key;
    std::uint64_t next_request = probe_request_base;
    pending_request pending;
    /// Calls of on_tick since the pending read was sent.
    std::uint32_t ticks_waited = 0;
    /// When any request was last answered.
    instant last_heard;
    /// A read was not answered in time, and none has been since.
    bool is_silent = false;
};

[[nodiscard]] path_probe make_path_probe(const std::string& prefix);

/// Call about every 100 ms. Adds a read to `requests` when one is due. `is_watching`: this node
/// watches the service. A path that has fallen silent is probed until it is heard again.
void on_tick(path_probe& probe, bool is_watching, instant now, std::vector<kv_request>& requests);

/// Returns false when the response belongs to a request of another component.
[[nodiscard]] bool on_response(path_probe& probe, const kv_response& response, instant now);

/// Call when a request of another component has been answered. It shows that no probe is due, but
/// not that a silent path answers in time again.
void note_heard(path_probe& probe, instant now);

/// Call after a pause of the process, in which answers may have been missed.
void forget_pending(path_probe& probe);

} // namespace cyclamenhatch::store

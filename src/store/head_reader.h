#pragma once

#include "model/finding.h"
#include "model/random.h"
#include "model/snapshot.h"
#include "model/time.h"
#include "store/kv.h"

#include <cstdint>
#include <string>
#include <vector>

/// Reads and watches the head in the key-value service, fetches the sections it lacks and builds
/// the configuration whole. Resumes its watch from a revision and reads again after compaction.
namespace cyclamenhatch::store {

struct reader_actions {
    std::vector<kv_request> requests;
    /// Set when a configuration was read and is valid.
    snapshot_ptr found;
    /// Set when a configuration was read that must be rejected.
    config_version rejected;
    findings rejected_for;
};

/// Plain data; one per node; the caller serialises access.
struct head_reader {
    std::string prefix;
    /// Whether the last request to the service failed, and since when.
    bool is_store_down = false;
    instant down_since;
    bool is_watching = false;
};

[[nodiscard]] head_reader make_head_reader(std::string prefix, std::uint32_t reads_per_s,
                                           instant now);

/// Starts or stops watching; a no-op when nothing changes.
void set_watching(head_reader& reader, bool wanted, instant now, reader_actions& actions);

/// Reads the head once, as at start or after a pause.
void refresh(head_reader& reader, instant now, reader_actions& actions);

/// Tells the reader what this node holds, so that only missing sections are fetched.
void on_held(head_reader& reader, const snapshot_ptr& held);

void on_tick(head_reader& reader, instant now, random_source& random, reader_actions& actions);

/// Returns false when the id is none of its own.
[[nodiscard]] bool on_response(head_reader& reader, const kv_response& response, instant now,
                               random_source& random, reader_actions& actions);

} // namespace cyclamenhatch::store

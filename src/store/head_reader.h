#pragma once

#include "model/finding.h"
#include "model/random.h"
#include "model/snapshot.h"
#include "model/time.h"
#include "store/kv.h"
#include "store/request_state.h"
#include "store/section_fetch.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Reads and watches the head in the key-value service, fetches the sections it lacks and builds
/// the configuration whole. Resumes its watch from a revision and reads again after compaction.
namespace cyclamenhatch::store {

struct reader_actions {
    std::vector<kv_request> requests;
    /// Set when a configuration was read and is valid, and to what this node holds when a read
    /// showed that this is current.
    snapshot_ptr found;
    /// Set when the head was read and is not newer than what this node holds.
    bool is_current = false;
    /// Set when a configuration was read that must be rejected.
    config_version rejected;
    findings rejected_for;
};

/// A stored head by the digest of its bytes, since revisions repeat after a restored backup.
struct known_head {
    digest_id digest;
    config_version version;
};

/// Plain data; one per node; the caller serialises access.
struct head_reader {
    std::string prefix;
    service_state service;
    bool is_watching = false;

    token_bucket reads;
    std::uint64_t next_request = reader_request_base;
    snapshot_ptr held;
    /// Whether a watch is wanted, and whether the head has to be read.
    bool wants_watch = false;
    bool wants_read = false;
    pending_request head_read;
    pending_request section_read;
    pending_request watch;
    /// First revision that the next watch has to report; 0 when the head has to be read first.
    std::int64_t watch_from = 0;
    /// The head being completed with its sections.
    std::optional<section_fetch> fetch;
    known_head fetched;
    /// Sections opened for heads that were replaced before they were complete.
    section_map opened;
    /// The last head that was found, rejected or held already.
    std::optional<known_head> settled;
    /// When the head is read again although the watch is open, since a watch can go silent.
    instant next_check;
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

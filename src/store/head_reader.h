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

/// Reads and watches the head in the key-value service, fetches missing sections and builds the
/// complete configuration. Resumes its watch from a revision, and reads the head again after
/// compaction.
namespace cyclamenhatch::store {

struct reader_actions {
    std::vector<kv_request> requests;
    /// A valid configuration that was read, or the one that this node holds when a read showed that
    /// it is current.
    snapshot_ptr snapshot;
    /// Set when the head was read and is not newer than the configuration that this node holds.
    bool is_current = false;
    /// The version of a configuration that was read and is invalid, and the reasons; without
    /// reasons nothing was rejected.
    config_version rejected_version;
    findings rejection_reasons;
};

/// Identifies a stored head by the digest of its bytes, since revisions repeat after a backup is
/// restored.
struct head_identity {
    digest_id digest;
    config_version version;
};

/// Plain data, one per node. Not thread safe: the caller serialises access.
struct head_reader {
    std::string prefix;
    service_state service;
    bool is_watching = false;

    token_bucket reads;
    std::uint64_t next_request = reader_request_base;
    /// The configuration that this node holds.
    snapshot_ptr local_snapshot;
    /// Whether a watch should be open, and whether the head has to be read.
    bool wants_watch = false;
    bool wants_read = false;
    pending_request head_read;
    pending_request section_read;
    pending_request watch;
    /// First revision that the next watch reports; 0 when the head has to be read first.
    std::int64_t next_watch_revision = 0;
    /// The head whose sections are being fetched, and its identity.
    std::optional<section_fetch> fetch;
    head_identity fetch_identity;
    /// Sections fetched for heads that were replaced before all their sections were read.
    section_map reusable_sections;
    /// The last head that was reported, rejected or held already.
    std::optional<head_identity> processed_head;
    /// When the head is read again although a watch is open, since a watch can stop reporting
    /// without an error.
    instant next_check;
};

[[nodiscard]] head_reader make_head_reader(std::string prefix, std::uint32_t reads_per_s,
                                           instant now);

/// Starts or stops watching; a no-op when nothing changes.
void set_watching(head_reader& reader, bool should_watch, instant now, reader_actions& actions);

/// Reads the head once, as at start or after a pause.
void refresh(head_reader& reader, instant now, reader_actions& actions);

/// Sets the configuration that this node holds, so that only missing sections are fetched.
void set_local_snapshot(head_reader& reader, const snapshot_ptr& snapshot);

void on_tick(head_reader& reader, instant now, random_source& random, reader_actions& actions);

/// Returns false when the id was not issued by the reader.
[[nodiscard]] bool on_response(head_reader& reader, const kv_response& response, instant now,
                               random_source& random, reader_actions& actions);

} // namespace cyclamenhatch::store

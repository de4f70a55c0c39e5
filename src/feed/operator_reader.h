#pragma once

#include "feed/dialect.h"
#include "model/random.h"
#include "model/snapshot.h"
#include "store/kv.h"
#include "store/request_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Reads and watches the operators' configuration and orders, and builds snapshots from them. The
/// snapshot's version is the service's revision of the latest change among them, so every node that
/// has seen the same changes builds the same snapshot under the same version.
namespace cyclamenhatch::feed {

struct reader_actions {
    std::vector<store::kv_request> requests;
    /// Set when a valid configuration was read that differs from the last one.
    snapshot_ptr found;
    /// Set when a read confirmed the last configuration found.
    bool is_current = false;
    /// Set when a configuration was read that must be rejected.
    config_version rejected;
    findings rejected_for;
    /// Records of moves, when they were read.
    std::vector<move_record> records;
};

/// Plain data; one per node; the caller serialises access.
struct operator_reader {
    dialect words;
    std::uint64_t next_request = store::feed_request_base;
    /// The items below the watched prefix, by key.
    std::map<std::string, store::kv_entry> items;
    /// Revision of the last change or read that `items` shows; 0 before the first read.
    std::int64_t seen_revision = 0;
    bool has_records = false;
    bool wants_watch = false;
    bool wants_read = false;
    store::pending_request read;
    store::pending_request records_read;
    store::pending_request watch;
    /// The last snapshot built, and the revisions of the items that it was built from.
    snapshot_ptr built;
    std::int64_t built_revision = 0;
    std::int64_t rejected_revision = 0;
    store::service_state service;
    /// When everything is read again although the watch is open, since a watch can fall silent.
    instant next_check;
    /// Sections as they were last built, to keep their encoded form.
    std::map<service_id, section_ptr> sections;
};

[[nodiscard]] operator_reader make_operator_reader(dialect words, instant now);

/// Starts or stops watching; a no-op when nothing changes.
void set_watching(operator_reader& reader, bool wanted, instant now, reader_actions& actions);

/// Reads once, as at start or after a pause.
void refresh(operator_reader& reader, instant now, reader_actions& actions);

/// Call about every 100 ms.
void on_tick(operator_reader& reader, instant now, random_source& random, reader_actions& actions);

/// Returns false when the id is none of its own.
[[nodiscard]] bool on_response(operator_reader& reader, const store::kv_response& response,
                               instant now, random_source& random, reader_actions& actions);

/// The name of the move that an order at this revision stands for.
[[nodiscard]] move_id name_move(std::int64_t order_revision);

} // namespace cyclamenhatch::feed

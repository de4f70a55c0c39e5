#pragma once

#include "feed/config_format.h"
#include "feed/order_history.h"
#include "model/random.h"
#include "model/snapshot.h"
#include "store/kv.h"
#include "store/request_state.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Reads and watches the operators' configuration and orders, and builds snapshots from them. A
/// snapshot's version follows from the document's version and the key-value service's position of
/// the latest change in it, so nodes that have seen the same changes build the same snapshot with
/// the same version.
namespace cyclamenhatch::feed {

struct reader_actions {
    std::vector<store::kv_request> requests;
    /// Set when a valid configuration was read that is newer than the last one built.
    snapshot_ptr snapshot;
    /// Set when a read confirmed that the last configuration built is current.
    bool is_current = false;
    /// Values of this snapshot's document that were ignored or read with care.
    findings notices;
    /// Version of a configuration that was read and rejected; set together with its findings.
    config_version rejected_version;
    findings rejection_reasons;
    /// Set when the records of moves were read; they are in `records`.
    bool has_read_records = false;
    std::vector<move_record> records;
};

/// Plain data; one per node; the caller serialises access.
struct operator_reader {
    config_format format;
    std::uint64_t next_request = store::feed_request_base;
    /// The items below the watched prefix, by key.
    std::map<std::string, store::kv_entry> items;
    /// Revision of the last change or read included in `items`; 0 before the first read.
    std::int64_t seen_revision = 0;
    /// Whether the records of moves are to be read.
    bool wants_records = false;
    bool wants_watch = false;
    bool wants_read = false;
    store::pending_request read;
    store::pending_request records_read;
    store::pending_request watch;
    /// The last snapshot built, and the newest revision among the items that it was built from.
    snapshot_ptr built_snapshot;
    std::int64_t built_revision = 0;
    std::int64_t rejected_revision = 0;
    /// Version of the operators' document last built.
    std::uint64_t document_version = 0;
    order_history orders;
    store::service_state service;
    /// When all items are read again despite an open watch, since a watch can stop reporting
    /// changes without an error.
    instant next_check;
    /// Sections as last built; reused while unchanged, so that they aren't encoded again.
    std::map<service_id, section_ptr> sections;
};

[[nodiscard]] operator_reader make_operator_reader(config_format format, instant now);

/// Starts or stops watching. Does nothing when the state is the same already.
void set_watching(operator_reader& reader, bool is_watching, instant now, reader_actions& actions);

/// Reads all items once, as at start or after a pause of the process.
void refresh(operator_reader& reader, instant now, reader_actions& actions);

/// Reads the records of all moves once.
void request_records(operator_reader& reader);

/// Call about every 100 ms.
void on_tick(operator_reader& reader, instant now, random_source& random, reader_actions& actions);

/// Returns false when the response belongs to a request of another component.
[[nodiscard]] bool on_response(operator_reader& reader, const store::kv_response& response,
                               instant now, random_source& random, reader_actions& actions);

/// Call when a higher era of the key-value service than before is known. Everything read is
/// forgotten, unless it is the first era known; a node that watches reads again at once. An order
/// that the operators write again keeps the name of its move in `held`, the configuration in force
/// here, which may be null.
void on_new_era(operator_reader& reader, std::uint64_t era, const snapshot_ptr& held, instant now,
                reader_actions& actions);

/// Version of the configuration made from the operators' document of this version, whose latest
/// change has this position. The document's version orders first: while the service lacks the
/// newest document, what it holds is no newer version. Holds 26 bits of the document's version, 8
/// of the era and 30 of the revision.
[[nodiscard]] config_version make_version(std::uint64_t document_version,
                                          const store::store_position& latest);

/// The lowest era from `known` on that a version made by make_version may belong to.
[[nodiscard]] std::uint64_t raise_era(std::uint64_t known, config_version version);

} // namespace cyclamenhatch::feed

#pragma once

#include "feed/config_format.h"
#include "model/random.h"
#include "store/kv.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Writes the records of moves to the key-value service by compare-and-swap, so that each move gets
/// exactly one ending even if several nodes write it or answers are lost.
namespace cyclamenhatch::feed {

struct keeper_actions {
    std::vector<store::kv_request> requests;
    /// Endings now confirmed in the service, written by this node or by another one.
    std::vector<move_record> confirmed_endings;
};

/// Progress of writing the record of one service.
struct record_progress {
    /// The record to be written.
    move_record desired;
    /// Revision of the stored record as last read or written; 0 if there is none, -1 if unknown.
    std::int64_t revision = -1;
    bool is_settled = false;
    /// Id of the request in flight; 0 if none.
    std::uint64_t request = 0;
    instant sent_at;
    bool is_writing = false;
    /// The record in the last write sent; `desired` may have changed since.
    move_record last_sent;
    std::uint32_t failures = 0;
    /// When the next request may be sent.
    instant next_attempt;
};

/// Plain data; one per node; the caller serialises access.
struct record_keeper {
    config_format format;
    std::uint64_t next_request = store::record_request_base;
    std::map<service_id, record_progress> records;
};

[[nodiscard]] record_keeper make_record_keeper(config_format format);

/// Requests that a record be written. An ending replaces "running" of the same move and is never
/// replaced by it; a record of another move replaces both. While no ending was written, "taken
/// back" replaces "done"; one that may have been written is read first, and final when it is
/// stored.
void request_record(record_keeper& keeper, const move_record& desired, instant now);

/// Whether the success of the move is to be written and is not known to be stored.
[[nodiscard]] bool has_unwritten_success(const record_keeper& keeper, const service_id& service,
                                         const move_id& move);

/// Call when the key-value service has come back from an older copy of itself: all records are
/// written again, at random times within a second, unless they are still stored.
void on_new_era(record_keeper& keeper, instant now, random_source& random);

/// Call about every 100 ms.
void on_tick(record_keeper& keeper, instant now, random_source& random, keeper_actions& actions);

/// Returns false when the response belongs to a request of another component.
[[nodiscard]] bool on_response(record_keeper& keeper, const store::kv_response& response,
                               instant now, random_source& random, keeper_actions& actions);

} // namespace cyclamenhatch::feed

#pragma once

#include "feed/dialect.h"
#include "model/random.h"
#include "store/kv.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Writes the records of moves to the key-value service by compare-and-swap, so that each move gets
/// one ending, whoever writes it and however often an answer is lost.
namespace cyclamenhatch::feed {

struct keeper_actions {
    std::vector<store::kv_request> requests;
    /// Endings that are known to be recorded now, by this node or by another one.
    std::vector<move_record> recorded;
};

/// Where the record of one service stands.
struct kept_record {
    move_record wanted;
    /// Revision of the record that stands in the service, as last read; nothing before a read.
    std::int64_t revision = -1;
    bool is_settled = false;
    std::uint64_t request = 0;
    instant sent;
    bool is_writing = false;
    /// What the write under way writes; what is wanted may have changed since.
    move_record written;
    std::uint32_t failures = 0;
    instant due;
};

/// Plain data; one per node; the caller serialises access.
struct record_keeper {
    dialect words;
    std::uint64_t next_request = store::record_request_base;
    std::map<service_id, kept_record> records;
};

[[nodiscard]] record_keeper make_record_keeper(dialect words);

/// Wants a record to stand in the service. An ending replaces "running" of the same move and is
/// never replaced by it; a record of a later move replaces all.
void want_record(record_keeper& keeper, const move_record& wanted, instant now);

/// Call about every 100 ms.
void on_tick(record_keeper& keeper, instant now, random_source& random, keeper_actions& actions);

/// Returns false when the id is none of its own.
[[nodiscard]] bool on_response(record_keeper& keeper, const store::kv_response& response,
                               instant now, random_source& random, keeper_actions& actions);

} // namespace cyclamenhatch::feed

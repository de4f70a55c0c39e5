#pragma once

#include "messages_generated.h"
#include "model/log_event.h"
#include "model/random.h"
#include "model/time.h"
#include "store/kv.h"
#include "store/request_state.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Keeps in the key-value service that the upstream beside this node has announced its leave, and
/// finds that when the process starts. The members remember a leave too, but only while one of them
/// runs on.
namespace cyclamenhatch::store {

struct leave_actions {
    std::vector<kv_request> requests;
    /// Set once, when the first read has found a leave.
    std::optional<msg::upstream_record_msg> recovered;
    std::vector<log_event> logs;
};

/// Plain data, one per node. Not thread safe: the caller serialises access.
struct leave_keeper {
    std::string key;
    std::uint64_t next_request = leave_request_base;
    instant started;
    pending_request read;
    pending_request write;
    service_state service;
    /// Revision of the stored leave, 0 if there is none; unset while it is not known.
    std::optional<std::int64_t> revision;
    bool has_read = false;
    /// Whether a first read is due although the contacts have not been read.
    bool is_awaited = false;
    /// The leave to be stored, or nothing if the present run has announced none.
    std::optional<msg::upstream_record_msg> leave;
    /// Whether the service holds it, or holds none if there is none.
    bool is_stored = true;
    /// Whether the pending write is of what is to be stored now.
    bool is_write_current = false;
};

[[nodiscard]] leave_keeper make_leave_keeper(const std::string& prefix, const std::string& node,
                                             instant now);

/// Stores that this run of the upstream leaves. It is written once for each run.
void keep_leave(leave_keeper& keeper, const msg::upstream_record_msg& leaving, instant now,
                leave_actions& actions);

/// Deletes the stored leave, since another run of the upstream is present.
void forget_leave(leave_keeper& keeper, instant now, leave_actions& actions);

/// Takes the leave from a read of the contacts, if none was read before.
void on_contacts(leave_keeper& keeper, const kv_entries& read, instant now, leave_actions& actions);

/// Call when another member tells what it remembers since before this process began: nothing need
/// be read then.
void note_remembered(leave_keeper& keeper);

/// Call about every 100 ms. `is_awaited`: the node could offer its upstream if it knew whether that
/// has left.
void on_tick(leave_keeper& keeper, bool is_awaited, instant now, random_source& random,
             leave_actions& actions);

/// Returns false when the response belongs to a request of another component.
[[nodiscard]] bool on_response(leave_keeper& keeper, const kv_response& response, instant now,
                               random_source& random, leave_actions& actions);

/// Call when the service has come back from an older copy of itself, which may lack the leave.
void on_new_era(leave_keeper& keeper);

/// Whether the upstream may be offered to other nodes: it is known whether it has announced its
/// leave, or the service does not tell in time.
[[nodiscard]] bool has_read_leave(const leave_keeper& keeper, instant now);

/// What an announcement of the upstream is answered.
enum class leave_confirmation {
    /// The leave is stored, and so outlives all processes; or none was announced.
    granted,
    pending,
    /// The leave was not stored in time. The upstream must announce it again.
    refused,
};

/// Decides on an announcement that came at `announced_at` and has not been answered.
[[nodiscard]] leave_confirmation check_confirmation(const leave_keeper& keeper,
                                                    instant announced_at, instant now);

} // namespace cyclamenhatch::store

#include "store/leave_keeper.h"

#include "store/head_codec.h"
#include "store/request_budget.h"

#include <algorithm>
#include <utility>

namespace cyclamenhatch::store {
namespace {

/// A request without a response after this time counts as lost.
constexpr milliseconds response_limit{1500};
constexpr backoff_limits failure_backoff{milliseconds{100}, milliseconds{1000}};
/// How long the upstream is held back while the service does not tell whether it has left.
constexpr seconds read_patience{3};
/// How long an announcement waits until the leave is stored: the upstream expects an answer within
/// a second.
constexpr milliseconds confirmation_timeout{700};

bool is_same_run(const msg::upstream_record_msg& left, const msg::upstream_record_msg& right) {
    return left.instance == right.instance && left.started_ms == right.started_ms;
}

std::string encode(const msg::upstream_record_msg& record) {
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(msg::upstream_record::Pack(builder, &record));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<msg::upstream_record_msg> decode(const std::string& value) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(value.data());
    flatbuffers::Verifier verifier(data, value.size());
    if (!verifier.VerifyBuffer<msg::upstream_record>()) {
        return std::nullopt;
    }
    msg::upstream_record_msg record;
    flatbuffers::GetRoot<msg::upstream_record>(data)->UnPackTo(&record);
    return record;
}

pending_request send(leave_keeper& keeper, kv_operation operation, instant now,
                     leave_actions& actions) {
    const auto id = keeper.next_request++;
    actions.requests.push_back({id, std::move(operation)});
    return {id, now};
}

/// Compares the revision, so that a delayed write of an earlier run replaces no later leave.
kv_transaction make_write(const leave_keeper& keeper) {
    kv_transaction write;
    write.compares.push_back({keeper.key, *keeper.revision});
    if (keeper.leave) {
        write.puts.push_back({keeper.key, encode(*keeper.leave), 0});
    } else {
        write.deletes.push_back(keeper.key);
    }
    return write;
}

/// Sends what is due: a write, or a read where the stored revision is not known.
void send_due_request(leave_keeper& keeper, instant now, leave_actions& actions) {
    const bool is_busy = keeper.read.id != 0 || keeper.write.id != 0;
    if (is_busy || now < keeper.service.not_before) {
        return;
    }
    const bool is_first_read_due = !keeper.has_read && keeper.is_awaited;
    if (is_first_read_due || (!keeper.is_stored && !keeper.revision)) {
        keeper.read = send(keeper, kv_range{.key = keeper.key}, now, actions);
    } else if (!keeper.is_stored) {
        keeper.write = send(keeper, make_write(keeper), now, actions);
        keeper.is_write_current = true;
    }
}

void on_failure(leave_keeper& keeper, instant now, random_source& random) {
    keeper.read = {};
    keeper.write = {};
    // A write may still take effect.
    keeper.revision.reset();
    note_failure(keeper.service, failure_backoff, now, random);
}

/// `entry` is what the service holds, or null.
void note_stored(leave_keeper& keeper, const kv_entry* entry, leave_actions& actions) {
    note_success(keeper.service);
    const bool is_first = !std::exchange(keeper.has_read, true);
    keeper.revision = entry == nullptr ? 0 : entry->mod_revision;
    auto stored = entry == nullptr ? std::nullopt : decode(entry->value);
    if (entry != nullptr && !stored) {
        actions.logs.push_back({log_level::warning, "leave_refused", {{"key", keeper.key}}});
    }
    if (is_first && stored && !keeper.leave && keeper.is_stored) {
        keeper.leave = stored;
        actions.recovered = std::move(stored);
        return;
    }
    keeper.is_stored = keeper.leave ? stored && is_same_run(*stored, *keeper.leave) : !entry;
}

void on_written(leave_keeper& keeper, const kv_transaction_done& done) {
    keeper.write = {};
    note_success(keeper.service);
    if (!done.succeeded || !keeper.is_write_current) {
        keeper.revision.reset();
        return;
    }
    keeper.revision = keeper.leave ? done.revision : 0;
    keeper.is_stored = true;
}

} // namespace

leave_keeper make_leave_keeper(const std::string& prefix, const std::string& node, instant now) {
    return {.key = leave_key(prefix, node), .started = now};
}

void keep_leave(leave_keeper& keeper, const msg::upstream_record_msg& leaving, instant now,
                leave_actions& actions) {
    if (keeper.leave && is_same_run(*keeper.leave, leaving)) {
        return;
    }
    keeper.leave = leaving;
    keeper.is_stored = false;
    keeper.is_write_current = false;
    send_due_request(keeper, now, actions);
}

void forget_leave(leave_keeper& keeper, instant now, leave_actions& actions) {
    if (!keeper.leave) {
        return;
    }
    keeper.leave.reset();
    keeper.is_stored = false;
    keeper.is_write_current = false;
    send_due_request(keeper, now, actions);
}

void on_contacts(leave_keeper& keeper, const kv_entries& read, instant now,
                 leave_actions& actions) {
    if (keeper.has_read || keeper.write.id != 0) {
        return;
    }
    keeper.read = {};
    const auto entry =
        std::find_if(read.entries.begin(), read.entries.end(),
                     [&](const kv_entry& candidate) { return candidate.key == keeper.key; });
    note_stored(keeper, entry == read.entries.end() ? nullptr : &*entry, actions);
    send_due_request(keeper, now, actions);
}

void note_remembered(leave_keeper& keeper) {
    keeper.has_read = true;
}

void on_tick(leave_keeper& keeper, bool is_awaited, instant now, random_source& random,
             leave_actions& actions) {
    keeper.is_awaited = is_awaited;
    if (is_lost(keeper.read, response_limit, now) || is_lost(keeper.write, response_limit, now)) {
        on_failure(keeper, now, random);
    }
    send_due_request(keeper, now, actions);
}

bool on_response(leave_keeper& keeper, const kv_response& response, instant now,
                 random_source& random, leave_actions& actions) {
    if (!is_issued_from(leave_request_base, response.id)) {
        return false;
    }
    if (response.id != keeper.read.id && response.id != keeper.write.id) {
        return true;
    }
    if (const auto* read = std::get_if<kv_entries>(&response.outcome)) {
        keeper.read = {};
        note_stored(keeper, read->entries.empty() ? nullptr : &read->entries.front(), actions);
    } else if (const auto* done = std::get_if<kv_transaction_done>(&response.outcome)) {
        on_written(keeper, *done);
    } else {
        on_failure(keeper, now, random);
    }
    send_due_request(keeper, now, actions);
    return true;
}

void on_new_era(leave_keeper& keeper) {
    keeper.read = {};
    keeper.write = {};
    keeper.revision.reset();
    keeper.is_stored = !keeper.leave;
}

bool has_read_leave(const leave_keeper& keeper, instant now) {
    return keeper.has_read ||
           (keeper.service.failures > 0 && now - keeper.started >= read_patience);
}

leave_confirmation check_confirmation(const leave_keeper& keeper, instant announced_at,
                                      instant now) {
    if (!keeper.leave || keeper.is_stored) {
        return leave_confirmation::granted;
    }
    return now - announced_at < confirmation_timeout ? leave_confirmation::pending
                                                     : leave_confirmation::refused;
}

} // namespace cyclamenhatch::store

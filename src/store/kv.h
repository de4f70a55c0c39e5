#pragma once

#include "model/time.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

/// Requests to the platform's key-value service and its responses as plain data. The writer and the
/// readers return requests; the store client, or a fake in tests, carries them out and passes back
/// each response with the id of its request.
namespace cyclamenhatch::store {

struct kv_entry {
    std::string key;
    std::string value;
    /// Revision of the service at which the key was last written.
    std::int64_t mod_revision = 0;
};

/// Reads one key, or all keys with a prefix.
struct kv_range {
    std::string key;
    bool is_prefix = false;
    /// Whether an older state may be returned. Such a read costs the service much less.
    bool may_be_stale = false;
};

/// Holds when the key was last written at this revision; 0 requires that the key is absent.
struct kv_compare {
    std::string key;
    std::int64_t mod_revision = 0;
};

struct kv_put {
    std::string key;
    std::string value;
    /// 0 attaches no lease.
    std::int64_t lease = 0;
};

/// Carries out all its writes when every comparison holds, and none otherwise.
struct kv_transaction {
    std::vector<kv_compare> compares;
    std::vector<kv_put> puts;
    std::vector<std::string> deletes;
};

struct kv_lease_grant {
    seconds ttl{0};
};

struct kv_lease_keepalive {
    std::int64_t lease = 0;
};

struct kv_lease_revoke {
    std::int64_t lease = 0;
};

/// Reports changes of a key or prefix until it fails or is cancelled; many responses for one
/// request.
struct kv_watch {
    std::string key;
    bool is_prefix = false;
    /// First revision to report; 0 starts with the next change.
    std::int64_t from_revision = 0;
};

/// Ends the watch with this request id. There is no response.
struct kv_watch_cancel {
    std::uint64_t watch = 0;
};

using kv_operation = std::variant<kv_range, kv_transaction, kv_lease_grant, kv_lease_keepalive,
                                  kv_lease_revoke, kv_watch, kv_watch_cancel>;

/// Request ids are unique within one node's process: each issuer counts up from its own base.
constexpr std::uint64_t writer_request_base = 1ULL << 56U;
constexpr std::uint64_t reader_request_base = 2ULL << 56U;
constexpr std::uint64_t contact_request_base = 3ULL << 56U;
constexpr std::uint64_t feed_request_base = 4ULL << 56U;
constexpr std::uint64_t record_request_base = 5ULL << 56U;
constexpr std::uint64_t leave_request_base = 6ULL << 56U;
constexpr std::uint64_t probe_request_base = 7ULL << 56U;

/// Whether a request id was issued from this base.
[[nodiscard]] constexpr bool is_issued_from(std::uint64_t base, std::uint64_t id) {
    return (id & ~((1ULL << 56U) - 1)) == base;
}

struct kv_request {
    std::uint64_t id = 0;
    kv_operation operation;
};

struct kv_entries {
    std::int64_t revision = 0;
    std::vector<kv_entry> entries;
};

struct kv_transaction_done {
    std::int64_t revision = 0;
    /// False when a comparison did not hold; then nothing was written.
    bool succeeded = false;
};

struct kv_lease {
    std::int64_t lease = 0;
    /// Zero when the lease has lapsed.
    seconds ttl{0};
};

struct kv_change {
    kv_entry entry;
    bool is_delete = false;
};

struct kv_changes {
    std::int64_t revision = 0;
    std::vector<kv_change> changes;
};

enum class kv_failure_kind {
    /// The request was provably not carried out.
    not_run,
    /// It may or may not have taken effect.
    unknown,
    /// The watch ended; changes may have been missed.
    watch_closed,
    /// The watch's first revision was compacted; read again, then watch from that revision.
    compacted,
};

struct kv_failure {
    kv_failure_kind kind = kv_failure_kind::unknown;
    std::string reason;
};

struct kv_response {
    std::uint64_t id = 0;
    std::variant<kv_entries, kv_transaction_done, kv_lease, kv_changes, kv_failure> outcome;
    /// Rises each time the service comes back from an older copy of itself: it has then lost its
    /// latest writes, and gives out their revisions again. 0 when the service does not state it.
    std::uint64_t era = 0;
};

/// A point in the history of the service; eras order first, since revisions are repeated.
struct store_position {
    std::uint64_t era = 0;
    std::int64_t revision = 0;

    friend auto operator<=>(const store_position&, const store_position&) = default;
};

} // namespace cyclamenhatch::store

#pragma once

#include "messages/peer_message.h"
#include "model/random.h"
#include "model/time.h"
#include "store/kv.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Keeps this node's leased contact entry in the key-value service while it has the duty, and reads
/// the entries of others when it looks for someone to join.
namespace cyclamenhatch::store {

struct contact_actions {
    std::vector<kv_request> requests;
    std::vector<peer_address> found;
};

/// Where the own entry stands.
enum class contact_step { absent, granting, putting, held, renewing, removing };

/// Plain data; one per node; the caller serialises access.
struct contact_keeper {
    std::string prefix;
    peer_address own;
    std::string node;
    std::uint32_t lease_s = 30;
    /// Largest wait before the first look, so that a returning herd does not read at one instant.
    milliseconds first_read_spread{500};

    std::uint64_t next_request = contact_request_base;
    contact_step step = contact_step::absent;
    std::int64_t lease = 0;
    /// The request about the own entry that has not been answered, and when it was sent; 0 is none.
    std::uint64_t own_request = 0;
    instant own_sent;
    /// When the own entry is next attended to.
    instant own_due;
    std::uint32_t own_failures = 0;
    std::uint64_t read_request = 0;
    instant read_sent;
    /// When contacts are next read; nothing before the first time.
    std::optional<instant> read_due;
    std::uint32_t read_failures = 0;
    /// Entries of others that the last read showed; nothing before the first read.
    std::optional<std::size_t> others;
};

[[nodiscard]] contact_keeper make_contact_keeper(std::string prefix, std::string node,
                                                 peer_address own, std::uint32_t lease_s,
                                                 instant now);

/// `has_duty`: this node should stand in the store; `needs_contacts`: nobody has been found yet, so
/// that contacts are read often, and this node stands in the store when few others do; `audits`:
/// contacts are read now and then, to find members that lost touch.
void on_tick(contact_keeper& keeper, bool has_duty, bool needs_contacts, instant now,
             random_source& random, contact_actions& actions, bool audits = false);

[[nodiscard]] bool on_response(contact_keeper& keeper, const kv_response& response, instant now,
                               random_source& random, contact_actions& actions);

/// Removes the entry on an orderly shutdown.
void leave(contact_keeper& keeper, contact_actions& actions);

} // namespace cyclamenhatch::store

#pragma once

#include "messages/peer_message.h"
#include "model/log_event.h"
#include "model/random.h"
#include "model/time.h"
#include "store/kv.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Keeps this node's leased contact entry in the key-value service while the node has that duty,
/// and reads the entries of other nodes to find contacts for joining.
namespace cyclamenhatch::store {

struct contact_actions {
    std::vector<kv_request> requests;
    std::vector<peer_address> contacts;
    std::vector<log_event> logs;
};

/// State of the own entry.
enum class contact_step { absent, granting, putting, published, renewing, removing };

/// Plain data, one per node. Not thread safe: the caller serialises access.
struct contact_keeper {
    std::string prefix;
    peer_address own_address;
    std::string node;
    std::uint32_t lease_s = 30;
    /// Longest delay before the first read. Delays are distributed such that of any number of nodes
    /// that start together, a few read early; the others then find the entries of these and publish
    /// none.
    milliseconds first_read_spread{500};

    std::uint64_t next_request = contact_request_base;
    contact_step step = contact_step::absent;
    std::int64_t lease = 0;
    /// The pending request for the own entry, 0 when there is none, and when it was sent.
    std::uint64_t own_request = 0;
    instant own_sent;
    /// When the next request for the own entry is due.
    instant own_due;
    std::uint32_t own_failures = 0;
    std::uint64_t read_request = 0;
    instant read_sent;
    /// When contacts are next read; unset before the first tick that reads them.
    std::optional<instant> read_due;
    std::uint32_t read_failures = 0;
    /// Whether the last tick asked for contacts.
    bool needs_contacts = false;
    /// Number of other entries that the last read showed; unset before the first read.
    std::optional<std::size_t> other_entries;
    /// Entries of the last read that hold no address and were logged, by key, with their revision.
    std::map<std::string, std::int64_t> logged_odd_entries;
};

[[nodiscard]] contact_keeper make_contact_keeper(std::string prefix, std::string node,
                                                 peer_address own_address, std::uint32_t lease_s,
                                                 instant now);

/// `has_duty`: this node must publish its entry. `needs_contacts`: no other node has been found
/// yet, so contacts are read often, and the own entry is published when there are few others.
/// `audits`: contacts are read at a longer interval, to find members that became separated.
void on_tick(contact_keeper& keeper, bool has_duty, bool needs_contacts, instant now,
             random_source& random, contact_actions& actions, bool audits = false);

[[nodiscard]] bool on_response(contact_keeper& keeper, const kv_response& response, instant now,
                               random_source& random, contact_actions& actions);

/// Call when the service has come back from an older copy of itself: the lease is gone, and its
/// number may have been given to another node.
void on_new_era(contact_keeper& keeper, instant now, random_source& random);

/// Removes the entry on an orderly shutdown.
void leave(contact_keeper& keeper, contact_actions& actions);

} // namespace cyclamenhatch::store

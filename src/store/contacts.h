#pragma once

#include "messages/peer_message.h"
#include "model/random.h"
#include "model/time.h"
#include "store/kv.h"

#include <cstdint>
#include <string>
#include <vector>

/// Keeps this node's leased contact entry in the key-value service while it has the duty, and reads
/// the entries of others when it looks for someone to join.
namespace cyclamenhatch::store {

struct contact_actions {
    std::vector<kv_request> requests;
    std::vector<peer_address> found;
};

struct contact_keeper {
    std::string prefix;
    peer_address own;
    std::string node;
    std::uint32_t lease_s = 30;
};

[[nodiscard]] contact_keeper make_contact_keeper(std::string prefix, std::string node,
                                                 peer_address own, std::uint32_t lease_s,
                                                 instant now);

/// `has_duty`: this node should stand in the store; `needs_contacts`: nobody has been found yet.
void on_tick(contact_keeper& keeper, bool has_duty, bool needs_contacts, instant now,
             random_source& random, contact_actions& actions);

[[nodiscard]] bool on_response(contact_keeper& keeper, const kv_response& response, instant now,
                               random_source& random, contact_actions& actions);

/// Removes the entry on an orderly shutdown.
void leave(contact_keeper& keeper, contact_actions& actions);

} // namespace cyclamenhatch::store

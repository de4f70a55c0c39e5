#pragma once

#include "feed/config_format.h"
#include "model/snapshot.h"
#include "store/kv.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

/// Orders and their moves across eras of the key-value service. When the service comes back from an
/// older copy of itself, it lacks the latest orders until the operators write them again, under
/// other revisions, and holds orders that later ones had replaced.
namespace cyclamenhatch::feed {

/// Plain data; the caller serialises access.
struct order_history {
    /// Era of the service that all revisions here belong to.
    std::uint64_t era = 0;
    /// When the service last came back from an older copy, as far as this node knows.
    std::optional<instant> era_began;
    /// Revision of the first read since then; 0 before it.
    std::int64_t era_revision = 0;
    /// The moves that were in force before, by service.
    std::map<service_id, move> earlier_moves;
    /// Names of the moves whose orders were written again, by service and revision.
    std::map<std::pair<service_id, std::int64_t>, move_id> kept_names;
};

/// Whether the operators may not yet have written again what the service has lost.
[[nodiscard]] bool awaits_rewrites(const order_history& history, instant now);

/// Begins an era with the moves of the configuration in force here, which may be null.
void begin_era(order_history& history, std::uint64_t era, const snapshot_ptr& held, instant now);

/// Notes the revision of a read; only the first one of an era counts.
void note_read(order_history& history, std::int64_t revision);

/// The name of an order's move. An order that the operators write again keeps the move that it had,
/// and one that is within `held`, the configuration in force here, the name that it has there;
/// `held` may be null.
[[nodiscard]] move_id resolve_name(order_history& history, const move_order& order,
                                   std::int64_t revision, const snapshot_ptr& held, instant now);

/// Whether an order was in the older copy already and another one had followed it, which the copy
/// lacks.
[[nodiscard]] bool is_replaced(const order_history& history, const move_order& order,
                               std::int64_t revision);

/// The earlier moves of services that are not among `ordered`, while the operators may still write
/// their orders again. A move that was taken back must not be forgotten meanwhile.
[[nodiscard]] std::vector<move> list_unwritten_moves(const order_history& history,
                                                     const std::set<service_id>& ordered,
                                                     instant now);

/// Adds the move requested by an order to the section of its service, or a finding when there is no
/// such service.
void add_move(std::vector<section>& sections, const move_order& order, const move_id& name,
              findings& problems);

/// Name of the move for the order written at this revision of the key-value service.
/// Eras are no part of it: an order that outlives a return to an older copy keeps its revision.
[[nodiscard]] move_id name_move(std::int64_t revision);

} // namespace cyclamenhatch::feed

#pragma once

#include "control/control.h"

#include <iterator>
#include <vector>

/// Steps shared by the files of control. Each passes the output of one library to the others.
namespace cyclamenhatch::control {

template <class Item> void append(std::vector<Item>& items, std::vector<Item>&& added) {
    items.insert(items.end(), std::make_move_iterator(added.begin()),
                 std::make_move_iterator(added.end()));
}

void apply_distribution_actions(actions& out, distribution::actions&& produced);
void apply_move_actions(state& self, moves::actions&& produced, instant now, actions& out);

/// Passes a newly held configuration to every library; does nothing when it was passed before.
void apply_held_config(state& self, instant now, actions& out);

/// Offers a configuration read from the store to `distribution`; null is ignored.
void offer_config(state& self, const snapshot_ptr& config, instant now, actions& out);

/// Reports a configuration read from the store that is invalid.
void reject_config(state& self, config_version version, const findings& problems, instant now,
                   actions& out);

/// Notes the era of the store. In an era higher than any before, what this node has written is
/// written again.
void note_store_era(state& self, std::uint64_t era, instant now, actions& out);

void tick_quarantine(state& self, instant now, actions& out);
void pass_to_quarantine(state& self, const incoming& received, instant now, actions& out);

/// Logs the data centres that a newly held configuration evacuates or takes back. Call it before
/// the configuration counts as applied.
void note_evacuations(state& self, instant now, actions& out);

void tick_allowances(state& self, instant now, actions& out);
void pass_to_allowances(state& self, const incoming& received, instant now, actions& out);
/// The live nodes, this one included.
[[nodiscard]] std::vector<call::peer> list_peers(const state& self);

/// Proposes the ending of a move.
void submit_close(state& self, const store::move_close& close, instant now, actions& out);

} // namespace cyclamenhatch::control

#pragma once

#include "control/control.h"

#include <iterator>
#include <vector>

/// Steps that the parts of control share. Each carries on what one library wants in the others.
namespace cyclamenhatch::control {

template <class Item> void append(std::vector<Item>& to, std::vector<Item>&& from) {
    to.insert(to.end(), std::make_move_iterator(from.begin()), std::make_move_iterator(from.end()));
}

void take(actions& wanted, distribution::actions&& from);
void take_moves(state& self, moves::actions&& from, instant now, actions& wanted);

/// Tells every library of a configuration that is newly in force here.
void tell_of_config(state& self, instant now, actions& wanted);

/// Offers a configuration that was read from the store; null is none.
void offer_config(state& self, const snapshot_ptr& found, instant now, actions& wanted);

/// Reports a configuration that was read from the store and cannot be taken.
void reject_config(state& self, config_version version, const findings& found, instant now,
                   actions& wanted);

/// Proposes the ending of a move.
void submit_close(state& self, const store::move_close& close, instant now, actions& wanted);

} // namespace cyclamenhatch::control

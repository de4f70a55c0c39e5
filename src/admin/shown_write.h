#pragma once

#include "document/schema_reader.h"
#include "model/snapshot.h"
#include "store/change.h"

#include <variant>

namespace cyclamenhatch::admin {

/// The write that a resource set asks for, which may hold resources as the API shows them. Each
/// revision becomes a precondition. A move that equals the one held is left out, so that an ended
/// one does not start again; its precondition stays. Refused as a conflict, naming both revisions,
/// when a move shows an attempt or an ending of another revision, and as invalid when such a move
/// was edited.
[[nodiscard]] std::variant<store::resource_write, store::change_refused>
settle_write(resource_set from, const snapshot& config);

} // namespace cyclamenhatch::admin

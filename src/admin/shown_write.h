#pragma once

#include "document/schema_reader.h"
#include "model/snapshot.h"
#include "store/change.h"

#include <variant>

namespace cyclamenhatch::admin {

/// Converts a resource set, which may hold resources as the API shows them, to a write. Each
/// revision becomes a precondition. A move that equals the current one is left out, so that an
/// ended move does not start again; its precondition stays. A changed move that shows an attempt or
/// an ending is refused: as a conflict, naming both revisions, when its revision is not the current
/// one, else as invalid.
[[nodiscard]] std::variant<store::resource_write, store::change_refused>
to_resource_write(resource_set resources, const snapshot& config);

} // namespace cyclamenhatch::admin

#pragma once

#include "messages_generated.h"
#include "model/snapshot.h"

#include <memory>

/// Patches of single sections, which hold only the routes and workspaces that differ.
namespace cyclamenhatch::distribution {

/// The change from one section of a service to another. Null when the whole section must be sent
/// instead: it is small, the patch is not smaller, or the patch does not reproduce `target`.
[[nodiscard]] std::unique_ptr<msg::section_patch_msg> make_patch(const stored_section& base,
                                                                 const stored_section& target);

/// Applies a patch to `base`. Null when the result does not have the stated digest.
[[nodiscard]] section_ptr apply_patch(const stored_section& base,
                                      const msg::section_patch_msg& patch);

} // namespace cyclamenhatch::distribution

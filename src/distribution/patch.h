#pragma once

#include "messages_generated.h"
#include "model/snapshot.h"

#include <memory>

/// Changes of single sections: what a section becomes, with only those of its routes that differ.
namespace cyclamenhatch::distribution {

/// The change from one section of a service to another. Null when the whole section is to be sent
/// in its place: it is small, the patch would hardly be smaller, or would not lead to its bytes.
[[nodiscard]] std::unique_ptr<msg::section_patch_msg> make_patch(const stored_section& from,
                                                                 const stored_section& to);

/// The section that a patch makes of `base`; null when it does not lead to the stated digest.
[[nodiscard]] section_ptr apply_patch(const stored_section& base,
                                      const msg::section_patch_msg& patch);

} // namespace cyclamenhatch::distribution

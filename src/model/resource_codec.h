#pragma once

#include "model/finding.h"
#include "model/resources.h"
#include "resources_generated.h"

#include <string>
#include <string_view>

/// Converts resources between their strong types and their stored form.
namespace cyclamenhatch {

[[nodiscard]] msg::service_resource_msg to_message(const service& from);
[[nodiscard]] msg::route_resource_msg to_message(const route& from);
[[nodiscard]] msg::upstream_version_resource_msg to_message(const upstream_version& from);
[[nodiscard]] msg::move_resource_msg to_message(const move& from);

[[nodiscard]] service from_message(const msg::service_resource_msg& from);
[[nodiscard]] route from_message(const msg::route_resource_msg& from);
[[nodiscard]] upstream_version from_message(const msg::upstream_version_resource_msg& from);

/// Findings, with paths relative to the move, when a time is not RFC 3339.
[[nodiscard]] result<move> from_message(const msg::move_resource_msg& from);

/// The stored form of a section. Equal sections give equal bytes.
[[nodiscard]] std::string encode_section(const section& from);

/// Findings when the bytes are not a well-formed section.
[[nodiscard]] result<section> decode_section(std::string_view bytes);

} // namespace cyclamenhatch

#pragma once

#include "model/finding.h"
#include "model/resources.h"
#include "resources_generated.h"

#include <string>
#include <string_view>

/// Converts resources between the types of resources.h and their stored form.
namespace cyclamenhatch {

[[nodiscard]] msg::service_resource_msg to_message(const service& resource);
[[nodiscard]] msg::route_resource_msg to_message(const route& resource);
[[nodiscard]] msg::upstream_version_resource_msg to_message(const upstream_version& resource);
[[nodiscard]] msg::move_resource_msg to_message(const move& resource);
[[nodiscard]] msg::workspace_resource_msg to_message(const workspace& resource);

[[nodiscard]] service from_message(const msg::service_resource_msg& message);
[[nodiscard]] route from_message(const msg::route_resource_msg& message);
[[nodiscard]] upstream_version from_message(const msg::upstream_version_resource_msg& message);
[[nodiscard]] workspace from_message(const msg::workspace_resource_msg& message);

/// Returns findings, with paths relative to the move, when a time is not RFC 3339.
[[nodiscard]] result<move> from_message(const msg::move_resource_msg& message);

/// The stored form of a section. Equal sections give equal bytes.
[[nodiscard]] std::string encode_section(const section& content);

/// Returns findings when the bytes are not a well-formed section.
[[nodiscard]] result<section> decode_section(std::string_view bytes);

} // namespace cyclamenhatch

#pragma once

#include "http_types.h"
#include "store/etcd_json.h"
#include "store/kv.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// Server side of the JSON gateway of etcd version 3, limited to the calls that the product uses.
namespace cyclamenhatch::standin {

/// Decodes the operation of a POST; std::nullopt when the path is unknown or the body is not valid.
[[nodiscard]] std::optional<store::kv_operation> decode_operation(std::string_view path,
                                                                  std::string_view body);

/// Encodes the reply to any operation but a watch.
[[nodiscard]] http_reply encode_answer(const store::kv_outcome& outcome, std::int64_t revision,
                                       bool is_keepalive);

/// Encodes the line that confirms a new watch.
[[nodiscard]] std::string encode_watch_created(std::int64_t revision);
/// Encodes one line of a watch: its changes or its cancellation.
[[nodiscard]] std::string encode_watch_line(const store::kv_outcome& outcome,
                                            std::int64_t revision);

} // namespace cyclamenhatch::standin

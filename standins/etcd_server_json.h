#pragma once

#include "http_types.h"
#include "store/etcd_json.h"
#include "store/kv.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

/// The server's side of the JSON gateway of etcd version 3, as far as the product uses it.
namespace cyclamenhatch::standin {

/// The operation that a POST asks for; nothing when the path or the body is not understood.
[[nodiscard]] std::optional<store::kv_operation> decode_call(std::string_view path,
                                                             std::string_view body);

/// The answer to anything but a watch.
[[nodiscard]] http_reply encode_answer(const store::kv_outcome& outcome, std::int64_t revision,
                                       bool is_keepalive);

/// The line that confirms a new watch.
[[nodiscard]] std::string encode_watch_created(std::int64_t revision);
/// One line with changes, or with the end of the watch.
[[nodiscard]] std::string encode_watch_line(const store::kv_outcome& outcome,
                                            std::int64_t revision);

} // namespace cyclamenhatch::standin

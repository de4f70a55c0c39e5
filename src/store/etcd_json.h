#pragma once

#include "store/kv.h"

#include <string>
#include <string_view>

/// Translates requests and responses to and from the JSON gateway of etcd version 3. Pure.
namespace cyclamenhatch::store {

using kv_outcome = decltype(kv_response::outcome);

/// One HTTP POST.
struct etcd_call {
    std::string path;
    std::string body;
};

/// Precondition: the operation is not a watch cancellation, which has no call of its own.
[[nodiscard]] etcd_call encode_call(const kv_operation& operation);

/// Decodes the body of a 200 answer to any operation but a watch. A malformed body gives an unknown
/// outcome.
[[nodiscard]] kv_outcome decode_answer(const kv_operation& operation, std::string_view body);

/// Decodes one line of a watch's stream. A line that confirms the watch or reports progress gives
/// an empty set of changes.
[[nodiscard]] kv_outcome decode_watch_line(std::string_view line);

/// The exclusive end of the range of all keys with a prefix, as the gateway's range_end.
[[nodiscard]] std::string find_prefix_end(std::string prefix);

} // namespace cyclamenhatch::store

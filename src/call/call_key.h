#pragma once

#include "call/body_stream.h"
#include "messages_generated.h"
#include "model/ids.h"

#include <memory>

/// Converts between a call's id and its form in messages.
namespace cyclamenhatch::call {

[[nodiscard]] std::unique_ptr<msg::call_key> make_key(const call_id& call);

/// The id in a message; the empty id, which no call has, when `key` is null.
[[nodiscard]] call_id from_key(const msg::call_key* key);

/// Makes the message that carries a piece of a call's request or answer.
[[nodiscard]] msg::call_data_msg make_data(const call_id& call, const sent_piece& piece);

} // namespace cyclamenhatch::call

#pragma once

#include "call/body_stream.h"
#include "messages_generated.h"
#include "model/ids.h"
#include "model/request_digest.h"

#include <memory>

/// Converts between a call's id and its form in messages.
namespace cyclamenhatch::call {

[[nodiscard]] std::unique_ptr<msg::call_key> make_key(const call_id& call);

/// The id in a message; the empty id, which no call has, when `key` is null.
[[nodiscard]] call_id from_key(const msg::call_key* key);

[[nodiscard]] std::unique_ptr<msg::request_key> make_request_key(const request_digest& digest);

/// The digest in a message; the empty one, which is no request's, when `key` is null.
[[nodiscard]] request_digest from_request_key(const msg::request_key* key);

/// Makes the message that carries a piece of a call's request or answer.
[[nodiscard]] msg::call_data_msg make_data(const call_id& call, const sent_piece& piece);

} // namespace cyclamenhatch::call

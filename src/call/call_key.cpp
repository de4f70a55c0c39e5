#include "call/call_key.h"

namespace cyclamenhatch::call {

std::unique_ptr<msg::call_key> make_key(const call_id& call) {
    return std::make_unique<msg::call_key>(call.high, call.low);
}

call_id from_key(const msg::call_key* key) {
    return key == nullptr ? call_id{} : call_id{key->high(), key->low()};
}

std::unique_ptr<msg::request_key> make_request_key(const request_digest& digest) {
    return std::make_unique<msg::request_key>(digest.high, digest.low);
}

request_digest from_request_key(const msg::request_key* key) {
    return key == nullptr ? request_digest{} : request_digest{key->high(), key->low()};
}

msg::call_data_msg make_data(const call_id& call, const sent_piece& piece) {
    msg::call_data_msg data;
    data.call = make_key(call);
    data.offset = piece.offset;
    data.body = piece.bytes;
    data.last = piece.is_last;
    return data;
}

} // namespace cyclamenhatch::call

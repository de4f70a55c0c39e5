#include "edge/entry_quarantine.h"

#include "call/admission.h"
#include "call/held_request.h"

namespace cyclamenhatch::edge {

request_digest compute_digest_of(const header_names& names, const request_head& head,
                                 const body_piece& first) {
    const std::string_view body(reinterpret_cast<const char*>(first.bytes.data()),
                                first.bytes.size());
    return compute_request_digest({.method = head.method,
                                   .host = host_of(head.headers),
                                   .target = head.target,
                                   .owner = find_header(head.headers, names.owner),
                                   .body = body,
                                   .stated_length = find_header(head.headers, "content-length")});
}

std::optional<local_answer> find_hold_answer(const header_names& names,
                                             const call::routing_view& view,
                                             const request_digest& digest, instant now) {
    const auto held_for = call::find_hold(view.quarantine, digest, now);
    if (!held_for) {
        return std::nullopt;
    }
    return make_failure(names, call::make_held_refusal(*held_for));
}

} // namespace cyclamenhatch::edge

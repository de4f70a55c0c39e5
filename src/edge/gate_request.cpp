#include "edge/gate_request.h"

#include "call/call_key.h"

namespace cyclamenhatch::edge {

call::gate_request read_open(const msg::call_open_msg& message, const node_id& sender,
                             std::optional<milliseconds> held_for, microseconds link_delay,
                             instant now) {
    const auto sent_at = now - link_delay;
    return {.call = call::from_key(message.call.get()),
            .entry_node = sender,
            .is_reattach = message.reattach,
            .service = service_id(message.service),
            .version = version_id(message.version),
            .owner = owner_id(message.owner),
            .deadline = sent_at + microseconds(message.deadline_us),
            .link_delay = link_delay,
            .gate_instance = message.gate_instance,
            .objective = message.objective_us == 0
                             ? std::nullopt
                             : std::optional(sent_at + microseconds(message.objective_us)),
            .priority = message.priority,
            .no_wait = message.no_wait,
            .route = route_id(message.route),
            .known_calls_per_s = message.known_calls_per_s > 0
                                     ? std::optional(message.known_calls_per_s)
                                     : std::nullopt,
            .held_for = held_for};
}

} // namespace cyclamenhatch::edge

#include "edge/gate_log.h"

#include <string>

namespace cyclamenhatch::edge {
namespace {

void log_fault(const gate_side& side, const std::string& request, const upstream_fault& fault) {
    if (side.log) {
        side.log({log_level::warning,
                  "upstream_bytes_refused",
                  {{"request", request},
                   {"service", side.gate.service.value},
                   {"reason", fault.reason},
                   {"bytes", std::to_string(fault.bytes_read)}}});
    }
}

} // namespace

void log_faults(const gate_side& side, const gate_flow_ptr& flow, const answer_match& match,
                upstream_events& events) {
    flow->request_id = match.value;
    events.on_fault = [&side, id = match.value](const upstream_fault& fault) {
        log_fault(side, id, fault);
    };
}

void log_cut(const gate_side& side, const gate_flow& flow) {
    const auto bytes = bytes_before_head(flow.exchange);
    if (bytes > 0) {
        log_fault(side, flow.request_id, {"cut before the answer's head was whole", bytes});
    }
}

} // namespace cyclamenhatch::edge

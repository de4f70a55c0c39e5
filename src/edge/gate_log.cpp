#include "edge/gate_log.h"

#include "model/handler_guard.h"

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

std::string rate_text(std::optional<double> calls_per_s) {
    return calls_per_s ? std::to_string(*calls_per_s) : "none";
}

} // namespace

void log_rate(const gate_side& side, const std::string& instance, std::optional<double> before,
              std::optional<double> after, const std::string& source) {
    if (side.log) {
        side.log({log_level::info,
                  "upstream_rate_changed",
                  {{"instance", instance},
                   {"calls_per_s", rate_text(after)},
                   {"previous", rate_text(before)},
                   {"source", source}}});
    }
}

void log_invalid_rate(const gate_side& side, const gate_flow& flow) {
    if (side.log) {
        side.log({log_level::warning, "upstream_rate_invalid", {{"request", flow.request_id}}});
    }
}

void log_invalid_load(const gate_side& side, const std::string& instance,
                      const std::string& request) {
    if (side.log) {
        side.log({log_level::warning,
                  "upstream_load_invalid",
                  {{"instance", instance}, {"request", request}}});
    }
}

void log_leaving(const gate_side& side, const std::string& instance, const std::string& request) {
    if (side.log) {
        side.log(
            {log_level::info, "upstream_leaving", {{"instance", instance}, {"request", request}}});
    }
}

void log_faults(const gate_side& side, const gate_flow_ptr& flow, const answer_match& match,
                upstream_events& events) {
    flow->request_id = match.value;
    events.on_fault = [&side, id = match.value](const upstream_fault& fault) {
        log_fault(side, id, fault);
    };
    events.on_exception = [&side, id = match.value](const std::string& reason) {
        if (side.log) {
            side.log(make_handler_failed("upstream_exchange", id, reason));
        }
    };
}

void log_dropped(const gate_side& side, const dropped_answer& answer) {
    if (side.log) {
        const auto& body = answer.flow->download;
        side.log({log_level::warning,
                  "answer_dropped",
                  {{"request", answer.flow->request_id},
                   {"entry", answer.flow->entry.value},
                   {"cause", answer.cause},
                   {"bytes_sent", std::to_string(body.offset)},
                   {"bytes_arrived", std::to_string(body.arrived)},
                   {"bytes_taken", std::to_string(body.taken)}}});
    }
}

void log_lost(const gate_side& side, const node_id& entry, std::uint64_t received) {
    if (side.log) {
        side.log({log_level::warning,
                  "answer_lost",
                  {{"entry", entry.value},
                   {"service", side.gate.service.value},
                   {"bytes_received", std::to_string(received)}}});
    }
}

void log_mismatch(const gate_side& side, const gate_flow& flow, std::uint64_t bytes) {
    if (side.log) {
        side.log({log_level::warning,
                  "answer_length_mismatch",
                  {{"request", flow.request_id},
                   {"service", flow.request.service},
                   {"place", "gate"},
                   {"stated", stated_text(flow.length)},
                   {"passed", std::to_string(bytes)}}});
    }
}

void log_late_dispatch(const gate_side& side, const gate_flow& flow, microseconds time_left) {
    if (side.log) {
        side.log({log_level::warning,
                  "call_dispatched_late",
                  {{"request", flow.request_id},
                   {"entry", flow.entry.value},
                   {"link_delay_ms", ms_text(flow.link_delay)},
                   {"queue_ms", ms_text(flow.queue_time)},
                   {"left_ms", ms_text(time_left)}}});
    }
}

void log_cancelled_run(const gate_side& side, const gate_flow& flow, microseconds delay,
                       instant now) {
    if (side.log) {
        side.log({log_level::info,
                  "run_cancelled",
                  {{"request", flow.request_id},
                   {"entry", flow.entry.value},
                   {"link_delay_ms", ms_text(flow.link_delay)},
                   {"queue_ms", ms_text(flow.queue_time)},
                   {"ran_ms", ms_text(now - flow.started_at)},
                   {"cancel_delay_ms", ms_text(delay)}}});
    }
}

void log_ignored_cancel(const gate_side& side, const call_id& call) {
    if (side.log) {
        side.log({log_level::warning,
                  "cancel_ignored",
                  {{"call", std::to_string(call.high) + "-" + std::to_string(call.low)}}});
    }
}

void log_cut(const gate_side& side, const gate_flow& flow) {
    const auto bytes = bytes_before_head(flow.exchange);
    if (bytes > 0) {
        log_fault(side, flow.request_id, {"cut before the answer's head was whole", bytes});
    }
}

} // namespace cyclamenhatch::edge

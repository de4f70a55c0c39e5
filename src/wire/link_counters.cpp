#include "wire/link_counters.h"

namespace cyclamenhatch::wire {
namespace {

constexpr std::array<std::string_view, close_cause_count> cause_names{
    "silent",      "replaced",     "spare",        "idle",    "unconnected", "dial_failed",
    "peer_closed", "write_failed", "broken_frame", "refused", "stopping",    "handler_failed"};

constexpr std::array<std::string_view, traffic_kind_count> traffic_names{"member", "config", "move",
                                                                         "call", "link"};

} // namespace

std::string_view cause_name(std::size_t cause) {
    return cause_names.at(cause);
}

std::string_view traffic_name(std::size_t kind) {
    return traffic_names.at(kind);
}

traffic_kind kind_of(const peer_message& message) {
    if (is_call_message(message)) {
        return traffic_kind::call;
    }
    if (std::holds_alternative<msg::hello_msg>(message) ||
        std::holds_alternative<msg::ping_msg>(message) ||
        std::holds_alternative<msg::pong_msg>(message)) {
        return traffic_kind::link;
    }
    if (std::holds_alternative<msg::probe_msg>(message) ||
        std::holds_alternative<msg::probe_ack_msg>(message) ||
        std::holds_alternative<msg::member_sync_msg>(message) ||
        std::holds_alternative<msg::member_page_msg>(message) ||
        // As a change of a member, news of a crash goes to random members.
        std::holds_alternative<msg::quarantine_state_msg>(message)) {
        return traffic_kind::member;
    }
    if (std::holds_alternative<msg::move_evidence_msg>(message) ||
        std::holds_alternative<msg::move_state_msg>(message)) {
        return traffic_kind::move;
    }
    // They follow the calls in number.
    if (std::holds_alternative<msg::allowance_request_msg>(message) ||
        std::holds_alternative<msg::allowance_loan_msg>(message)) {
        return traffic_kind::call;
    }
    return traffic_kind::config;
}

} // namespace cyclamenhatch::wire

#pragma once

#include "messages_generated.h"
#include "model/ids.h"
#include "model/time.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamenhatch {

/// All messages between nodes. Decision code consumes and produces these; only the link layer
/// handles their encoded form.
using peer_message =
    std::variant<msg::hello_msg, msg::ping_msg, msg::pong_msg, msg::probe_msg, msg::probe_ack_msg,
                 msg::member_sync_msg, msg::member_page_msg, msg::config_notice_msg,
                 msg::config_delta_msg, msg::config_pull_msg, msg::config_snapshot_msg,
                 msg::in_force_report_msg, msg::in_force_summary_msg, msg::call_open_msg,
                 msg::call_data_msg, msg::call_credit_msg, msg::call_answer_msg,
                 msg::call_refused_msg, msg::call_cancel_msg, msg::move_evidence_msg,
                 msg::move_state_msg, msg::quarantine_state_msg, msg::allowance_request_msg,
                 msg::allowance_loan_msg>;

/// Address on which a node accepts links.
struct peer_address {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

/// A message to be sent. Delivery is not guaranteed; a sender that needs an answer must retry.
struct outgoing {
    /// Empty when only the address is known, for example of a contact from the settings.
    node_id to;
    peer_address address;
    peer_message message;
};

/// A message received on a link, with its sender.
struct incoming {
    node_id from;
    peer_message message;
    /// When it was encoded, by the sender's time_since_boot; 0 if unknown.
    microseconds sent{0};
    /// How much longer than the fastest recent message of its link it took from its encoding to its
    /// handling; 0 if unknown.
    microseconds delay{0};
};

/// Whether a message belongs to a call; all other messages are control traffic.
[[nodiscard]] bool is_call_message(const peer_message& message);

/// Name of the message's kind, for logs and counters.
[[nodiscard]] std::string_view kind_name(const peer_message& message);

} // namespace cyclamenhatch

#pragma once

#include "messages_generated.h"
#include "model/ids.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace cyclamenhatch {

/// Everything one node may tell another. Decisions consume and produce these; only the link layer
/// knows their encoded form.
using peer_message =
    std::variant<msg::hello_msg, msg::ping_msg, msg::pong_msg, msg::probe_msg, msg::probe_ack_msg,
                 msg::member_sync_msg, msg::member_page_msg, msg::config_notice_msg,
                 msg::config_delta_msg, msg::config_pull_msg, msg::config_snapshot_msg,
                 msg::in_force_report_msg, msg::in_force_summary_msg, msg::call_open_msg,
                 msg::call_data_msg, msg::call_credit_msg, msg::call_answer_msg,
                 msg::call_refused_msg, msg::call_cancel_msg, msg::move_evidence_msg,
                 msg::move_state_msg>;

/// Where a node's links are reached.
struct peer_address {
    std::string ip;
    std::uint16_t port = 0;

    friend auto operator<=>(const peer_address&, const peer_address&) = default;
};

/// A message that a decision wants sent. Delivery is not promised; who needs an answer asks again.
struct outgoing {
    /// Empty when only the address is known, as for a contact from the settings.
    node_id to;
    peer_address address;
    peer_message message;
};

/// A message with its sender, as it came off a link.
struct incoming {
    node_id from;
    peer_message message;
};

/// Whether a message belongs to a call; all others are control traffic.
[[nodiscard]] bool is_call_message(const peer_message& message);

/// The name of a message's kind, for logs and counters.
[[nodiscard]] std::string_view kind_name(const peer_message& message);

} // namespace cyclamenhatch

#pragma once

#include "messages/peer_message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// Counters of the traffic and the closing of a node's links.
namespace cyclamenhatch::wire {

/// Why a link was closed.
enum class close_cause {
    silent,         ///< A ping was not answered for link.dead_timeout_ms.
    replaced,       ///< The peer answered on a new link while this one was silent.
    spare,          ///< A spare whose tested link showed signs of life again.
    idle,           ///< Unused for link.idle_timeout_s.
    unconnected,    ///< No hello arrived within link.connect_timeout_ms.
    dial_failed,    ///< The connection was refused or could not be opened.
    peer_closed,    ///< The peer closed or reset the connection.
    write_failed,   ///< Writing to the connection failed.
    broken_frame,   ///< The received bytes were not a valid message.
    refused,        ///< Wrong cluster key, other protocol version, or first message not a hello.
    stopping,       ///< This node shuts down.
    handler_failed, ///< An exception while the link or a message on it was handled.
};
constexpr std::size_t close_cause_count = 12;

/// The components that send messages.
enum class traffic_kind { member, config, move, call, link };
constexpr std::size_t traffic_kind_count = 5;

/// Name of a close_cause in logs, metrics and the dump.
[[nodiscard]] std::string_view cause_name(std::size_t cause);

/// Name of a traffic_kind in metrics and the dump.
[[nodiscard]] std::string_view traffic_name(std::size_t kind);

/// The component that a message belongs to.
[[nodiscard]] traffic_kind kind_of(const peer_message& message);

/// Counts since the pool was opened.
struct link_counters {
    std::uint64_t control_bytes_sent = 0;
    std::uint64_t control_bytes_received = 0;
    std::uint64_t call_bytes_sent = 0;
    std::uint64_t call_bytes_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t messages_undelivered = 0;
    /// Calls cancelled before the message that opens them was written.
    std::uint64_t calls_withdrawn = 0;
    std::uint64_t links_opened = 0;
    std::uint64_t links_silent = 0;
    std::uint64_t links_refused = 0;
    std::uint64_t frames_broken = 0;
    /// Bytes queued for sending, by traffic_kind.
    std::array<std::uint64_t, traffic_kind_count> bytes_sent{};
    /// Closed links, including those that were never established, by close_cause.
    std::array<std::uint64_t, close_cause_count> links_closed{};
};

} // namespace cyclamenhatch::wire

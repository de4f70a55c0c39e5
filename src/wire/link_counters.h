#pragma once

#include "messages/peer_message.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

/// What the links of a node have carried, and how they ended.
namespace cyclamenhatch::wire {

/// Why a link was closed.
enum class close_cause {
    silent,       ///< A ping stayed without an answer for link.dead_timeout_ms.
    replaced,     ///< The peer answered on a new link while this one stayed silent.
    spare,        ///< Dialled for a link that was heard again.
    idle,         ///< Nobody used it for link.idle_timeout_s.
    unconnected,  ///< No hello came within link.connect_timeout_ms.
    dial_failed,  ///< The connection was refused or could not be made.
    peer_closed,  ///< The peer ended the connection or reset it.
    write_failed, ///< The connection did not take what was written.
    broken_frame, ///< Bytes were no valid message.
    refused,      ///< Wrong cluster key, other protocol, or no hello first.
    stopping,     ///< This node ends.
};
constexpr std::size_t close_cause_count = 11;

/// The parts of the product that send messages.
enum class traffic_kind { member, config, move, call, link };
constexpr std::size_t traffic_kind_count = 5;

/// The name of a cause in logs, metrics and the dump.
[[nodiscard]] std::string_view cause_name(std::size_t cause);

/// The name of a kind in metrics and the dump.
[[nodiscard]] std::string_view traffic_name(std::size_t kind);

/// Which part a message belongs to.
[[nodiscard]] traffic_kind kind_of(const peer_message& message);

/// Counts since the start of the pool.
struct link_counters {
    std::uint64_t control_bytes_sent = 0;
    std::uint64_t control_bytes_received = 0;
    std::uint64_t call_bytes_sent = 0;
    std::uint64_t call_bytes_received = 0;
    std::uint64_t messages_sent = 0;
    std::uint64_t messages_received = 0;
    std::uint64_t messages_undelivered = 0;
    std::uint64_t links_opened = 0;
    std::uint64_t links_silent = 0;
    std::uint64_t links_refused = 0;
    std::uint64_t frames_broken = 0;
    /// Bytes that were queued for links, by traffic_kind.
    std::array<std::uint64_t, traffic_kind_count> bytes_sent{};
    /// Links that ended, those that never stood included, by close_cause.
    std::array<std::uint64_t, close_cause_count> links_closed{};
};

} // namespace cyclamenhatch::wire

#pragma once

#include "membership/membership.h"
#include "messages/peer_message.h"
#include "model/ids.h"
#include "model/time.h"
#include "move/attempt_key.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

/// Permits and vetoes as monotone values: merging the same set in any order gives the same result,
/// so that concurrent controllers, lost and repeated messages are harmless.
namespace cyclamenhatch::moves {

/// The share in force from a stage on. Stages only count up; the share of a later stage may be
/// lower, as when the controller steps back to compare the versions side by side.
struct permit {
    std::uint32_t stage = 0;
    std::uint32_t permille = 0;
    instant at;

    friend bool operator==(const permit&, const permit&) = default;
};

/// Whether `left` supersedes `right`: the higher stage; within one stage the smaller share, then
/// the earlier time.
[[nodiscard]] bool supersedes(const permit& left, const permit& right);

struct veto {
    msg::veto_reason reason = msg::veto_reason::errors;
    route_id route;
    std::string detail;
    node_id raised_by;
    instant at;
    /// In force by itself: an operator's veto, or one in a fleet too small for a second opinion.
    /// Otherwise the vetoes of two nodes are needed.
    bool is_confirmed = false;

    friend bool operator==(const veto&, const veto&) = default;
};

/// Permits and vetoes known of one attempt.
struct attempt_record {
    std::optional<permit> granted;
    /// By the node that raised it.
    std::map<node_id, veto> vetoes;
    /// When the move began. A node that started during the move learns it from others or from the
    /// move's record.
    std::optional<instant> begun;
    /// One node's veto is enough: there is no time to wait for a second opinion.
    bool one_raiser_suffices = false;
    /// Number of rounds in which the latest change was sent.
    std::uint32_t times_sent = 0;
};

/// Returns whether anything changed.
bool merge(attempt_record& self, const permit& other);

/// Keeps the earliest veto of each node, and of at most `max_raisers` nodes. Returns whether
/// anything changed.
bool merge(attempt_record& self, const veto& other);
inline constexpr std::size_t max_raisers = 8;

/// The veto that takes the move back, or null: the earliest confirmed one, else the earliest once
/// enough nodes have raised one. It overrides every permit but that of a recorded success.
[[nodiscard]] const veto* find_veto(const attempt_record& self);

/// Whether the move is known to be recorded as done: final, whatever vetoes are raised.
[[nodiscard]] bool is_recorded_done(const attempt_record& self);

/// Whether the ending is known to be recorded, so that nothing about the move can change any more.
[[nodiscard]] bool has_recorded_ending(const attempt_record& self);

/// The stage of the permit made from a record of success; above any stage of a controller.
inline constexpr std::uint32_t recorded_stage = 1'000'000;

[[nodiscard]] msg::move_permit_msg to_message(const attempt_key& key, const permit& granted);
[[nodiscard]] msg::move_veto_msg to_message(const attempt_key& key, const veto& raised);
[[nodiscard]] permit from_message(const msg::move_permit_msg& message);
/// Confirmed only if its reason is `recorded`; the receiver checks which node raised it.
[[nodiscard]] veto from_message(const msg::move_veto_msg& message);

} // namespace cyclamenhatch::moves

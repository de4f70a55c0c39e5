#include "move/permits.h"

#include <algorithm>
#include <tuple>

namespace cyclamenhatch::moves {

namespace {

/// Sort key of vetoes, the same on every node.
auto rank(const veto& raised) {
    return std::tie(raised.at, raised.raised_by, raised.reason, raised.route, raised.detail);
}

bool has_recorded_success(const attempt_record& self) {
    return self.granted && self.granted->stage >= recorded_stage;
}

bool is_recorded_taken_back(const attempt_record& self) {
    return std::any_of(self.vetoes.begin(), self.vetoes.end(), [](const auto& entry) {
        return entry.second.reason == msg::veto_reason::recorded;
    });
}

} // namespace

bool supersedes(const permit& left, const permit& right) {
    if (left.stage != right.stage) {
        return left.stage > right.stage;
    }
    return std::tie(left.permille, left.at) < std::tie(right.permille, right.at);
}

bool merge(attempt_record& self, const permit& other) {
    if (self.granted && !supersedes(other, *self.granted)) {
        return false;
    }
    self.granted = other;
    return true;
}

bool merge(attempt_record& self, const veto& other) {
    const auto it = self.vetoes.find(other.raised_by);
    if (it == self.vetoes.end()) {
        self.vetoes.emplace(other.raised_by, other);
        if (self.vetoes.size() <= max_raisers) {
            return true;
        }
        // Drops the last by name, so that the result does not depend on the order of arrival.
        const auto last = std::prev(self.vetoes.end());
        const bool is_other = last->first == other.raised_by;
        self.vetoes.erase(last);
        return !is_other;
    }
    veto& existing = it->second;
    const bool confirms = other.is_confirmed && !existing.is_confirmed;
    const bool is_confirmed = existing.is_confirmed || other.is_confirmed;
    const bool is_earlier = rank(other) < rank(existing);
    if (is_earlier) {
        existing = other;
    }
    existing.is_confirmed = is_confirmed;
    return confirms || is_earlier;
}

const veto* find_veto(const attempt_record& self) {
    if (is_recorded_done(self)) {
        return nullptr;
    }
    const veto* earliest = nullptr;
    const veto* confirmed = nullptr;
    for (const auto& [raiser, raised] : self.vetoes) {
        if (earliest == nullptr || rank(raised) < rank(*earliest)) {
            earliest = &raised;
        }
        if (raised.is_confirmed && (confirmed == nullptr || rank(raised) < rank(*confirmed))) {
            confirmed = &raised;
        }
    }
    if (confirmed != nullptr) {
        return confirmed;
    }
    constexpr std::size_t min_raisers = 2;
    const std::size_t needed_raisers = self.one_raiser_suffices ? 1 : min_raisers;
    return self.vetoes.size() >= needed_raisers ? earliest : nullptr;
}

bool is_recorded_done(const attempt_record& self) {
    return has_recorded_success(self) && !is_recorded_taken_back(self);
}

bool has_recorded_ending(const attempt_record& self) {
    return has_recorded_success(self) || is_recorded_taken_back(self);
}

msg::move_permit_msg to_message(const attempt_key& key, const permit& granted) {
    msg::move_permit_msg message;
    message.service = key.service.value;
    message.move = key.name.value;
    message.attempt = key.attempt;
    message.stage = granted.stage;
    message.share_permille = granted.permille;
    message.at_ms = to_unix_ms(granted.at);
    return message;
}

msg::move_veto_msg to_message(const attempt_key& key, const veto& raised) {
    msg::move_veto_msg message;
    message.service = key.service.value;
    message.move = key.name.value;
    message.attempt = key.attempt;
    message.reason = raised.reason;
    message.route = raised.route.value;
    message.detail = raised.detail;
    message.raised_by = raised.raised_by.value;
    message.at_ms = to_unix_ms(raised.at);
    return message;
}

permit from_message(const msg::move_permit_msg& message) {
    return {.stage = message.stage,
            .permille = message.share_permille,
            .at = from_unix_ms(message.at_ms)};
}

veto from_message(const msg::move_veto_msg& message) {
    return {.reason = message.reason,
            .route = route_id(message.route),
            .detail = message.detail,
            .raised_by = node_id(message.raised_by),
            .at = from_unix_ms(message.at_ms),
            // The node that raised it has read the record, so no second veto is needed.
            .is_confirmed = message.reason == msg::veto_reason::recorded};
}

} // namespace cyclamenhatch::moves

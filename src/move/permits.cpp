#include "move/permits.h"

#include <tuple>

namespace cyclamenhatch::moves {

namespace {

/// Order of vetoes: the same on every node.
auto rank(const veto& each) {
    return std::tie(each.at, each.raised_by, each.reason, each.route, each.detail);
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
    const auto found = self.vetoes.find(other.raised_by);
    if (found == self.vetoes.end()) {
        self.vetoes.emplace(other.raised_by, other);
        if (self.vetoes.size() <= max_raisers) {
            return true;
        }
        // The last by name goes, whatever the order of arrival.
        const auto last = std::prev(self.vetoes.end());
        const bool is_other = last->first == other.raised_by;
        self.vetoes.erase(last);
        return !is_other;
    }
    veto& held = found->second;
    const bool confirms = other.is_confirmed && !held.is_confirmed;
    const bool is_confirmed = held.is_confirmed || other.is_confirmed;
    const bool is_earlier = rank(other) < rank(held);
    if (is_earlier) {
        held = other;
    }
    held.is_confirmed = is_confirmed;
    return confirms || is_earlier;
}

const veto* find_veto(const attempt_record& self) {
    const veto* first = nullptr;
    const veto* confirmed = nullptr;
    for (const auto& [raiser, each] : self.vetoes) {
        if (first == nullptr || rank(each) < rank(*first)) {
            first = &each;
        }
        if (each.is_confirmed && (confirmed == nullptr || rank(each) < rank(*confirmed))) {
            confirmed = &each;
        }
    }
    if (confirmed != nullptr) {
        return confirmed;
    }
    constexpr std::size_t enough_raisers = 2;
    const std::size_t enough = self.one_raiser_suffices ? 1 : enough_raisers;
    return self.vetoes.size() >= enough ? first : nullptr;
}

msg::move_permit_msg to_message(const attempt_key& key, const permit& from) {
    msg::move_permit_msg made;
    made.service = key.service.value;
    made.move = key.name.value;
    made.attempt = key.attempt;
    made.stage = from.stage;
    made.share_permille = from.permille;
    made.at_ms = to_unix_ms(from.at);
    return made;
}

msg::move_veto_msg to_message(const attempt_key& key, const veto& from) {
    msg::move_veto_msg made;
    made.service = key.service.value;
    made.move = key.name.value;
    made.attempt = key.attempt;
    made.reason = from.reason;
    made.route = from.route.value;
    made.detail = from.detail;
    made.raised_by = from.raised_by.value;
    made.at_ms = to_unix_ms(from.at);
    return made;
}

permit from_message(const msg::move_permit_msg& from) {
    return {.stage = from.stage, .permille = from.share_permille, .at = from_unix_ms(from.at_ms)};
}

veto from_message(const msg::move_veto_msg& from) {
    return {.reason = from.reason,
            .route = route_id(from.route),
            .detail = from.detail,
            .raised_by = node_id(from.raised_by),
            .at = from_unix_ms(from.at_ms),
            // Whoever raised it has read the record; it needs no second opinion.
            .is_confirmed = from.reason == msg::veto_reason::recorded};
}

} // namespace cyclamenhatch::moves

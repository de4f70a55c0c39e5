#include "move/closing.h"

#include <algorithm>

namespace cyclamenhatch::moves {

namespace {

constexpr seconds first_delay{2};
constexpr seconds longest_delay{10};

std::string describe(const veto& veto_held) {
    std::string text(reason_text(veto_held.reason));
    if (!veto_held.route.empty()) {
        text += " on route " + veto_held.route.value;
    }
    if (!veto_held.detail.empty()) {
        text += ": " + veto_held.detail;
    }
    return text + " (raised by " + veto_held.raised_by.value + ")";
}

} // namespace

std::string_view reason_text(msg::veto_reason reason) {
    switch (reason) {
    case msg::veto_reason::errors:
        return "errors";
    case msg::veto_reason::latency:
        return "latency";
    case msg::veto_reason::operator_cancel:
        return "cancelled by operator";
    case msg::veto_reason::deadline:
        return "deadline";
    case msg::veto_reason::little_traffic:
        return "little traffic";
    case msg::veto_reason::no_endpoints:
        return "no endpoints";
    case msg::veto_reason::recorded:
        return "taken back by its record";
    }
    return "unknown";
}

std::optional<move_ending> current_ending(const closing_state& self, const attempt_record& record,
                                          const collection& evidence, instant now) {
    const veto* taken_back = find_veto(record);
    if (taken_back == nullptr && !self.succeeded) {
        return std::nullopt;
    }
    move_ending ending{.recorded_at = now};
    if (taken_back != nullptr) {
        ending.outcome = move_outcome::taken_back;
        ending.reason = describe(*taken_back);
        ending.in_force_at = taken_back->at;
    } else {
        ending.outcome = move_outcome::done;
        ending.reason = self.succeeded->reason;
        ending.in_force_at = self.succeeded->in_force_at;
    }
    for (const auto& [route, totals] : sum_totals(evidence)) {
        ending.calls_on_new += totals.new_calls;
        ending.errors_on_new += totals.new_errors;
    }
    return ending;
}

std::optional<store::move_close> propose(closing_state& self, const attempt_key& key,
                                         const attempt_record& record, const collection& evidence,
                                         instant now) {
    if (now < self.next_proposal) {
        return std::nullopt;
    }
    const auto ending = current_ending(self, record, evidence, now);
    if (!ending) {
        return std::nullopt;
    }
    const auto delay = std::min(first_delay * (1 << std::min(self.proposals, 3U)), longest_delay);
    ++self.proposals;
    self.next_proposal = now + delay;
    return store::move_close{
        .service = key.service, .name = key.name, .attempt = key.attempt, .ending = *ending};
}

} // namespace cyclamenhatch::moves

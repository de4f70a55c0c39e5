#include "move/incomplete.h"

namespace cyclamenhatch::moves {

decision decide_incomplete(control_state& self, const control_facts& facts, instant give_up_at,
                           instant now) {
    const auto cut = std::to_string(count_cut(self.collected));
    if (now < give_up_at) {
        self.waiting_for = "evidence of " + cut + " routes that was cut";
        return {};
    }
    return veto{.reason = msg::veto_reason::deadline,
                .detail = "deadline reached without the evidence of " + cut + " routes",
                .raised_by = facts.self,
                .at = from_unix_ms(to_unix_ms(now)),
                .is_confirmed = facts.single_veto_suffices};
}

} // namespace cyclamenhatch::moves

#pragma once

#include "model/time.h"
#include "move/attempt_key.h"
#include "move/controller.h"
#include "move/permits.h"
#include "store/change.h"

#include <optional>

/// The closing record of a move. It is proposed again until the configuration shows an ending; the
/// store's compare-and-swap lets exactly one proposal through.
namespace cyclamenhatch::moves {

struct closing_state {
    /// Set once the controller on this node decided that the move succeeded.
    std::optional<finish> succeeded;
    std::uint32_t proposals = 0;
    instant next_proposal;
};

/// The current ending: a veto overrides success until a record is written. Empty while undecided.
[[nodiscard]] std::optional<move_ending> current_ending(const closing_state& self,
                                                        const attempt_record& record,
                                                        const collection& evidence, instant now);

/// The proposal that is due now, if any. Proposals are 2, 4, 8, 10, 10... seconds apart.
[[nodiscard]] std::optional<store::move_close> propose(closing_state& self, const attempt_key& key,
                                                       const attempt_record& record,
                                                       const collection& evidence, instant now);

[[nodiscard]] std::string_view reason_text(msg::veto_reason reason);

} // namespace cyclamenhatch::moves

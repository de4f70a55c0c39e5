#include "move/permits.h"

#include "move/fixture.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::moves {

namespace {

permit arbitrary_permit() {
    return {.stage = *rc::gen::inRange(1U, 4U),
            .permille = *rc::gen::inRange(0U, 1001U),
            .at = start_time + seconds(*rc::gen::inRange(0, 5))};
}

veto arbitrary_veto() {
    return {.raised_by = node_id("n" + std::to_string(*rc::gen::inRange(0, 12))),
            .at = start_time + seconds(*rc::gen::inRange(0, 5)),
            .is_confirmed = *rc::gen::inRange(0, 6) == 0};
}

attempt_record merge_all(const std::vector<permit>& permits, const std::vector<veto>& vetoes) {
    attempt_record merged;
    for (const auto& granted : permits) {
        merge(merged, granted);
    }
    for (const auto& raised : vetoes) {
        merge(merged, raised);
    }
    return merged;
}

RC_GTEST_PROP(permits, merge_alike_in_any_order, ()) {
    std::vector<permit> permits;
    std::vector<veto> vetoes;
    for (int i = *rc::gen::inRange(0, 12); i > 0; --i) {
        permits.push_back(arbitrary_permit());
        vetoes.push_back(arbitrary_veto());
    }
    const attempt_record first = merge_all(permits, vetoes);
    random_source random(*rc::gen::arbitrary<std::uint64_t>());
    permits.insert(permits.end(), permits.begin(), permits.end());
    std::shuffle(permits.begin(), permits.end(), random);
    std::shuffle(vetoes.begin(), vetoes.end(), random);
    const attempt_record second = merge_all(permits, vetoes);
    RC_ASSERT(first.granted == second.granted);
    RC_ASSERT(first.vetoes == second.vetoes);
}

TEST(permits, a_veto_takes_two_nodes_or_a_confirmed_one) {
    attempt_record record;
    merge(record, permit{.stage = 9, .permille = 1000, .at = start_time});
    merge(record, veto{.raised_by = node_id("n1"), .at = start_time});
    merge(record, veto{.raised_by = node_id("n1"), .at = start_time + seconds(1)});
    EXPECT_EQ(find_veto(record), nullptr);
    merge(record, veto{.raised_by = node_id("n2"), .at = start_time});
    EXPECT_NE(find_veto(record), nullptr);
    attempt_record cancelled;
    merge(cancelled, veto{.raised_by = node_id("n1"), .at = start_time, .is_confirmed = true});
    EXPECT_NE(find_veto(cancelled), nullptr);
}

TEST(permits, a_recorded_success_wins_over_vetoes_unless_the_record_says_taken_back) {
    attempt_record record;
    merge(record, veto{.raised_by = node_id("n1"), .at = start_time, .is_confirmed = true});
    merge(record, permit{.stage = recorded_stage, .permille = 1000, .at = start_time});
    EXPECT_EQ(find_veto(record), nullptr);
    merge(record, veto{.reason = msg::veto_reason::recorded,
                       .raised_by = node_id("n2"),
                       .at = start_time + seconds(1),
                       .is_confirmed = true});
    ASSERT_NE(find_veto(record), nullptr);
}

} // namespace

} // namespace cyclamenhatch::moves

#include "call_tally.h"

#include "call_ledger.h"
#include "document/document.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::standin {
namespace {

/// The outcome of one call as seen by the caller, how often it ran, and the expected counters.
struct ledger_row {
    const char* name;
    call_outcome outcome;
    std::uint64_t runs;
    std::uint64_t doubled;
    std::uint64_t lost;
    std::uint64_t false_not_run;
};

class check_ledgers_test : public testing::TestWithParam<ledger_row> {};

TEST_P(check_ledgers_test, one_call) {
    const auto& row = GetParam();
    call_tally tally;
    tally.outcome_by_key["k"] = row.outcome;
    const auto check = check_ledgers(tally, {{"k", row.runs}, {"another-caller", 9}});
    EXPECT_EQ(check.doubled, row.doubled);
    EXPECT_EQ(check.lost, row.lost);
    EXPECT_EQ(check.false_not_run, row.false_not_run);
}

INSTANTIATE_TEST_SUITE_P(
    table, check_ledgers_test,
    testing::Values(ledger_row{"good", call_outcome::answered, 1, 0, 0, 0},
                    ledger_row{"doubled", call_outcome::answered, 2, 1, 0, 0},
                    ledger_row{"lost", call_outcome::answered, 0, 0, 1, 0},
                    ledger_row{"not_run", call_outcome::not_run, 0, 0, 0, 0},
                    ledger_row{"ran_though", call_outcome::not_run, 1, 0, 0, 1},
                    ledger_row{"unknown_ran", call_outcome::unknown, 1, 0, 0, 0},
                    ledger_row{"unknown_twice", call_outcome::unknown, 2, 1, 0, 0}),
    [](const auto& row) { return std::string(row.param.name); });

TEST(call_tally, finds_a_member_of_flat_json) {
    const std::string body = R"({"key":"c-7","service":"layouts","version":"v2"})";
    EXPECT_EQ(find_text(body, "key"), "c-7");
    EXPECT_EQ(find_text(body, "version"), "v2");
    EXPECT_EQ(find_text(body, "absent"), "");
    EXPECT_EQ(find_text(R"({"key":"cut)", "key"), "");
}

TEST(call_ledger, counts_a_key_that_ran_again_once_as_doubled) {
    call_ledger ledger;
    for (const auto* key : {"a", "b", "a", "a", ""}) {
        start_run(ledger, key);
    }
    const auto parsed = parse_json(write_ledger(ledger, true), "ledger");
    const auto& ledger_json = std::get<document>(parsed);
    EXPECT_EQ(number_or(ledger_json, "runs", -1), 5);
    EXPECT_EQ(number_or(ledger_json, "distinct", -1), 2);
    EXPECT_EQ(number_or(ledger_json, "doubled", -1), 1);
    EXPECT_EQ(number_or(ledger_json, "keyless", -1), 1);
    EXPECT_EQ(number_or(*find_member(ledger_json, "keys"), "a", -1), 3);
}

} // namespace
} // namespace cyclamenhatch::standin

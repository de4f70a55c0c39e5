#include "call_tally.h"

#include "call_ledger.h"
#include "document/document.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::standin {
namespace {

/// How one call ended for the caller, and how often it ran.
struct ledger_row {
    const char* name;
    call_end end;
    std::uint64_t runs;
    std::uint64_t doubled;
    std::uint64_t lost;
    std::uint64_t false_not_run;
};

class ledger_check_of : public testing::TestWithParam<ledger_row> {};

TEST_P(ledger_check_of, one_call) {
    const auto& row = GetParam();
    call_tally tally;
    tally.ends["k"] = row.end;
    const auto check = check_ledgers(tally, {{"k", row.runs}, {"another-caller", 9}});
    EXPECT_EQ(check.doubled, row.doubled);
    EXPECT_EQ(check.lost, row.lost);
    EXPECT_EQ(check.false_not_run, row.false_not_run);
}

INSTANTIATE_TEST_SUITE_P(table, ledger_check_of,
                         testing::Values(ledger_row{"good", call_end::answered, 1, 0, 0, 0},
                                         ledger_row{"doubled", call_end::answered, 2, 1, 0, 0},
                                         ledger_row{"lost", call_end::answered, 0, 0, 1, 0},
                                         ledger_row{"not_run", call_end::not_run, 0, 0, 0, 0},
                                         ledger_row{"ran_though", call_end::not_run, 1, 0, 0, 1},
                                         ledger_row{"unknown_ran", call_end::unknown, 1, 0, 0, 0},
                                         ledger_row{"unknown_twice", call_end::unknown, 2, 1, 0,
                                                    0}),
                         [](const auto& each) { return std::string(each.param.name); });

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
    const auto& written = std::get<document>(parsed);
    EXPECT_EQ(number_or(written, "runs", -1), 5);
    EXPECT_EQ(number_or(written, "distinct", -1), 2);
    EXPECT_EQ(number_or(written, "doubled", -1), 1);
    EXPECT_EQ(number_or(written, "keyless", -1), 1);
    EXPECT_EQ(number_or(*find_member(written, "keys"), "a", -1), 3);
}

} // namespace
} // namespace cyclamenhatch::standin

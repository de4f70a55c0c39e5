#include "call/crash_watch.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <ostream>
#include <sstream>
#include <string>

namespace cyclamenhatch::call {
namespace {

struct watch_row {
    const char* name;
    /// Events in order: +N run N begins, aN it is answered, nN it did not run, xN the upstream
    /// breaks it off, cN this node cuts it, P the probe is refused, p it is not, L the upstream
    /// leaves, R another run of it begins, tN N ms pass.
    const char* script;
    /// "probe" for each probe asked for, and the runs of each crash.
    const char* expected;

    friend std::ostream& operator<<(std::ostream& out, const watch_row& row) {
        return out << row.name;
    }
};

struct scripted_watch {
    crash_watch watch;
    instant now{microseconds(1'000'000'000)};
    std::string seen;

    void see(const std::string& what) { seen += (seen.empty() ? "" : " ") + what; }

    void take() {
        const auto runs = take_crash(watch, now);
        if (!runs) {
            return;
        }
        std::vector<std::string> names;
        for (const auto& run : *runs) {
            names.push_back(run.request_id);
        }
        std::sort(names.begin(), names.end());
        see("crash:");
        for (const auto& name : names) {
            see(name);
        }
    }

    void apply(char event, const std::string& number) {
        const call_id call{1, number.empty() ? 0 : std::stoul(number)};
        switch (event) {
        case '+':
            note_began(watch, call, {.digest = {}, .route = {}, .request_id = number}, now);
            break;
        case 'a':
            (void)note_answered(watch, call);
            break;
        case 'n':
            note_not_run(watch, call);
            break;
        case 'x':
            if (note_failed(watch, call, now)) {
                see("probe");
            }
            break;
        case 'c':
            note_cut(watch, call, now);
            break;
        case 'P':
        case 'p':
            note_probe(watch, event == 'P', now);
            break;
        case 'L':
            watch.is_leaving = true;
            break;
        case 'R':
            note_other_run(watch);
            break;
        default:
            now += milliseconds(std::stoi(number));
        }
        take();
    }
};

class crash_of : public ::testing::TestWithParam<watch_row> {};

/// Guards against calls that are blamed for a crash that they did not see, and against a crash that
/// is taken for the loss of single answers.
TEST_P(crash_of, is_told_with_the_runs_in_flight) {
    scripted_watch scripted;
    std::istringstream events(GetParam().script);
    std::string event;
    while (events >> event) {
        scripted.apply(event.front(), event.substr(1));
    }
    EXPECT_EQ(scripted.seen, GetParam().expected);
}

const watch_row watch_rows[] = {
    {"one_run", "+1 t50 x1 t1 P", "probe crash: 1"},
    {"all_in_flight", "+1 +2 +3 t50 x1 t1 x2 P x3", "probe crash: 1 2 3"},
    {"answered_runs_are_innocent", "+1 +2 t50 a1 t1 x2 P", "probe crash: 2"},
    {"unsent_runs_are_innocent", "+1 +2 t50 x1 n2 P", "probe crash: 1"},
    {"a_run_that_fails_late", "+1 +2 t50 x1 P t49 t1", "probe crash: 1 2"},
    {"a_run_reported_already_is_not_reported_again", "+1 +2 x1 P t60 x2", "probe crash: 1 2"},
    {"runs_begun_after_it", "+1 t50 x1 t1 +2 P n2", "probe crash: 1"},
    {"failed_shortly_before", "+1 +2 x1 t20 p t50 x2 P", "probe probe crash: 1 2"},
    {"failed_long_before", "+1 +2 x1 p t101 x2 P", "probe probe crash: 2"},
    {"cut_shortly_before", "+1 +2 c1 t90 x2 P", "probe crash: 1 2"},
    {"cut_long_before", "+1 +2 c1 t101 x2 P", "probe crash: 2"},
    {"cut_while_others_are_collected", "+1 +2 x1 P c2", "probe crash: 1 2"},
    {"single_reset", "+1 +2 t50 x1 p a2", "probe"},
    {"many_resets", "+1 +2 +3 x1 x2 p x3 p", "probe probe"},
    {"frozen_upstream", "+1 +2 t500 c1 c2 t200", ""},
    {"leaves_before", "+1 L x1", ""},
    {"leaves_meanwhile", "+1 x1 L P", "probe"},
    {"another_run_before", "+1 R x1", ""},
    {"another_run_meanwhile", "+1 +2 x1 R P x2", "probe"},
    {"another_run_after_it", "+1 +2 x1 P R", "probe crash: 1"},
    {"two_crashes", "+1 x1 P t3000 R +2 +3 t90 x2 P x3", "probe crash: 1 probe crash: 2 3"},
    {"two_crashes_without_instances", "+1 x1 P t200 +1 t90 x1 P", "probe crash: 1 probe crash: 1"},
    {"unknown_call", "x1 a1 n1 c1 P", ""},
};

INSTANTIATE_TEST_SUITE_P(rows, crash_of, ::testing::ValuesIn(watch_rows),
                         [](const auto& row) { return std::string(row.param.name); });

} // namespace
} // namespace cyclamenhatch::call

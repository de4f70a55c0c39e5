#include "quarantine/fixture.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>
#include <tuple>

namespace cyclamenhatch::quarantine {
namespace {

/// Ids from a small range, so that records share some.
std::set<std::uint64_t> arbitrary_ids() {
    std::set<std::uint64_t> ids;
    for (int i = *rc::gen::inRange(0, 14); i > 0; --i) {
        ids.insert(*rc::gen::inRange<std::uint64_t>(1, 30));
    }
    return ids;
}

/// What one node may know: some crashes, and some of them cleared.
record arbitrary_record() {
    record made;
    for (const auto id : arbitrary_ids()) {
        // The time follows from the id, as for all records of one fleet, up to the age of a
        // message on its way.
        const auto delay = *rc::gen::inRange(0, 3);
        add_crash(made, id, start_time + seconds(id) + milliseconds(delay));
        made.route = route_id("r" + std::to_string(id));
        if (*rc::gen::inRange(0, 4) == 0) {
            clear(made);
        }
    }
    return made;
}

auto content(const record& self) {
    return std::tuple(self.service, self.route, self.crashes, self.cleared, self.last_crash);
}

record merged(record left, const record& right) {
    merge(left, right);
    return left;
}

RC_GTEST_PROP(record_merge, does_not_depend_on_order_or_repetition, ()) {
    const auto first = arbitrary_record();
    const auto second = arbitrary_record();
    const auto third = arbitrary_record();
    RC_ASSERT(content(merged(first, second)) == content(merged(second, first)));
    RC_ASSERT(content(merged(merged(first, second), third)) ==
              content(merged(first, merged(second, third))));
    RC_ASSERT(content(merged(first, first)) == content(first));
    RC_ASSERT(content(merged(merged(first, second), second)) == content(merged(first, second)));
}

/// Guards against a cleared crash that counts again, and against a crash that is lost, because one
/// of the bounded lists dropped it.
RC_GTEST_PROP(record_merge, counts_the_newest_crashes_of_both_sides_exactly, ()) {
    crash_ids all;
    crash_ids cleared;
    std::vector<record> nodes(3);
    for (std::uint64_t id = 1; id <= 40; ++id) {
        auto& node = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
        add_crash(node, id, start_time + seconds(id));
        all.push_back(id);
        if (*rc::gen::inRange(0, 5) == 0) {
            auto& clearing = nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())];
            cleared.insert(cleared.end(), clearing.crashes.begin(), clearing.crashes.end());
            clear(clearing);
        }
        if (*rc::gen::inRange(0, 2) == 0) {
            merge(nodes[*rc::gen::inRange<std::size_t>(0, nodes.size())], node);
        }
    }
    const auto joined = merged(merged(nodes[0], nodes[1]), nodes[2]);
    const auto counted = std::count_if(all.end() - max_crash_ids, all.end(), [&](auto id) {
        return std::find(cleared.begin(), cleared.end(), id) == cleared.end();
    });
    RC_ASSERT(count_crashes(joined) == static_cast<std::size_t>(counted));
}

RC_GTEST_PROP(record_merge, a_further_crash_never_lowers_the_count, ()) {
    auto known = arbitrary_record();
    const auto before = count_crashes(known);
    add_crash(known, 100, start_time + seconds(100));
    RC_ASSERT(count_crashes(known) >= before);
    RC_ASSERT(count_crashes(known) >= 1U);
}

/// Guards against a hold that is put off without end, since an age grows by the time that each
/// message takes.
TEST(record_merge, a_message_that_took_long_does_not_make_the_last_crash_later) {
    record known;
    add_crash(known, 5, start_time);
    record returned = known;
    returned.last_crash += milliseconds(40);
    EXPECT_FALSE(merge(known, returned));
    EXPECT_EQ(known.last_crash, start_time);
    EXPECT_FALSE(merge(returned, known));
    EXPECT_EQ(returned.last_crash, start_time);
}

/// The holds of a request, in seconds from its last crash, after each of ten crashes.
std::vector<seconds> hold_times(seconds between_crashes) {
    record known;
    random_source random{7};
    std::vector<seconds> holds;
    std::uint64_t id = 0;
    for (int crash = 0; crash < 10; ++crash) {
        const auto at = start_time + crash * between_crashes;
        id = make_crash_id(id, at, random);
        add_crash(known, id, at);
        holds.push_back(hold_end(known) == instant::min()
                            ? seconds{0}
                            : std::chrono::duration_cast<seconds>(hold_end(known) - at));
    }
    return holds;
}

TEST(hold, begins_with_the_third_crash_and_doubles_up_to_an_hour) {
    const std::vector<seconds> expected{seconds{0},    seconds{0},   seconds{60},  seconds{120},
                                        seconds{240},  seconds{480}, seconds{960}, seconds{3600},
                                        seconds{3600}, seconds{3600}};
    EXPECT_EQ(hold_times(seconds{7200}), expected);
}

/// Guards against an innocent that is held for an hour because it was in flight when many upstreams
/// crashed within a moment: no copy of it runs that could clear it.
TEST(hold, does_not_grow_by_crashes_while_it_lasts) {
    const std::vector<seconds> expected{seconds{0},  seconds{0},  seconds{60}, seconds{60},
                                        seconds{60}, seconds{60}, seconds{60}, seconds{60},
                                        seconds{60}, seconds{60}};
    EXPECT_EQ(hold_times(seconds{0}), expected);
    EXPECT_EQ(hold_times(seconds{5}), expected);
}

/// Guards against all nodes letting a request through at the same moment: it would crash many
/// upstreams before the first of the crashes is known.
TEST(hold, ends_at_one_node_after_another) {
    record known;
    for (std::uint64_t id = 1; id <= 3; ++id) {
        add_crash(known, id, start_time);
    }
    std::vector<instant> releases;
    releases.reserve(300);
    for (int node = 0; node < 300; ++node) {
        releases.push_back(
            release_time(known, make_digest(1), node_id("n" + std::to_string(node))));
    }
    std::sort(releases.begin(), releases.end());
    EXPECT_GE(releases.front(), hold_end(known));
    EXPECT_LE(releases.back(), hold_end(known) + seconds{30});
    EXPECT_LE(std::count_if(releases.begin(), releases.end(),
                            [&](instant at) { return at < hold_end(known) + seconds{2}; }),
              40);
}

/// Guards against an id below those known, which a full list would drop, from a clock that lags.
TEST(crash_id, is_higher_than_those_known) {
    random_source random{1};
    const auto ahead = make_crash_id(0, start_time + seconds(100), random);
    const auto behind = make_crash_id(ahead, start_time, random);
    EXPECT_GT(behind, ahead);
    EXPECT_NE(make_crash_id(0, start_time, random), make_crash_id(0, start_time, random));
    EXPECT_NE(make_crash_id(UINT64_MAX, start_time, random), 0U);
}

/// Guards against a record that costs more than its page says.
TEST(record, takes_at_most_500_bytes_with_its_place_in_the_table_and_the_view) {
    constexpr std::size_t table_node = 4 * sizeof(void*) + sizeof(record_table::value_type);
    constexpr std::size_t heap_block = max_crash_ids * sizeof(std::uint64_t) + 2 * sizeof(void*);
    constexpr std::size_t view_node = sizeof(call::quarantine_view::value_type) + 5 * sizeof(void*);
    EXPECT_LE(table_node + 2 * heap_block + view_node, 500U);
}

} // namespace
} // namespace cyclamenhatch::quarantine

#include "membership/announced_leave.h"

#include "membership/membership.h"
#include "membership/record_merge.h"
#include "membership/upstream_run.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <optional>
#include <rapidcheck/gtest.h>
#include <set>

namespace cyclamenhatch::membership {
namespace {

using msg::upstream_state;

constexpr milliseconds tick{100};
constexpr std::uint64_t run_start_ms = 400'000;
constexpr std::size_t left_host = 0;

msg::upstream_record_msg make_upstream(upstream_state state,
                                       std::uint64_t started_ms = run_start_ms) {
    msg::upstream_record_msg upstream;
    upstream.service = "ledger";
    upstream.instance = "a";
    upstream.started_ms = started_ms;
    upstream.state = state;
    upstream.leaves = state == upstream_state::draining || state == upstream_state::gone;
    return upstream;
}

std::string name_of(std::size_t node) {
    return "m" + std::to_string(node);
}

/// Member tables of nodes that all know each other as contacts. Messages arrive at once.
struct table_fleet {
    explicit table_fleet(std::size_t count) : tables(count) {
        for (std::size_t node = 0; node < count; ++node) {
            start(node);
        }
        run(seconds{5});
    }

    void start(std::size_t node) {
        msg::member_record_msg self;
        self.node = name_of(node);
        self.ip = self.node;
        self.link_port = 7400;
        self.incarnation = static_cast<std::uint64_t>(to_unix_ms(now));
        std::vector<peer_address> contacts;
        for (std::size_t other = 0; other < tables.size(); ++other) {
            contacts.push_back({name_of(other), 7400});
        }
        msg::membership_settings_msg settings;
        settings.join_patience_ms = 400;
        settings.join_spread_ms = 300;
        tables[node] = make_table(settings, std::move(self), contacts, now);
    }

    void deliver(std::size_t sender, const std::vector<outgoing>& sends) {
        for (const auto& send : sends) {
            for (std::size_t node = 0; node < tables.size(); ++node) {
                const bool is_receiver = send.address.ip.empty() ? send.to.value == name_of(node)
                                                                 : send.address.ip == name_of(node);
                if (is_receiver && tables[node]) {
                    deliver(node,
                            on_message(*tables[node], {node_id{name_of(sender)}, send.message}, now,
                                       random));
                }
            }
        }
    }

    void run(milliseconds duration) {
        for (const auto end = now + duration; now < end; now += tick) {
            for (std::size_t node = 0; node < tables.size(); ++node) {
                if (tables[node]) {
                    deliver(node, on_tick(*tables[node], now, random));
                }
            }
        }
    }

    /// Nodes in whose table the upstream of left_host is ready.
    [[nodiscard]] std::size_t count_ready() const {
        return static_cast<std::size_t>(
            std::count_if(tables.begin(), tables.end(), [](auto& table) {
                const auto* record =
                    table ? find_record(*table, node_id{name_of(left_host)}) : nullptr;
                return record != nullptr && record->upstream != nullptr &&
                       record->upstream->state == upstream_state::ready;
            }));
    }

    void announce(upstream_state state) {
        deliver(left_host, set_upstream(*tables[left_host], make_upstream(state), now, random));
    }

    /// The upstream of left_host is ready, then it leaves.
    void leave() {
        announce(upstream_state::ready);
        run(seconds{2});
        announce(upstream_state::gone);
        run(seconds{2});
    }

    instant now = from_unix_ms(1'000'000);
    random_source random{7};
    std::vector<std::optional<table>> tables;
};

/// Guards against a late heartbeat that brings back an upstream whose leave an earlier process of
/// its node has confirmed (DRAIN).
TEST(restarted_node, does_not_bring_back_an_upstream_that_left) {
    table_fleet fleet(3);
    fleet.leave();
    fleet.start(left_host);
    fleet.run(seconds{4});
    const auto& self = fleet.tables[left_host]->self;
    ASSERT_TRUE(self.upstream) << "the leave was not recovered from the other members";
    upstream_run run;
    EXPECT_TRUE(recover_leave(run, self.upstream.get(), fleet.now));
    EXPECT_TRUE(has_announced_leave(run));
    auto late = make_upstream(upstream_state::ready);
    late.sequence = 5;
    EXPECT_FALSE(apply_announcement(run, late, fleet.now));
    late.started_ms -= 1;
    EXPECT_FALSE(apply_announcement(run, late, fleet.now)) << "an earlier run of the instance";
    EXPECT_TRUE(
        apply_announcement(run, make_upstream(upstream_state::ready, run_start_ms + 1), fleet.now));
}

/// Guards against a node that announces such an upstream before it has learnt of the leave.
TEST(restarted_node, is_told_of_the_leave_when_it_announces_the_run_again) {
    table_fleet fleet(3);
    fleet.leave();
    fleet.start(left_host);
    fleet.announce(upstream_state::ready);
    fleet.run(seconds{2});
    EXPECT_EQ(fleet.count_ready(), 0U);
}

/// The same without a page: the record is merged by a member that has joined long ago.
TEST(restarted_node, is_told_of_the_leave_by_the_next_message) {
    table_fleet fleet(2);
    fleet.leave();
    auto record = msg::member_record_msg(*find_record(*fleet.tables[1], node_id{name_of(0)}));
    record.incarnation += 100'000;
    record.upstream =
        std::make_unique<msg::upstream_record_msg>(make_upstream(upstream_state::ready));
    auto& knowing = *fleet.tables[1];
    merge_record(knowing, record, record_source::update, fleet.now);
    EXPECT_EQ(find_record(knowing, node_id{name_of(0)})->upstream->state, upstream_state::gone);
    fleet.start(left_host);
    fleet.tables[left_host]->self = record;
    const auto sends = on_tick(knowing, fleet.now, fleet.random);
    fleet.deliver(1, sends);
    EXPECT_EQ(fleet.tables[left_host]->self.upstream->state, upstream_state::gone);
    EXPECT_GT(fleet.tables[left_host]->self.incarnation, record.incarnation);
}

struct next_run_row {
    const char* name;
    const char* instance;
    std::uint64_t left_ms;
    std::uint64_t started_ms;
    bool is_offered;
};

class run_after_a_leave : public testing::TestWithParam<next_run_row> {};

/// Guards against an upstream that gets no calls since an earlier one at its host has left.
TEST_P(run_after_a_leave, is_offered_if_it_is_another_one) {
    const auto& row = GetParam();
    msg::member_record_msg record;
    record.upstream = std::make_unique<msg::upstream_record_msg>(
        make_upstream(upstream_state::ready, row.started_ms));
    record.upstream->instance = row.instance;
    const auto left = make_upstream(upstream_state::gone, row.left_ms);
    const auto fit = keep_leave(record, &left);
    EXPECT_EQ(fit, row.is_offered ? leave_fit::consistent : leave_fit::contradicted);
    EXPECT_EQ(record.upstream->state,
              row.is_offered ? upstream_state::ready : upstream_state::gone);
}

INSTANTIATE_TEST_SUITE_P(table, run_after_a_leave,
                         testing::Values(next_run_row{"same_run", "a", 500, 500, false},
                                         next_run_row{"earlier_run", "a", 500, 499, false},
                                         next_run_row{"later_run", "a", 500, 501, true},
                                         next_run_row{"unknown_starts", "a", 0, 0, false},
                                         next_run_row{"unknown_later_start", "a", 500, 0, false},
                                         next_run_row{"first_known_start", "a", 0, 500, true},
                                         next_run_row{"another_instance", "b", 500, 400, true}),
                         [](const auto& row) { return row.param.name; });

/// An upstream that was silent for too long is gone without having left.
TEST(upstream_without_a_leave, may_return) {
    auto expired = make_upstream(upstream_state::gone);
    expired.leaves = false;
    msg::member_record_msg record;
    record.upstream =
        std::make_unique<msg::upstream_record_msg>(make_upstream(upstream_state::ready));
    EXPECT_EQ(keep_leave(record, &expired), leave_fit::consistent);
    upstream_run run;
    EXPECT_FALSE(recover_leave(run, &expired, from_unix_ms(1)));
    EXPECT_FALSE(recover_leave(run, nullptr, from_unix_ms(1)));
}

TEST(upstream_that_drains, drains_on_after_a_restart_and_may_leave) {
    const auto draining = make_upstream(upstream_state::draining);
    upstream_run run;
    EXPECT_TRUE(recover_leave(run, &draining, from_unix_ms(1)));
    EXPECT_FALSE(recover_leave(run, &draining, from_unix_ms(1))) << "it is known already";
    auto next = make_upstream(upstream_state::ready);
    next.sequence = 1;
    EXPECT_FALSE(apply_announcement(run, next, from_unix_ms(2)));
    next.state = upstream_state::draining;
    EXPECT_TRUE(apply_announcement(run, next, from_unix_ms(2)));
    EXPECT_TRUE(record_leave(run, "a", from_unix_ms(3)));
}

RC_GTEST_PROP(announced_leave_property, is_final_while_any_member_remembers_it, ()) {
    const auto count = *rc::gen::inRange<std::size_t>(2, 7);
    table_fleet fleet(count);
    fleet.random.seed(*rc::gen::arbitrary<std::uint32_t>());
    fleet.leave();
    // One member keeps running, so that the leave is remembered.
    const auto keeper = *rc::gen::inRange<std::size_t>(1, count);
    for (int round = 0; round < 3; ++round) {
        for (std::size_t node = 0; node < count; ++node) {
            if (node != keeper && *rc::gen::inRange(0, 2) == 1) {
                fleet.start(node);
            }
        }
        fleet.run(tick * *rc::gen::inRange(0, 20));
        auto& self = fleet.tables[left_host]->self;
        const bool is_known = self.upstream && self.upstream->leaves;
        if (!is_known) {
            fleet.announce(upstream_state::ready);
        }
        fleet.run(seconds{12});
        RC_ASSERT(fleet.count_ready() == 0U);
    }
}

} // namespace
} // namespace cyclamenhatch::membership

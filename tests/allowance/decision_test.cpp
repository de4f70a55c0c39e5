#include "allowance/keeper.h"
#include "allowance/stock.h"

#include <gtest/gtest.h>

#include <string>

namespace cyclamenhatch::allowance {
namespace {

const instant start_time = from_unix_ms(1'800'000'000'000);
const workspace_id shop{"shop"};

snapshot_ptr make_config(double calls_per_s, double burst) {
    auto stored = std::make_shared<stored_section>();
    stored->content.workspaces.push_back(
        {.name = shop, .calls_per_s = calls_per_s, .burst = burst});
    auto config = std::make_shared<snapshot>();
    config->fleet = std::move(stored);
    return config;
}

std::vector<call::peer> make_live(const std::vector<std::string>& names) {
    std::vector<call::peer> live;
    live.reserve(names.size());
    for (const auto& name : names) {
        live.push_back({node_id{name}, {"10.0.0.1", 4100}});
    }
    return live;
}

incoming make_request(std::uint32_t calls) {
    msg::allowance_request_msg request;
    request.sequence = 7;
    request.items.push_back(std::make_unique<msg::allowance_item_msg>());
    request.items.back()->workspace = shop.value;
    request.items.back()->calls = calls;
    return {node_id{"asker"}, std::move(request)};
}

/// A keeper without neighbours.
class lone_keeper : public ::testing::Test {
protected:
    void run(microseconds time) {
        for (const auto end = now + time; now < end; now += milliseconds{100}) {
            tick();
        }
    }
    void tick() {
        note_heard(keeper, now);
        on_tick(keeper,
                {.live = live, .reachable_share = share, .config = config, .has_joined = true}, now,
                out);
    }
    /// What the keeper lends, and when more; nothing if it does not answer.
    std::optional<std::pair<std::uint32_t, std::uint32_t>> ask(std::uint32_t calls) {
        const auto answer = on_message(keeper, make_request(calls), now, out);
        if (!answer) {
            return std::nullopt;
        }
        const auto& loan = std::get<msg::allowance_loan_msg>(*answer);
        EXPECT_EQ(loan.sequence, 7U);
        return std::pair{loan.items.at(0)->calls, loan.items.at(0)->retry_after_ms};
    }

    keeper_state keeper{.self = node_id{"keeper"}};
    std::vector<call::peer> live = make_live({"keeper"});
    snapshot_ptr config = make_config(10, 20);
    double share = 1;
    instant now = start_time;
    keeper_actions out;
};

TEST_F(lone_keeper, lends_burst_and_rate_and_states_when_there_is_more) {
    run(seconds{10});
    EXPECT_EQ(ask(5), (std::pair{5U, 0U}));
    EXPECT_EQ(ask(50), (std::pair{15U, 3500U}));
    EXPECT_EQ(out.logs.size(), 1U);
    EXPECT_EQ(out.logs.back().name, "allowance_used_up");
    run(seconds{1});
    EXPECT_EQ(ask(10).value().first, 10U);
    run(seconds{6});
    EXPECT_EQ(out.logs.back().name, "allowance_available");
}

TEST_F(lone_keeper, begins_empty_and_at_a_part_of_the_rate) {
    run(milliseconds{1100});
    EXPECT_EQ(ask(20).value().first, 2U);
    run(seconds{1});
    // 0.1 s of the takeover and 0.95 s after it.
    EXPECT_EQ(ask(20).value().first, 9U);
}

TEST_F(lone_keeper, applies_a_lower_limit_at_once) {
    run(seconds{10});
    config = make_config(1, 2);
    tick();
    EXPECT_EQ(ask(20).value().first, 2U);
    config = make_config(0, 0);
    tick();
    EXPECT_FALSE(ask(20).has_value());
}

TEST_F(lone_keeper, lends_nothing_after_a_pause_and_then_begins_empty) {
    run(seconds{10});
    now += milliseconds{1200};
    EXPECT_FALSE(ask(1).has_value());
    tick();
    EXPECT_EQ(ask(1).value().first, 0U);
}

TEST_F(lone_keeper, lends_nothing_when_no_other_node_is_heard) {
    live = make_live({"keeper", "b"});
    if (find_keeper(live, shop)->node != keeper.self) {
        keeper.self = node_id{"b"};
    }
    run(seconds{10});
    EXPECT_EQ(ask(1).value().first, 1U);
    for (int i = 0; i < 11; ++i) {
        now += milliseconds{100};
        on_tick(keeper, {.live = live, .config = config, .has_joined = true}, now, out);
    }
    EXPECT_FALSE(ask(1).has_value());
}

TEST_F(lone_keeper, passes_the_bucket_to_the_node_that_ranks_before_it) {
    run(seconds{10});
    int number = 0;
    while (find_keeper(live, shop)->node == keeper.self) {
        live = make_live({"keeper", "n" + std::to_string(++number)});
    }
    tick();
    ASSERT_EQ(out.sends.size(), 1U);
    EXPECT_EQ(out.sends[0].to, live[1].node);
    EXPECT_FALSE(ask(1).has_value());

    keeper_state successor{.self = live[1].node};
    keeper_actions unused;
    const auto tick_successor = [&] {
        note_heard(successor, now);
        on_tick(successor, {.live = live, .config = config, .has_joined = true}, now, unused);
    };
    tick_successor();
    EXPECT_FALSE(on_message(successor, {keeper.self, std::move(out.sends[0].message)}, now, unused)
                     .has_value());
    tick_successor();
    const auto answer = on_message(successor, make_request(30), now, unused);
    EXPECT_EQ(std::get<msg::allowance_loan_msg>(*answer).items.at(0)->calls, 20U);
}

TEST_F(lone_keeper, takes_no_bucket_from_a_node_that_did_not_keep_it) {
    live = make_live({"keeper", "b", "c"});
    std::vector<std::string> others;
    const auto first = find_keeper(live, shop)->node;
    std::erase_if(live, [&](const call::peer& peer) { return peer.node == first; });
    const auto second = find_keeper(live, shop)->node;
    std::erase_if(live, [&](const call::peer& peer) { return peer.node == second; });
    const auto third = live[0].node;
    live = make_live({first.value, second.value, third.value});
    keeper.self = first;
    tick();
    msg::allowance_loan_msg handover;
    handover.items.push_back(std::make_unique<msg::allowance_item_msg>());
    handover.items.back()->workspace = shop.value;
    handover.items.back()->calls = 20;
    (void)on_message(keeper, {third, msg::allowance_loan_msg(handover)}, now, out);
    tick();
    EXPECT_EQ(ask(1).value().first, 0U);
    (void)on_message(keeper, {second, std::move(handover)}, now, out);
    tick();
    EXPECT_EQ(ask(1).value().first, 1U);
}

TEST(lendable_share, of_all_sides_of_a_cut_is_at_most_the_whole) {
    for (int nodes = 0; nodes <= 100; ++nodes) {
        const auto share = nodes / 100.0;
        EXPECT_LE(lendable_share(share) + lendable_share(1 - share), 1.0 + 1e-9) << nodes;
    }
    EXPECT_EQ(lendable_share(0.87), 1);
    EXPECT_EQ(lendable_share(0.1), 0);
}

TEST(fixed_part, of_all_nodes_is_at_most_half_of_the_slack) {
    for (const std::size_t count : {1U, 3U, 10U, 11U, 79U, 300U}) {
        std::vector<std::string> names;
        for (std::size_t i = 0; i < count; ++i) {
            names.push_back("n" + std::to_string(i));
        }
        const auto live = make_live(names);
        std::size_t sum = 0;
        for (const auto& peer : live) {
            sum += fixed_part({}, live, peer.node, shop);
        }
        EXPECT_LE(sum, 10U) << count;
        EXPECT_GE(sum, 9U) << count;
    }
}

TEST(find_limit, needs_a_positive_rate) {
    EXPECT_FALSE(find_limit(*make_config(0, 5), shop).has_value());
    EXPECT_FALSE(find_limit(*make_config(-3, 5), shop).has_value());
    EXPECT_FALSE(find_limit(*make_config(3, 5), workspace_id{}).has_value());
    EXPECT_FALSE(find_limit(*make_config(3, 5), workspace_id{"other"}).has_value());
    EXPECT_FALSE(find_limit(snapshot{}, shop).has_value());
    EXPECT_EQ(find_limit(*make_config(3, -5), shop), (limit{3, 0}));
}

class entry_stock : public ::testing::Test {
protected:
    void wait_for_call() {
        note_call(entry, shop, now);
        note_waiting(entry, shop);
    }
    std::uint32_t ask() {
        const auto requests = make_requests(entry, live, now);
        if (requests.empty()) {
            return 0;
        }
        const auto& request = std::get<msg::allowance_request_msg>(requests.at(0).message);
        sequence = request.sequence;
        return request.items.at(0)->calls;
    }
    void lend(std::uint32_t calls, std::uint32_t retry_after_ms = 0) {
        msg::allowance_loan_msg loan;
        loan.sequence = sequence;
        loan.lifetime_ms = 150;
        loan.items.push_back(std::make_unique<msg::allowance_item_msg>());
        loan.items.back()->workspace = shop.value;
        loan.items.back()->calls = calls;
        loan.items.back()->retry_after_ms = retry_after_ms;
        (void)on_loan(entry, node_id{"keeper"}, loan, now);
    }

    std::vector<call::peer> live = make_live({"keeper"});
    entry_state entry{.self = node_id{"keeper"}};
    std::uint64_t sequence = 0;
    instant now = start_time;
};

TEST_F(entry_stock, asks_for_each_waiting_call_and_again_after_silence) {
    wait_for_call();
    EXPECT_EQ(ask(), 1U);
    EXPECT_EQ(ask(), 0U);
    now += ask_timeout;
    EXPECT_EQ(ask(), 1U);
    lend(1);
    EXPECT_TRUE(take(entry, shop, now));
    EXPECT_FALSE(take(entry, shop, now));
}

TEST_F(entry_stock, loses_a_lent_call_at_its_end_counted_from_the_request) {
    wait_for_call();
    EXPECT_EQ(ask(), 1U);
    now += milliseconds{149};
    lend(2);
    EXPECT_TRUE(take(entry, shop, now));
    now += milliseconds{1};
    EXPECT_FALSE(take(entry, shop, now));
    EXPECT_EQ(count_lent(entry.stocks.at(shop), now), 0U);
}

TEST_F(entry_stock, ignores_a_loan_that_nobody_asked_for) {
    wait_for_call();
    sequence = 99;
    lend(5);
    EXPECT_FALSE(take(entry, shop, now));
    EXPECT_EQ(ask(), 1U);
    lend(1);
    lend(1);
    EXPECT_EQ(count_lent(entry.stocks.at(shop), now), 1U);
}

TEST_F(entry_stock, keeps_to_the_word_of_the_keeper_for_a_short_time) {
    wait_for_call();
    EXPECT_EQ(ask(), 1U);
    lend(0, 2000);
    EXPECT_EQ(refused_for(entry, shop, now), microseconds{2'000'000});
    EXPECT_EQ(ask(), 0U);
    now += ask_interval;
    EXPECT_FALSE(refused_for(entry, shop, now).has_value());
    EXPECT_GE(ask(), 1U);
}

TEST_F(entry_stock, pays_repeats_from_later_loans) {
    wait_for_call();
    note_repeat(entry, shop, now);
    note_repeat(entry, shop, now);
    EXPECT_EQ(ask(), 3U);
    lend(3);
    EXPECT_TRUE(take(entry, shop, now));
    EXPECT_FALSE(take(entry, shop, now));
}

TEST_F(entry_stock, asks_ahead_where_calls_are_frequent) {
    for (int i = 0; i < 200; ++i) {
        note_call(entry, shop, now);
        now += milliseconds{5};
    }
    const auto ahead = ask();
    EXPECT_GE(ahead, 15U);
    EXPECT_LE(ahead, 25U);
    lend(ahead);
    EXPECT_EQ(ask(), 0U);
}

TEST_F(entry_stock, has_a_fixed_part_in_a_window_while_no_keeper_answers) {
    for (int i = 0; i < 10; ++i) {
        EXPECT_TRUE(take_fixed(entry, shop, live, now));
    }
    EXPECT_FALSE(take_fixed(entry, shop, live, now));
    now += milliseconds{5001};
    EXPECT_TRUE(take_fixed(entry, shop, live, now));
    wait_for_call();
    EXPECT_EQ(ask(), 1U);
    lend(0, 1000);
    EXPECT_FALSE(take_fixed(entry, shop, live, now));
}

} // namespace
} // namespace cyclamenhatch::allowance

#include "move/spreading.h"

#include "move/fixture.h"

#include <deque>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace cyclamenhatch::moves {
namespace {

std::string node_name(std::size_t node) {
    return "n" + std::to_string(100 + node);
}

msg::member_record_msg make_member(std::size_t node) {
    msg::member_record_msg record;
    record.node = node_name(node);
    record.data_centre = "dc";
    return record;
}

/// One node that knows only the given members.
struct exchanging_node {
    exchanging_node(std::size_t self, const std::set<std::size_t>& known)
        : members(membership::make_table({}, make_member(self), {}, start_time)),
          moves(make_state({}, start_time)) {
        for (const auto node : known) {
            members.members[node_id(node_name(node))] = {.record = make_member(node)};
        }
        actions ignored;
        on_config(moves, members, make_config(1, make_move()), start_time, ignored);
        moves.records[make_key()].granted = permit{.stage = 1, .permille = 40, .at = start_time};
    }

    void add_veto(std::size_t raiser) {
        merge(moves.records[make_key()],
              veto{.raised_by = node_id(node_name(raiser)), .at = start_time});
    }

    [[nodiscard]] const attempt_record& record() const { return moves.records.at(make_key()); }

    membership::table members;
    state moves;
};

/// Delivers what `sender` knows to `receiver` and then every message that follows between the two.
/// Returns the number of messages, at most `limit`.
std::size_t count_messages(exchanging_node& sender, exchanging_node& receiver, std::size_t limit) {
    random_source random{1};
    struct delivery {
        exchanging_node* from;
        exchanging_node* to;
        peer_message message;
    };
    std::deque<delivery> in_transit;
    in_transit.push_back(
        {&sender, &receiver, make_state_message(sender.moves.records, start_time)});
    std::size_t messages = 0;
    while (!in_transit.empty() && messages < limit) {
        const auto next = std::move(in_transit.front());
        in_transit.pop_front();
        ++messages;
        actions out;
        const incoming received{node_id(next.from->members.self.node), next.message};
        on_message(next.to->moves, next.to->members, received, start_time, random, out);
        for (auto& send : out.sends) {
            if (send.to.value == next.from->members.self.node) {
                in_transit.push_back({next.to, next.from, std::move(send.message)});
            }
        }
    }
    return messages;
}

constexpr std::size_t message_limit = 1000;
/// The message, the news that either side makes of vetoes that are new to it, and one answer to
/// each of the three.
constexpr std::size_t longest_exchange = 6;

/// Guards against two nodes that answer each other without end: each holds a veto that the other
/// does not store, since it does not know the node that raised it.
TEST(spreading, an_exchange_ends_between_nodes_that_know_other_members) {
    exchanging_node first(1, {2, 3});
    first.add_veto(3);
    exchanging_node second(2, {1, 4});
    second.add_veto(4);
    EXPECT_LE(count_messages(first, second, message_limit), longest_exchange);
}

/// Guards against the same after a rolling restart, in which more nodes raise the recorded veto in
/// their own names than a record keeps.
TEST(spreading, an_exchange_ends_when_one_side_keeps_other_vetoes) {
    exchanging_node full(50, {1, 2, 3, 4, 5, 6, 7, 8, 60});
    for (std::size_t raiser = 1; raiser <= max_raisers; ++raiser) {
        full.add_veto(raiser);
    }
    exchanging_node restarted(60, {1, 2, 4, 5, 6, 7, 8, 50});
    restarted.add_veto(60);
    EXPECT_LE(count_messages(restarted, full, message_limit), longest_exchange);
}

/// Guards against permits and vetoes of many moves that count as sent although the message has no
/// room for them.
TEST(spreading, news_of_more_moves_than_a_message_holds_are_all_sent) {
    const exchanging_node node(1, {2, 3});
    std::map<attempt_key, attempt_record> records;
    for (int i = 0; i < 200; ++i) {
        records[{.service = service_id("s" + std::to_string(i)), .name = move_id("m")}].granted =
            permit{.stage = 1, .permille = 40, .at = start_time};
    }
    random_source random{1};
    std::set<std::string> sent;
    for (int round = 0; round < 100; ++round) {
        std::vector<outgoing> sends;
        send_news(records, node.members, start_time, random, sends);
        for (const auto& send : sends) {
            for (const auto& permit : std::get<msg::move_state_msg>(send.message).permits) {
                sent.insert(permit->service);
            }
        }
    }
    EXPECT_EQ(sent.size(), records.size());
}

std::set<std::size_t> arbitrary_nodes() {
    std::set<std::size_t> nodes;
    for (int i = *rc::gen::inRange(0, 12); i > 0; --i) {
        nodes.insert(*rc::gen::inRange<std::size_t>(0, 14));
    }
    return nodes;
}

RC_GTEST_PROP(spreading, every_exchange_ends, ()) {
    auto known_first = arbitrary_nodes();
    auto known_second = arbitrary_nodes();
    known_first.insert(21);
    known_second.insert(20);
    exchanging_node first(20, known_first);
    exchanging_node second(21, known_second);
    for (const auto raiser : arbitrary_nodes()) {
        first.add_veto(raiser);
    }
    for (const auto raiser : arbitrary_nodes()) {
        second.add_veto(raiser);
    }
    RC_ASSERT(count_messages(first, second, message_limit) <= longest_exchange);
}

RC_GTEST_PROP(spreading, an_exchange_leaves_both_with_the_same_vetoes, ()) {
    std::set<std::size_t> all;
    for (std::size_t node = 0; node < 22; ++node) {
        all.insert(node);
    }
    exchanging_node first(20, all);
    exchanging_node second(21, all);
    for (const auto raiser : arbitrary_nodes()) {
        first.add_veto(raiser);
    }
    for (const auto raiser : arbitrary_nodes()) {
        second.add_veto(raiser);
    }
    (void)count_messages(first, second, message_limit);
    RC_ASSERT(first.record().vetoes == second.record().vetoes);
}

} // namespace
} // namespace cyclamenhatch::moves

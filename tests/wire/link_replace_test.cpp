#include "wire/loop_pools.h"

namespace cyclamenhatch::wire::on_loop {
namespace {

/// After the ping interval and before the silence timeout.
constexpr milliseconds ping_due{silence_ms * 5 / 8};
/// After the silence timeout and before links are given up.
constexpr milliseconds silence_due{silence_ms * 5 / 4};
/// After links are given up.
constexpr milliseconds dead_due{silence_ms * 5 / 2};

/// A node with an established link to a scripted peer that owes it an answer.
class slow_peer : public testing::Test {
protected:
    void SetUp() override {
        send(*node.pool, {node_id{}, peer.address(), make_probe(1)});
        run_until(loop, [&] { return peer.links.size() == 1; });
        peer.say_hello(peer.links[0]);
        run_until(loop, [&] { return has<msg::probe_msg>(peer.links[0]); });
        send(*node.pool, {node_id{"b"}, peer.address(), msg::call_cancel_msg{}});
        run_until(loop, [&] { return has<msg::call_cancel_msg>(peer.links[0]); });
    }

    /// The peer was pinged and has been silent for longer than the silence timeout.
    void fall_silent() {
        const auto now = current_time();
        check_links(node.pool, now + ping_due);
        run_until(loop, [&] { return has<msg::ping_msg>(peer.links[0]); });
        // The first of these pings once more, the second acts on the silence.
        check_links(node.pool, now + silence_due);
        check_links(node.pool, now + silence_due);
    }

    asio::io_context loop;
    loop_pool node{loop, "a"};
    scripted_peer peer{loop, "b"};
};

TEST_F(slow_peer, keeps_its_link_when_the_answer_comes_late) {
    fall_silent();
    peer.say(peer.links[0], make_probe(2));
    run_until(loop, [&] { return !node.received.empty() || !node.closings("cause").empty(); });
    EXPECT_TRUE(node.closings("cause").empty());
    EXPECT_TRUE(node.lost.empty());
    EXPECT_EQ(node.received.size(), 1U);
}

TEST_F(slow_peer, closes_the_spare_when_the_link_is_heard_first) {
    fall_silent();
    run_until(loop, [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    peer.say(peer.links[0], make_probe(2));
    run_until(loop, [&] { return !node.received.empty(); });
    peer.say_hello(peer.links[1]);
    run_until(loop, [&] { return peer.links[1]->is_ended; });
    EXPECT_EQ(node.closings("cause"), std::vector<std::string>{"spare"});
    EXPECT_TRUE(node.lost.empty());
    send(*node.pool, {node_id{"b"}, peer.address(), msg::config_notice_msg{}});
    run_until(loop, [&] { return has<msg::config_notice_msg>(peer.links[0]); });
    EXPECT_FALSE(has<msg::config_notice_msg>(peer.links[1]));
}

TEST_F(slow_peer, loses_its_link_to_a_new_one_that_answers_while_the_old_does_not) {
    fall_silent();
    run_until(loop, [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    EXPECT_TRUE(node.lost.empty());
    peer.say_hello(peer.links[1]);
    run_until(loop, [&] { return peer.links[0]->is_ended; });
    EXPECT_EQ(node.closings("cause"), std::vector<std::string>{"replaced"});
    EXPECT_EQ(node.lost, std::vector<node_id>{node_id{"b"}});
    send(*node.pool, {node_id{"b"}, peer.address(), msg::config_notice_msg{}});
    run_until(loop, [&] { return has<msg::config_notice_msg>(peer.links[1]); });
    EXPECT_EQ(peer.links.size(), 2U);
    EXPECT_TRUE(node.returned.empty());
}

TEST_F(slow_peer, is_doubted_by_one_spare_at_a_time) {
    fall_silent();
    check_links(node.pool, current_time() + silence_due);
    run_until(loop, [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    check_links(node.pool, current_time() + silence_due);
    EXPECT_EQ(counters(*node.pool).links_opened, 2U);
}

TEST_F(slow_peer, loses_its_link_when_no_link_answers) {
    fall_silent();
    check_links(node.pool, current_time() + dead_due);
    EXPECT_EQ(node.closings("cause"), std::vector<std::string>{"silent"});
    EXPECT_EQ(node.lost, std::vector<node_id>{node_id{"b"}});
    EXPECT_EQ(counters(*node.pool).links_silent, 1U);
}

TEST_F(slow_peer, that_dials_too_keeps_one_link_at_least) {
    fall_silent();
    run_until(loop, [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    const auto own = peer.dial(node.address());
    peer.say_hello(own);
    run_until(loop, [&] { return has<msg::hello_msg>(own); });
    peer.say_hello(peer.links[1]);
    run_until(loop, [&] { return peer.links[0]->is_ended; });
    EXPECT_EQ(node.closings("cause"), std::vector<std::string>{"replaced"});
    // The peer sends over the link that it dialled, this node over the other or the same.
    peer.say(own, make_probe(3));
    run_until(loop, [&] { return node.received.size() == 1; });
    EXPECT_FALSE(own->is_ended);
    EXPECT_EQ(node.closings("cause").size(), 1U);
    send(*node.pool, {node_id{"b"}, peer.address(), msg::config_notice_msg{}});
    run_until(loop, [&] {
        return has<msg::config_notice_msg>(own) || has<msg::config_notice_msg>(peer.links[1]);
    });
}

TEST_F(slow_peer, that_sends_over_a_new_link_has_left_the_old_one) {
    peer.say(peer.links[0], make_probe(2));
    run_until(loop, [&] { return node.received.size() == 1; });
    const auto newer = peer.dial(node.address());
    peer.say_hello(newer);
    run_until(loop, [&] { return has<msg::hello_msg>(newer); });
    EXPECT_TRUE(node.closings("cause").empty());
    peer.say(newer, make_probe(3));
    run_until(loop, [&] { return peer.links[0]->is_ended; });
    EXPECT_EQ(node.closings("cause"), std::vector<std::string>{"replaced"});
    EXPECT_EQ(node.received.size(), 2U);
    send(*node.pool, {node_id{"b"}, peer.address(), msg::config_notice_msg{}});
    run_until(loop, [&] { return has<msg::config_notice_msg>(newer); });
}

TEST_F(slow_peer, that_ends_a_link_without_calls_is_not_lost_while_another_stands) {
    const auto newer = peer.dial(node.address());
    peer.say_hello(newer);
    run_until(loop, [&] { return has<msg::hello_msg>(newer); });
    newer->socket.close();
    run_until(loop, [&] { return !node.closings("cause").empty(); });
    EXPECT_TRUE(node.lost.empty());
    peer.links[0]->socket.close();
    run_until(loop, [&] { return node.closings("cause").size() == 2; });
    EXPECT_EQ(node.lost, std::vector<node_id>{node_id{"b"}});
}

TEST_F(slow_peer, that_is_dialled_at_another_address_is_sent_to_over_the_link_in_use) {
    scripted_peer contact(loop, "b");
    send(*node.pool, {node_id{}, contact.address(), msg::config_notice_msg{}});
    run_until(loop, [&] { return contact.links.size() == 1; });
    contact.say_hello(contact.links[0]);
    run_until(loop, [&] { return has<msg::config_notice_msg>(peer.links[0]); });
    EXPECT_FALSE(has<msg::config_notice_msg>(contact.links[0]));
    EXPECT_TRUE(node.closings("cause").empty());
}

TEST(two_pools, that_dial_each_other_at_once_deliver_all_in_order) {
    asio::io_context loop;
    loop_pool first(loop, "a");
    loop_pool second(loop, "b");
    for (std::uint64_t i = 0; i < 200; ++i) {
        send(*first.pool, {node_id{"b"}, second.address(), make_probe(i)});
        send(*second.pool, {node_id{"a"}, first.address(), make_probe(i)});
        loop.poll_one();
    }
    run_until(loop, [&] { return first.received.size() == 200 && second.received.size() == 200; });
    for (std::uint64_t i = 0; i < 200; ++i) {
        EXPECT_EQ(first.received[i].message, peer_message{make_probe(i)});
        EXPECT_EQ(second.received[i].message, peer_message{make_probe(i)});
    }
    EXPECT_TRUE(first.closings("cause").empty());
    EXPECT_TRUE(second.closings("cause").empty());
}

TEST(full_link, lets_a_ping_go_ahead_of_what_is_queued) {
    asio::io_context loop;
    loop_pool node(loop, "a");
    scripted_peer peer(loop, "b");
    const auto caller = peer.dial(node.address());
    peer.say_hello(caller);
    run_until(loop, [&] { return has<msg::hello_msg>(caller); });
    // Sockets that hold little, so that most is still queued when the ping is answered.
    constexpr int small_buffer = 16'384;
    node.pool->links.at(0)->socket.set_option(tcp::socket::send_buffer_size(small_buffer));
    caller->socket.set_option(tcp::socket::receive_buffer_size(small_buffer));
    msg::call_data_msg piece;
    piece.body.resize(60'000);
    constexpr std::size_t pieces = 120;
    for (std::size_t i = 0; i < pieces; ++i) {
        send(*node.pool, {node_id{"b"}, peer.address(), piece});
    }
    peer.say(caller, msg::ping_msg{});
    run_until(loop, [&] { return has<msg::pong_msg>(caller); });
    EXPECT_LT(caller->received.size(), pieces);
    run_until(loop, [&] { return caller->received.size() == pieces + 2; });
}

/// A node whose many pieces fill the link to a peer that has stopped to read.
class full_link_to_a_peer : public testing::Test {
protected:
    void SetUp() override {
        caller = peer.dial(node.address());
        peer.say_hello(caller);
        run_until(loop, [&] { return has<msg::hello_msg>(caller); });
        constexpr int small_buffer = 16'384;
        node.pool->links.at(0)->socket.set_option(tcp::socket::send_buffer_size(small_buffer));
        caller->socket.set_option(tcp::socket::receive_buffer_size(small_buffer));
        msg::call_data_msg piece;
        piece.body.resize(60'000);
        for (std::size_t i = 0; i < 120; ++i) {
            send(*node.pool, {node_id{"b"}, peer.address(), piece});
        }
        run_until(loop, [&] { return has<msg::call_data_msg>(caller); });
        caller->is_reading = false;
        const auto now = current_time();
        check_links(node.pool, now + ping_due);
        check_links(node.pool, now + silence_due);
        check_links(node.pool, now + silence_due);
        run_until(loop,
                  [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    }

    asio::io_context loop;
    loop_pool node{loop, "a"};
    scripted_peer peer{loop, "b"};
    scripted_link_ptr caller;
};

TEST_F(full_link_to_a_peer, stays_while_the_peer_takes_what_is_sent) {
    const auto before = caller->received.size();
    caller->is_reading = true;
    read_on(caller);
    run_until(loop, [&] { return caller->received.size() >= before + 10; });
    peer.say_hello(peer.links[1]);
    run_until(loop, [&] { return !node.closings("cause").empty(); });
    EXPECT_EQ(node.closings("cause"), std::vector<std::string>{"spare"});
    EXPECT_TRUE(node.lost.empty());
}

} // namespace
} // namespace cyclamenhatch::wire::on_loop

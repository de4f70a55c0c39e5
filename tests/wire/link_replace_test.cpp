#include "wire/loop_pools.h"

namespace cyclamenhatch::wire::on_loop {
namespace {

/// After the ping interval and before the silence timeout.
constexpr milliseconds after_ping_interval{silence_ms * 5 / 8};
/// After the silence timeout and before the dead timeout.
constexpr milliseconds after_silence_timeout{silence_ms * 5 / 4};
/// After the dead timeout.
constexpr milliseconds after_dead_timeout{silence_ms * 5 / 2};

/// A node with an established link to a scripted peer that has not answered a call's message.
class slow_peer : public testing::Test {
protected:
    void SetUp() override {
        send(*node.pool, {node_id{}, peer.address(), make_probe(1)});
        run_until(loop, [&] { return peer.links.size() == 1; });
        peer.send_hello(peer.links[0]);
        run_until(loop, [&] { return has<msg::probe_msg>(peer.links[0]); });
        send(*node.pool, {node_id{"b"}, peer.address(), msg::call_cancel_msg{}});
        run_until(loop, [&] { return has<msg::call_cancel_msg>(peer.links[0]); });
    }

    /// The peer was pinged and has been silent for longer than the silence timeout.
    void fall_silent() {
        const auto now = current_time();
        check_links(node.pool, now + after_ping_interval);
        run_until(loop, [&] { return has<msg::ping_msg>(peer.links[0]); });
        // The first check pings again, the second dials a spare.
        check_links(node.pool, now + after_silence_timeout);
        check_links(node.pool, now + after_silence_timeout);
    }

    asio::io_context loop;
    loop_pool node{loop, "a"};
    scripted_peer peer{loop, "b"};
};

TEST_F(slow_peer, keeps_its_link_when_the_answer_comes_late) {
    fall_silent();
    peer.send_message(peer.links[0], make_probe(2));
    run_until(loop,
              [&] { return !node.received.empty() || !node.closed_link_values("cause").empty(); });
    EXPECT_TRUE(node.closed_link_values("cause").empty());
    EXPECT_TRUE(node.lost_peers.empty());
    EXPECT_EQ(node.received.size(), 1U);
}

TEST_F(slow_peer, closes_the_spare_when_the_link_shows_life_first) {
    fall_silent();
    run_until(loop, [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    peer.send_message(peer.links[0], make_probe(2));
    run_until(loop, [&] { return !node.received.empty(); });
    peer.send_hello(peer.links[1]);
    run_until(loop, [&] { return peer.links[1]->is_ended; });
    EXPECT_EQ(node.closed_link_values("cause"), std::vector<std::string>{"spare"});
    EXPECT_TRUE(node.lost_peers.empty());
    send(*node.pool, {node_id{"b"}, peer.address(), msg::config_notice_msg{}});
    run_until(loop, [&] { return has<msg::config_notice_msg>(peer.links[0]); });
    EXPECT_FALSE(has<msg::config_notice_msg>(peer.links[1]));
}

TEST_F(slow_peer, has_its_link_replaced_when_only_the_spare_answers) {
    fall_silent();
    run_until(loop, [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    EXPECT_TRUE(node.lost_peers.empty());
    peer.send_hello(peer.links[1]);
    run_until(loop, [&] { return peer.links[0]->is_ended; });
    EXPECT_EQ(node.closed_link_values("cause"), std::vector<std::string>{"replaced"});
    EXPECT_EQ(node.lost_peers, std::vector<node_id>{node_id{"b"}});
    send(*node.pool, {node_id{"b"}, peer.address(), msg::config_notice_msg{}});
    run_until(loop, [&] { return has<msg::config_notice_msg>(peer.links[1]); });
    EXPECT_EQ(peer.links.size(), 2U);
    EXPECT_TRUE(node.undelivered.empty());
}

TEST_F(slow_peer, is_tested_by_one_spare_at_a_time) {
    fall_silent();
    check_links(node.pool, current_time() + after_silence_timeout);
    run_until(loop, [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    check_links(node.pool, current_time() + after_silence_timeout);
    EXPECT_EQ(counters(*node.pool).links_opened, 2U);
}

TEST_F(slow_peer, loses_its_link_when_no_link_answers) {
    fall_silent();
    check_links(node.pool, current_time() + after_dead_timeout);
    EXPECT_EQ(node.closed_link_values("cause"), std::vector<std::string>{"silent"});
    EXPECT_EQ(node.lost_peers, std::vector<node_id>{node_id{"b"}});
    EXPECT_EQ(counters(*node.pool).links_silent, 1U);
}

TEST_F(slow_peer, that_dials_too_keeps_at_least_one_link) {
    fall_silent();
    run_until(loop, [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    const auto peer_dialled = peer.dial(node.address());
    peer.send_hello(peer_dialled);
    run_until(loop, [&] { return has<msg::hello_msg>(peer_dialled); });
    peer.send_hello(peer.links[1]);
    run_until(loop, [&] { return peer.links[0]->is_ended; });
    EXPECT_EQ(node.closed_link_values("cause"), std::vector<std::string>{"replaced"});
    // The peer sends over the link that it dialled; this node may send over either link.
    peer.send_message(peer_dialled, make_probe(3));
    run_until(loop, [&] { return node.received.size() == 1; });
    EXPECT_FALSE(peer_dialled->is_ended);
    EXPECT_EQ(node.closed_link_values("cause").size(), 1U);
    send(*node.pool, {node_id{"b"}, peer.address(), msg::config_notice_msg{}});
    run_until(loop, [&] {
        return has<msg::config_notice_msg>(peer_dialled) ||
               has<msg::config_notice_msg>(peer.links[1]);
    });
}

TEST_F(slow_peer, that_sends_over_a_new_link_has_its_old_link_closed) {
    peer.send_message(peer.links[0], make_probe(2));
    run_until(loop, [&] { return node.received.size() == 1; });
    const auto new_link = peer.dial(node.address());
    peer.send_hello(new_link);
    run_until(loop, [&] { return has<msg::hello_msg>(new_link); });
    EXPECT_TRUE(node.closed_link_values("cause").empty());
    peer.send_message(new_link, make_probe(3));
    run_until(loop, [&] { return peer.links[0]->is_ended; });
    EXPECT_EQ(node.closed_link_values("cause"), std::vector<std::string>{"replaced"});
    EXPECT_EQ(node.received.size(), 2U);
    send(*node.pool, {node_id{"b"}, peer.address(), msg::config_notice_msg{}});
    run_until(loop, [&] { return has<msg::config_notice_msg>(new_link); });
}

TEST_F(slow_peer, that_closes_a_link_without_calls_is_not_lost_while_another_is_open) {
    const auto new_link = peer.dial(node.address());
    peer.send_hello(new_link);
    run_until(loop, [&] { return has<msg::hello_msg>(new_link); });
    new_link->socket.close();
    run_until(loop, [&] { return !node.closed_link_values("cause").empty(); });
    EXPECT_TRUE(node.lost_peers.empty());
    peer.links[0]->socket.close();
    run_until(loop, [&] { return node.closed_link_values("cause").size() == 2; });
    EXPECT_EQ(node.lost_peers, std::vector<node_id>{node_id{"b"}});
}

TEST_F(slow_peer, that_is_dialled_at_another_address_is_sent_to_over_the_link_in_use) {
    scripted_peer contact(loop, "b");
    send(*node.pool, {node_id{}, contact.address(), msg::config_notice_msg{}});
    run_until(loop, [&] { return contact.links.size() == 1; });
    contact.send_hello(contact.links[0]);
    run_until(loop, [&] { return has<msg::config_notice_msg>(peer.links[0]); });
    EXPECT_FALSE(has<msg::config_notice_msg>(contact.links[0]));
    EXPECT_TRUE(node.closed_link_values("cause").empty());
}

TEST(two_pools, that_dial_each_other_at_once_deliver_all_messages_in_order) {
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
    EXPECT_TRUE(first.closed_link_values("cause").empty());
    EXPECT_TRUE(second.closed_link_values("cause").empty());
}

TEST(full_link, answers_a_ping_ahead_of_the_queue) {
    asio::io_context loop;
    loop_pool node(loop, "a");
    scripted_peer peer(loop, "b");
    const auto peer_link = peer.dial(node.address());
    peer.send_hello(peer_link);
    run_until(loop, [&] { return has<msg::hello_msg>(peer_link); });
    // Small socket buffers, so that most pieces are still queued when the ping is answered.
    constexpr int small_buffer = 16'384;
    node.pool->links.at(0)->socket.set_option(tcp::socket::send_buffer_size(small_buffer));
    peer_link->socket.set_option(tcp::socket::receive_buffer_size(small_buffer));
    msg::call_data_msg piece;
    piece.body.resize(60'000);
    constexpr std::size_t pieces = 120;
    for (std::size_t i = 0; i < pieces; ++i) {
        send(*node.pool, {node_id{"b"}, peer.address(), piece});
    }
    peer.send_message(peer_link, msg::ping_msg{});
    run_until(loop, [&] { return has<msg::pong_msg>(peer_link); });
    EXPECT_LT(peer_link->received.size(), pieces);
    run_until(loop, [&] { return peer_link->received.size() == pieces + 2; });
}

/// A node that has filled the link to a peer which has stopped reading.
class full_link_to_a_peer : public testing::Test {
protected:
    void SetUp() override {
        peer_link = peer.dial(node.address());
        peer.send_hello(peer_link);
        run_until(loop, [&] { return has<msg::hello_msg>(peer_link); });
        constexpr int small_buffer = 16'384;
        node.pool->links.at(0)->socket.set_option(tcp::socket::send_buffer_size(small_buffer));
        peer_link->socket.set_option(tcp::socket::receive_buffer_size(small_buffer));
        msg::call_data_msg piece;
        piece.body.resize(60'000);
        for (std::size_t i = 0; i < 120; ++i) {
            send(*node.pool, {node_id{"b"}, peer.address(), piece});
        }
        run_until(loop, [&] { return has<msg::call_data_msg>(peer_link); });
        peer_link->is_reading = false;
        const auto now = current_time();
        check_links(node.pool, now + after_ping_interval);
        check_links(node.pool, now + after_silence_timeout);
        check_links(node.pool, now + after_silence_timeout);
        run_until(loop,
                  [&] { return peer.links.size() == 2 && has<msg::hello_msg>(peer.links[1]); });
    }

    asio::io_context loop;
    loop_pool node{loop, "a"};
    scripted_peer peer{loop, "b"};
    scripted_link_ptr peer_link;
};

TEST_F(full_link_to_a_peer, stays_open_while_the_peer_reads) {
    const auto before = peer_link->received.size();
    peer_link->is_reading = true;
    start_read(peer_link);
    run_until(loop, [&] { return peer_link->received.size() >= before + 10; });
    peer.send_hello(peer.links[1]);
    run_until(loop, [&] { return !node.closed_link_values("cause").empty(); });
    EXPECT_EQ(node.closed_link_values("cause"), std::vector<std::string>{"spare"});
    EXPECT_TRUE(node.lost_peers.empty());
}

msg::call_open_msg make_open(std::uint64_t number) {
    msg::call_open_msg open;
    open.call = std::make_unique<msg::call_key>(number, number);
    return open;
}

msg::call_cancel_msg make_cancel(std::uint64_t number) {
    msg::call_cancel_msg cancel;
    cancel.call = std::make_unique<msg::call_key>(number, number);
    return cancel;
}

/// Guards against a cancel that waits behind large answers while its call runs.
TEST_F(full_link_to_a_peer, lets_a_cancel_overtake) {
    send(*node.pool, {node_id{"b"}, peer.address(), make_cancel(1)});
    send(*node.pool, {node_id{"b"}, peer.address(), make_probe(1)});
    peer_link->is_reading = true;
    start_read(peer_link);
    run_until(loop, [&] { return has<msg::probe_msg>(peer_link); });
    const auto& received = peer_link->received;
    const auto is_cancel = [](const incoming& message) {
        return std::holds_alternative<msg::call_cancel_msg>(message.message);
    };
    const auto cancel = std::find_if(received.begin(), received.end(), is_cancel);
    ASSERT_NE(cancel, received.end());
    const auto pieces_behind = std::count_if(cancel, received.end(), [](const incoming& message) {
        return std::holds_alternative<msg::call_data_msg>(message.message);
    });
    EXPECT_GT(pieces_behind, 0);
}

/// Guards against opening a call whose caller has left while the call waited for a full link.
TEST_F(full_link_to_a_peer, withdraws_a_call_that_is_cancelled_before_it_is_sent) {
    send(*node.pool, {node_id{"b"}, peer.address(), make_open(1)});
    send(*node.pool, {node_id{"b"}, peer.address(), make_open(2)});
    send(*node.pool, {node_id{"b"}, peer.address(), make_cancel(1)});
    send(*node.pool, {node_id{"b"}, peer.address(), make_probe(1)});
    peer_link->is_reading = true;
    start_read(peer_link);
    run_until(loop, [&] { return has<msg::probe_msg>(peer_link); });
    std::vector<std::uint64_t> opened;
    for (const auto& message : peer_link->received) {
        if (const auto* open = std::get_if<msg::call_open_msg>(&message.message)) {
            opened.push_back(open->call->high());
        }
    }
    EXPECT_EQ(opened, std::vector<std::uint64_t>{2});
}

/// Guards against a cancel that is lost without a report when its link closes.
TEST_F(full_link_to_a_peer, returns_a_cancel_that_it_has_not_sent) {
    send(*node.pool, {node_id{"b"}, peer.address(), make_cancel(1)});
    loop.poll();
    const auto full_link = node.pool->links.at(0);
    close_link(*node.pool, full_link, {close_cause::silent, ""});
    EXPECT_TRUE(
        std::any_of(node.undelivered.begin(), node.undelivered.end(), [](const outgoing& message) {
            return std::holds_alternative<msg::call_cancel_msg>(message.message);
        }));
}

/// Guards against a late node that does not notice how long messages waited for it.
TEST(received_message, states_how_long_it_waited_on_its_link) {
    asio::io_context loop;
    loop_pool node(loop, "a");
    scripted_peer peer(loop, "b");
    const auto peer_link = peer.dial(node.address());
    peer.send_hello(peer_link);
    constexpr microseconds encoded{9'000'000};
    const auto send_encoded_at = [&](microseconds sent) {
        asio::write(peer_link->socket,
                    asio::buffer(make_frame(encode_envelope(node_id{"b"}, make_probe(1), sent))));
    };
    send_encoded_at(encoded);
    send_encoded_at(encoded - milliseconds{1663});
    run_until(loop, [&] { return node.received.size() == 2; });
    EXPECT_EQ(node.received[0].delay.count(), 0);
    EXPECT_GE(node.received[1].delay, milliseconds{1663});
}

} // namespace
} // namespace cyclamenhatch::wire::on_loop

#include "wire/loop_pools.h"

namespace cyclamenhatch::wire::on_loop {
namespace {

/// After the ping interval and before the silence timeout.
constexpr milliseconds ping_due{silence_ms * 3 / 4};
/// After the silence timeout and before links are given up.
constexpr milliseconds silence_due{silence_ms * 5 / 4};

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

} // namespace
} // namespace cyclamenhatch::wire::on_loop

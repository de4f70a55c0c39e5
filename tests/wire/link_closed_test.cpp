#include "wire/loop_pools.h"

namespace cyclamenhatch::wire::on_loop {
namespace {

TEST(link_closed, is_logged_and_counted_with_cause_and_error) {
    asio::io_context loop;
    loop_pool node(loop, "a");
    scripted_peer peer(loop, "b");
    send(*node.pool, {node_id{}, peer.address(), make_probe(1)});
    run_until(loop, [&] { return peer.links.size() == 1; });
    peer.send_hello(peer.links[0]);
    run_until(loop, [&] { return has<msg::probe_msg>(peer.links[0]); });
    peer.links[0]->socket.close();
    run_until(loop, [&] { return !node.closed_link_values("cause").empty(); });
    EXPECT_EQ(node.closed_link_values("cause"), std::vector<std::string>{"peer_closed"});
    EXPECT_EQ(node.closed_link_values("peer"), std::vector<std::string>{"b"});
    EXPECT_EQ(node.closed_link_values("is_dialled"), std::vector<std::string>{"true"});
    EXPECT_EQ(node.closed_link_values("queued_frames"), std::vector<std::string>{"0"});
    EXPECT_EQ(node.closed_link_values("error").size(), 1U);
    EXPECT_EQ(node.closed_link_values("pinged_ms").size(), 0U);
    const auto counts = counters(*node.pool);
    EXPECT_EQ(counts.links_closed.at(static_cast<std::size_t>(close_cause::peer_closed)), 1U);
}

TEST(link_closed, is_logged_for_established_links_only) {
    asio::io_context loop;
    loop_pool node(loop, "a");
    scripted_peer peer(loop, "b");
    send(*node.pool, {node_id{}, peer.address(), make_probe(1)});
    run_until(loop, [&] { return peer.links.size() == 1 && has<msg::hello_msg>(peer.links[0]); });
    peer.links[0]->socket.close();
    run_until(loop, [&] { return !node.undelivered.empty(); });
    EXPECT_TRUE(node.log_events.empty());
    const auto counts = counters(*node.pool);
    EXPECT_EQ(counts.links_closed.at(static_cast<std::size_t>(close_cause::peer_closed)), 1U);
}

TEST(link_counters, count_the_bytes_of_each_traffic_kind) {
    asio::io_context loop;
    loop_pool first(loop, "a");
    loop_pool second(loop, "b");
    send(*first.pool, {node_id{}, second.address(), make_probe(1)});
    send(*first.pool, {node_id{}, second.address(), msg::config_notice_msg{}});
    send(*first.pool, {node_id{}, second.address(), msg::move_evidence_msg{}});
    send(*first.pool, {node_id{}, second.address(), msg::call_cancel_msg{}});
    run_until(loop, [&] { return second.received.size() == 4; });
    const auto counts = counters(*first.pool);
    std::uint64_t total = 0;
    for (const auto bytes : counts.bytes_sent) {
        EXPECT_GT(bytes, 0U);
        total += bytes;
    }
    EXPECT_EQ(total, counts.control_bytes_sent + counts.call_bytes_sent);
    EXPECT_EQ(counts.bytes_sent.at(static_cast<std::size_t>(traffic_kind::call)),
              counts.call_bytes_sent);
}

} // namespace
} // namespace cyclamenhatch::wire::on_loop

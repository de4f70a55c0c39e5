#include "wire/loop_pools.h"

#include "model/handler_guard.h"

#include <stdexcept>

/// Exceptions while a message from a link is handled.
namespace cyclamenhatch::wire::on_loop {
namespace {

constexpr std::uint64_t faulty_sequence = 13;

bool is_faulty(const incoming& message) {
    const auto* probe = std::get_if<msg::probe_msg>(&message.message);
    return probe != nullptr && probe->sequence == faulty_sequence;
}

/// Guards against one message whose handling fails and that ends all links and calls of its node,
/// and against a link that goes on without the message: what was sent on it keeps its order.
TEST(fault_of_a_link, closes_that_link_and_no_other) {
    asio::io_context loop;
    loop_pool node(loop, "a");
    node.pool->events.on_message = [&](incoming message) {
        if (is_faulty(message)) {
            throw std::length_error("vector::_M_default_append");
        }
        node.received.push_back(std::move(message));
    };
    scripted_peer faulty(loop, "b");
    scripted_peer other(loop, "c");
    const auto faulty_link = faulty.dial(node.address());
    const auto other_link = other.dial(node.address());
    faulty.send_hello(faulty_link);
    other.send_hello(other_link);
    faulty.send_message(faulty_link, make_probe(faulty_sequence));
    faulty.send_message(faulty_link, make_probe(faulty_sequence + 1));
    run_until(loop, [&] { return faulty_link->is_ended; });
    EXPECT_TRUE(node.received.empty()) << "the message behind the lost one was delivered";
    other.send_message(other_link, make_probe(1));
    run_until(loop, [&] { return node.received.size() == 1; });
    EXPECT_FALSE(other_link->is_ended);
    EXPECT_EQ(node.lost_peers, std::vector<node_id>{node_id("b")});
    EXPECT_EQ(node.closed_link_values("cause"), std::vector<std::string>{"handler_failed"});
    const auto is_failed = [](const log_event& event) { return event.name == "handler_failed"; };
    const auto& events = node.log_events;
    ASSERT_EQ(std::count_if(events.begin(), events.end(), is_failed), 1);
    EXPECT_EQ(to_line(*std::find_if(events.begin(), events.end(), is_failed)),
              "event=handler_failed place=link request=b reason=vector::_M_default_append");
}

/// Guards against links that go on with a table that an exception has left half changed.
TEST(fault_of_a_link, ends_the_loop_when_it_has_left_shared_state) {
    asio::io_context loop;
    loop_pool node(loop, "a");
    node.pool->events.on_message = [](const incoming&) {
        const shared_state_scope scope;
        throw std::length_error("vector::_M_default_append");
    };
    scripted_peer faulty(loop, "b");
    const auto faulty_link = faulty.dial(node.address());
    faulty.send_hello(faulty_link);
    faulty.send_message(faulty_link, make_probe(1));
    EXPECT_THROW(run_until(loop, [] { return false; }), std::length_error);
    EXPECT_TRUE(node.closed_link_values("cause").empty());
}

} // namespace
} // namespace cyclamenhatch::wire::on_loop

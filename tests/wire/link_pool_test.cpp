#include "wire/link_pool.h"

#include "wire/frame_reader.h"

#include <boost/asio.hpp>
#include <future>
#include <gtest/gtest.h>

namespace cyclamenhatch::wire {
namespace {

namespace asio = boost::asio;

msg::settings_msg make_settings(const std::string& node, const std::string& key) {
    msg::settings_msg settings;
    settings.identity = std::make_unique<msg::identity_settings_msg>();
    settings.identity->node = node;
    settings.listen = std::make_unique<msg::listen_settings_msg>();
    settings.listen->ip = "127.0.0.1";
    settings.listen->link_port = 0;
    settings.cluster = std::make_unique<msg::cluster_settings_msg>();
    settings.cluster->key = key;
    settings.link = std::make_unique<msg::link_settings_msg>();
    return settings;
}

template <typename value> void set_first(std::promise<value>& first, value reported) {
    try {
        first.set_value(std::move(reported));
    } catch (const std::future_error&) {
        // Only the first report is kept; links that close with the test report again.
    }
}

/// A pool with the first message and event of each kind that it reported.
struct test_pool {
    test_pool(const std::string& node, const std::string& key)
        : settings(make_settings(node, key)) {
        pool = open_link_pool(
            settings,
            {.on_message = [this](incoming message) { received.set_value(std::move(message)); },
             .on_link_lost = [](const node_id&) {},
             .on_undelivered =
                 [this](outgoing message) { undelivered.set_value(std::move(message)); },
             .on_log = [this](const log_event& event) { set_first(log_events, event); }});
        start(*pool);
    }
    test_pool(const test_pool&) = delete;
    test_pool& operator=(const test_pool&) = delete;
    ~test_pool() { stop(*pool); }

    [[nodiscard]] peer_address address() const { return {"127.0.0.1", link_port(*pool)}; }

    msg::settings_msg settings;
    std::promise<incoming> received;
    std::promise<outgoing> undelivered;
    std::promise<log_event> log_events;
    std::shared_ptr<link_pool> pool;
};

msg::probe_msg make_probe() {
    msg::probe_msg probe;
    probe.sequence = 5;
    return probe;
}

TEST(link_pool, delivers_with_the_sender_of_the_link_and_answers_on_the_same_link) {
    test_pool first("a", "key");
    test_pool second("b", "key");
    send(*first.pool, {node_id{}, second.address(), make_probe()});
    const auto message = second.received.get_future().get();
    EXPECT_EQ(message.from, node_id{"a"});
    EXPECT_EQ(message.message, peer_message{make_probe()});
    send(*second.pool, {node_id{"a"}, {}, make_probe()});
    EXPECT_EQ(first.received.get_future().get().from, node_id{"b"});
    EXPECT_EQ(counters(*second.pool).links_opened, 1U);
}

TEST(link_pool, refuses_a_link_without_the_cluster_key_and_returns_its_messages) {
    test_pool outsider("a", "another key");
    test_pool member("b", "key");
    send(*outsider.pool, {node_id{}, member.address(), make_probe()});
    EXPECT_EQ(member.log_events.get_future().get().name, "link_refused");
    EXPECT_EQ(outsider.undelivered.get_future().get().message, peer_message{make_probe()});
    EXPECT_EQ(counters(*member.pool).links_refused, 1U);
}

TEST(link_pool, returns_messages_for_an_address_without_a_listener) {
    test_pool sender("a", "key");
    // Bound but not listening: the port refuses connections while the test runs.
    asio::io_context context;
    asio::ip::tcp::socket bound(context);
    bound.open(asio::ip::tcp::v4());
    bound.bind({asio::ip::make_address("127.0.0.1"), 0});
    const peer_address address{"127.0.0.1", bound.local_endpoint().port()};
    send(*sender.pool, {node_id{"gone"}, address, make_probe()});
    EXPECT_EQ(sender.undelivered.get_future().get().to, node_id{"gone"});
}

class broken_stream : public testing::TestWithParam<std::string> {};

TEST_P(broken_stream, closes_the_link_and_the_pool_keeps_working) {
    test_pool receiver("b", "key");
    asio::io_context context;
    asio::ip::tcp::socket socket(context);
    socket.connect({asio::ip::make_address("127.0.0.1"), link_port(*receiver.pool)});
    asio::write(socket, asio::buffer(GetParam()));
    std::string answer;
    boost::system::error_code read_error;
    asio::read(socket, asio::dynamic_buffer(answer), read_error);
    EXPECT_TRUE(answer.empty());
    EXPECT_TRUE(read_error);
    test_pool valid_peer("a", "key");
    send(*valid_peer.pool, {node_id{}, receiver.address(), make_probe()});
    EXPECT_EQ(receiver.received.get_future().get().from, node_id{"a"});
}

INSTANTIATE_TEST_SUITE_P(table, broken_stream,
                         testing::Values(std::string(8, '\xFF'), make_frame("no envelope"),
                                         std::string("GET / HTTP/1.1\r\n\r\n")));

} // namespace
} // namespace cyclamenhatch::wire

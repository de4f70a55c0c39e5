#include "joined_paths.h"

#include "edge/http_message.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenhatch::edge::testing {
namespace {

/// A gate on a loop that the test runs, and what it sends.
class late_gate : public ::testing::Test {
protected:
    void TearDown() override {
        (void)stop(*node.path);
        io.poll();
    }

    void receive_open(std::uint64_t number, const std::string& path, microseconds time_left,
                      microseconds delay) const {
        auto open = make_open(number, path);
        std::get<msg::call_open_msg>(open.message).deadline_us =
            static_cast<std::uint64_t>(time_left.count());
        open.delay = delay;
        on_message(*node.path, std::move(open));
    }

    /// Runs a call that nothing delays to its end, so that whatever was due before it has happened.
    void run_prompt_call() {
        on_message(*node.path, make_open(100, "/status/201"));
        while (upstream.runs("/status/201") == 0 || count_in_flight(*node.path) > 0) {
            io.poll();
        }
    }

    [[nodiscard]] std::vector<msg::call_refused_msg> refusals() const {
        std::vector<msg::call_refused_msg> found;
        for (const auto& message : sent) {
            if (const auto* refused = std::get_if<msg::call_refused_msg>(&message)) {
                found.push_back(*refused);
            }
        }
        return found;
    }

    fake_upstream upstream;
    boost::asio::io_context io;
    std::vector<peer_message> sent;
    lone_node node = start_lone_node(upstream.port(), io, {}, [this](const outgoing& message) {
        sent.push_back(message.message);
    });
};

/// Guards against a deadline that moves with the time that a call waits on its link.
TEST_F(late_gate, does_not_run_a_call_whose_deadline_has_passed_on_its_link) {
    receive_open(1, "/ok", milliseconds{800}, milliseconds{1663});
    run_prompt_call();
    EXPECT_EQ(upstream.runs("/ok"), 0);
    ASSERT_EQ(refusals().size(), 1U);
    EXPECT_EQ(refusals()[0].outcome, msg::call_outcome::not_run);
    EXPECT_EQ(refusals()[0].reason, msg::refusal_reason::deadline);
}

/// Guards against running a call that waited on its link while its cancel is still behind it.
TEST_F(late_gate, does_not_run_a_call_whose_cancel_comes_a_batch_later) {
    receive_open(1, "/ok", milliseconds{10'000}, milliseconds{1663});
    run_prompt_call();
    on_message(*node.path, make_cancel(1));
    EXPECT_EQ(upstream.runs("/ok"), 0);
    ASSERT_EQ(refusals().size(), 1U);
    EXPECT_EQ(refusals()[0].outcome, msg::call_outcome::not_run);
    // The entry knows whether its caller still waits, and may then send the call again.
    EXPECT_TRUE(refusals()[0].retry_helps);
}

/// Guards against sending a call to the upstream with no time left.
TEST_F(late_gate, does_not_run_a_call_whose_deadline_passes_before_its_turn) {
    receive_open(1, "/ok", milliseconds{20}, milliseconds{0});
    std::this_thread::sleep_for(std::chrono::milliseconds(50));
    run_prompt_call();
    EXPECT_EQ(upstream.runs("/ok"), 0);
    ASSERT_EQ(refusals().size(), 1U);
    EXPECT_EQ(refusals()[0].outcome, msg::call_outcome::not_run);
    EXPECT_EQ(refusals()[0].reason, msg::refusal_reason::deadline);
}

struct lost_cancel_row {
    const char* name;
    /// Whether the entry is told that the cancel was not sent; otherwise it is told that the link
    /// was lost.
    bool is_undelivered;
};

class lost_cancel : public ::testing::TestWithParam<lost_cancel_row> {};

/// Guards against an upstream that works on for a caller that has left, because the cancel was lost
/// with a link.
TEST_P(lost_cancel, is_sent_again) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    std::promise<msg::call_cancel_msg> cancel;
    paths.lose(
        [&, is_first = true](const node_id& /*receiver*/, const peer_message& message) mutable {
            const auto* found = std::get_if<msg::call_cancel_msg>(&message);
            const bool is_lost = found != nullptr && std::exchange(is_first, is_first && !found);
            if (is_lost) {
                cancel.set_value(*found);
            }
            return is_lost;
        });
    {
        boost::asio::io_context callers;
        boost::asio::ip::tcp::socket socket(callers);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), paths.entry_port()});
        boost::asio::write(socket, boost::asio::buffer(request("GET /hold")));
        upstream.wait_for_runs("/hold", 1);
    }
    auto lost = cancel.get_future().get();
    EXPECT_EQ(count_in_flight(paths.gate()), 1U);
    if (GetParam().is_undelivered) {
        on_undelivered(paths.entry(), {node_id("gate"), {}, std::move(lost)});
    } else {
        on_link_lost(paths.entry(), node_id("gate"));
    }
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (count_in_flight(paths.gate()) > 0 && std::chrono::steady_clock::now() < give_up_at) {
        std::this_thread::yield();
    }
    EXPECT_EQ(count_in_flight(paths.gate()), 0U);
}

INSTANTIATE_TEST_SUITE_P(table, lost_cancel,
                         ::testing::Values(lost_cancel_row{"undelivered", true},
                                           lost_cancel_row{"sent_on_a_lost_link", false}),
                         [](const auto& row) { return std::string(row.param.name); });

/// Guards against another attempt for a caller that has left while the first was refused.
TEST(left_caller, gets_no_second_attempt) {
    boost::asio::io_context io;
    std::vector<outgoing> sent;
    const auto entry =
        start_lone_entry(io, [&](const outgoing& message) { sent.push_back(message); });
    const auto count_opens = [&] {
        return std::count_if(sent.begin(), sent.end(), [](const outgoing& message) {
            return std::holds_alternative<msg::call_open_msg>(message.message);
        });
    };
    msg::call_refused_msg refused;
    {
        boost::asio::io_context callers;
        boost::asio::ip::tcp::socket socket(callers);
        socket.connect({boost::asio::ip::make_address("127.0.0.1"), entry.caller_port});
        boost::asio::write(socket, boost::asio::buffer(request("GET /ok")));
        while (count_opens() == 0) {
            io.poll();
        }
        const auto& open = std::get<msg::call_open_msg>(sent.front().message);
        refused.call = std::make_unique<msg::call_key>(*open.call);
    }
    refused.outcome = msg::call_outcome::not_run;
    refused.reason = msg::refusal_reason::busy;
    refused.retry_helps = true;
    on_message(*entry.path, incoming{node_id("gate"), std::move(refused)});
    while (count_in_flight(*entry.path) > 0) {
        io.poll();
    }
    EXPECT_EQ(count_opens(), 1);
    (void)stop(*entry.path);
    io.poll();
}

} // namespace
} // namespace cyclamenhatch::edge::testing

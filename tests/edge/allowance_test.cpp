#include "joined_paths.h"

#include "model/digest.h"

#include <boost/asio.hpp>
#include <gtest/gtest.h>

#include <future>
#include <string>
#include <thread>
#include <vector>

/// Calls of a workspace with an allowance that the test itself keeps.
namespace cyclamenhatch::edge::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

const std::string key_header = "Authorization: Bearer secret-key\r\n";

class limited_calls : public ::testing::Test {
protected:
    void SetUp() override {
        paths.set_workspaces({{.name = workspace_id("pulo"),
                               .key_digests = {compute_digest("secret-key")},
                               .calls_per_s = 100,
                               .burst = 10}});
        paths.lose([this](const node_id&, const peer_message& message) {
            const auto* request = std::get_if<msg::allowance_request_msg>(&message);
            if (request != nullptr) {
                const std::lock_guard guard(lock);
                requests.push_back(*request);
            }
            return request != nullptr;
        });
    }

    /// Waits for the next request of the entry to the keeper.
    msg::allowance_request_msg next_request() {
        for (;; std::this_thread::yield()) {
            const std::lock_guard guard(lock);
            if (!requests.empty()) {
                auto request = requests.front();
                requests.erase(requests.begin());
                return request;
            }
        }
    }

    void answer(const msg::allowance_request_msg& request, std::uint32_t calls,
                std::uint32_t retry_after_ms) {
        msg::allowance_loan_msg loan;
        loan.sequence = request.sequence;
        loan.lifetime_ms = 150;
        loan.items.push_back(std::make_unique<msg::allowance_item_msg>(*request.items.at(0)));
        loan.items[0]->calls = calls;
        loan.items[0]->retry_after_ms = retry_after_ms;
        on_message(paths.entry(), incoming{node_id("gate"), std::move(loan)});
    }

    std::future<std::string> start_call() {
        return std::async(std::launch::async, [this] {
            return paths.ask_raw(request("GET /ok", key_header + "Connection: close\r\n"));
        });
    }

    fake_upstream upstream;
    joined_paths paths{upstream.port()};
    std::mutex lock;
    std::vector<msg::allowance_request_msg> requests;
};

TEST_F(limited_calls, run_with_a_lent_call_only) {
    auto call = start_call();
    const auto asked = next_request();
    EXPECT_EQ(asked.items.at(0)->workspace, "pulo");
    EXPECT_EQ(asked.items.at(0)->calls, 1U);
    EXPECT_EQ(upstream.runs("/ok"), 0);
    answer(asked, 1, 0);
    EXPECT_NE(call.get().find(" 200 "), std::string::npos);
    EXPECT_EQ(upstream.runs("/ok"), 1);
}

TEST_F(limited_calls, get_429_with_the_time_that_the_keeper_states) {
    auto call = start_call();
    answer(next_request(), 0, 2000);
    const auto text = call.get();
    EXPECT_NE(text.find(" 429 "), std::string::npos) << text;
    EXPECT_NE(text.find("Retry-After: "), std::string::npos) << text;
    EXPECT_NE(text.find("allowance_exceeded"), std::string::npos) << text;
    EXPECT_EQ(upstream.runs("/ok"), 0);
}

TEST_F(limited_calls, have_the_fixed_part_while_the_keeper_is_silent) {
    // The only node has half of the slack.
    for (int i = 0; i < 10; ++i) {
        EXPECT_NE(start_call().get().find(" 200 "), std::string::npos) << i;
    }
    EXPECT_NE(start_call().get().find(" 429 "), std::string::npos);
    EXPECT_EQ(upstream.runs("/ok"), 10);
    EXPECT_EQ(paths.events("allowance_keeper_silent").size(), 1U);
}

TEST_F(limited_calls, are_dropped_when_their_callers_leave) {
    asio::io_context io;
    tcp::socket caller(io);
    caller.connect({asio::ip::make_address("127.0.0.1"), paths.entry_port()});
    asio::write(caller, asio::buffer(request("GET /ok", key_header)));
    const auto asked = next_request();
    caller.close();
    while (count_in_flight(paths.entry()) > 0) {
        std::this_thread::yield();
    }
    answer(asked, 1, 0);
    std::this_thread::sleep_for(milliseconds{150});
    EXPECT_EQ(upstream.runs("/ok"), 0);
}

} // namespace
} // namespace cyclamenhatch::edge::testing

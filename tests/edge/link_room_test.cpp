#include "joined_paths.h"

#include "call/call_key.h"
#include "edge/http_message.h"

#include <gtest/gtest.h>

#include <map>

namespace cyclamenhatch::edge::testing {
namespace {

/// What a link of 10 Mbit a second carries in 100 ms.
constexpr std::uint64_t link_window = 125'000;
constexpr std::uint64_t calls = 4;
constexpr int idle_polls = 2000;

incoming make_arrived(std::uint64_t number, std::uint64_t bytes) {
    msg::call_credit_msg credit;
    credit.call = call::make_key({1, number});
    credit.received = bytes;
    credit.taken = bytes;
    return {node_id("entry"), std::move(credit)};
}

/// A gate on a slow link with several large answers to send, and the bytes sent of each.
struct busy_gate {
    busy_gate() {
        for (std::uint64_t number = 1; number <= calls; ++number) {
            on_message(*node.path, make_open(number, "/bytes/900000"));
        }
        while (sent.size() < calls) {
            io.poll();
        }
    }

    ~busy_gate() {
        (void)stop(*node.path);
        io.poll();
    }
    busy_gate(const busy_gate&) = delete;
    busy_gate& operator=(const busy_gate&) = delete;

    void note(const outgoing& message) {
        if (const auto* head = std::get_if<msg::call_answer_msg>(&message.message)) {
            sent[head->call->low()] += head->body.size();
        } else if (const auto* data = std::get_if<msg::call_data_msg>(&message.message)) {
            sent[data->call->low()] += data->body.size();
        }
    }

    [[nodiscard]] std::uint64_t sent_of_all() const {
        std::uint64_t sum = 0;
        for (const auto& [number, bytes] : sent) {
            sum += bytes;
        }
        return sum;
    }

    /// Runs until `bytes` were sent, and then long enough to see whether more follow.
    void run_until_sent(std::uint64_t bytes) {
        while (sent_of_all() < bytes) {
            io.poll();
        }
        for (int poll = 0; poll < idle_polls; ++poll) {
            io.poll();
            std::this_thread::yield();
        }
    }

    fake_upstream upstream;
    boost::asio::io_context io;
    std::map<std::uint64_t, std::uint64_t> sent;
    lone_node node = start_lone_node(upstream.port(), io, "10 Mbit/s",
                                     [this](const outgoing& message) { note(message); });
};

/// Guards against pings, other calls and answers that wait for seconds behind downloads on the
/// gate's link, and against links that are closed because of that wait.
TEST(link_room, large_answers_leave_room_for_other_messages) {
    busy_gate gate;
    gate.run_until_sent(link_window);
    EXPECT_LE(gate.sent_of_all(), link_window + calls * piece_bytes);
    const auto first = gate.sent.at(1);
    on_message(*gate.node.path, make_arrived(1, first));
    gate.run_until_sent(link_window + first);
    EXPECT_LE(gate.sent_of_all(), link_window + first + calls * piece_bytes);
}

/// Guards against a slow or dead entry that delays the answers to all other entries.
TEST(link_room, an_entry_that_takes_nothing_delays_no_other) {
    busy_gate gate;
    gate.run_until_sent(link_window);
    // Only the entry of the last call acknowledges what it receives.
    while (gate.sent.at(calls) < 900'000) {
        on_message(*gate.node.path, make_arrived(calls, gate.sent.at(calls)));
        gate.io.poll();
    }
    EXPECT_LE(gate.sent_of_all() - gate.sent.at(calls), link_window + calls * piece_bytes);
}

} // namespace
} // namespace cyclamenhatch::edge::testing

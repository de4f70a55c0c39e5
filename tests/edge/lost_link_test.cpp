#include "joined_paths.h"

#include "edge/http_message.h"

#include <gtest/gtest.h>

#include <future>
#include <ostream>

namespace cyclamenhatch::edge::testing {
namespace {

constexpr std::size_t body_size = 900'000;
/// The first piece is sent with the head.
constexpr int last_piece = static_cast<int>((body_size - 1) / piece_bytes);

enum class message_kind { answer_head, answer_piece, request_piece, credit };

struct loss_row {
    const char* name;
    message_kind kind;
    /// Which message of that kind is lost, counted from 1.
    int number;
    /// Whether the entry is notified that its link was lost; otherwise it notices only a gap or
    /// silence.
    bool is_noticed;

    friend std::ostream& operator<<(std::ostream& out, const loss_row& row) {
        return out << row.name;
    }
};

bool is_of_kind(message_kind kind, const node_id& receiver, const peer_message& message) {
    const bool is_to_entry = receiver == node_id("entry");
    switch (kind) {
    case message_kind::answer_head:
        return is_to_entry && std::holds_alternative<msg::call_answer_msg>(message);
    case message_kind::answer_piece:
        return is_to_entry && std::holds_alternative<msg::call_data_msg>(message);
    case message_kind::request_piece:
        return !is_to_entry && std::holds_alternative<msg::call_data_msg>(message);
    case message_kind::credit:
        return std::holds_alternative<msg::call_credit_msg>(message);
    }
    return false;
}

/// Loses the message of a kind with the given number.
void lose_one(joined_paths& paths, message_kind kind, int number) {
    paths.lose([=, count = 0](const node_id& receiver, const peer_message& message) mutable {
        return is_of_kind(kind, receiver, message) && ++count == number;
    });
}

/// Waits for the answer; reports the lost link to the entry once the message is lost.
std::string wait_for(joined_paths& paths, std::future<std::string>& answer, bool is_noticed) {
    bool is_loss_reported = !is_noticed;
    while (answer.wait_for(std::chrono::milliseconds(1)) != std::future_status::ready) {
        if (!is_loss_reported && paths.lost_count() > 0) {
            is_loss_reported = true;
            on_link_lost(paths.entry(), node_id("gate"));
        }
    }
    return answer.get();
}

class lost_link : public ::testing::TestWithParam<loss_row> {};

/// Guards against an answer that is broken off midway because its link was lost.
TEST_P(lost_link, does_not_end_a_started_body) {
    const auto& row = GetParam();
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    lose_one(paths, row.kind, row.number);
    const auto body = counted_bytes(body_size);
    const bool is_upload = row.kind == message_kind::request_piece;
    const auto path = "/counted/" + std::to_string(body_size);
    const auto text = is_upload ? "POST /echo HTTP/1.1\r\nHost: shop\r\nContent-Length: " +
                                      std::to_string(body_size) + "\r\n\r\n" + body
                                : "GET " + path + " HTTP/1.1\r\nHost: shop\r\n\r\n";
    auto answer = std::async(std::launch::async, [&] { return paths.fetch(text); });
    const auto received = wait_for(paths, answer, row.is_noticed);
    EXPECT_EQ(received.size(), body.size());
    EXPECT_TRUE(received == body);
    EXPECT_EQ(upstream.runs(is_upload ? "/echo" : path), 1);
    EXPECT_EQ(paths.lost_count(), 1);
}

const loss_row loss_rows[] = {
    {"head", message_kind::answer_head, 1, true},
    {"first_piece", message_kind::answer_piece, 1, true},
    {"piece", message_kind::answer_piece, 5, true},
    {"last_piece", message_kind::answer_piece, last_piece, true},
    {"first_credit", message_kind::credit, 1, true},
    {"credit", message_kind::credit, 3, true},
    {"upload", message_kind::request_piece, 3, true},
    {"gap_before_a_piece", message_kind::answer_piece, 2, false},
    {"gap_in_an_upload", message_kind::request_piece, 2, false},
    {"last_piece_unnoticed", message_kind::answer_piece, last_piece, false},
};

INSTANTIATE_TEST_SUITE_P(table, lost_link, ::testing::ValuesIn(loss_rows),
                         [](const auto& row) { return std::string(row.param.name); });

/// Guards against a node that stops while the last pieces of an answer are still in flight.
TEST(lost_link, a_gate_is_busy_until_the_entry_has_the_whole_answer) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    lose_one(paths, message_kind::answer_piece, last_piece);
    const auto path = "/counted/" + std::to_string(body_size);
    const auto text = "GET " + path + " HTTP/1.1\r\nHost: shop\r\n\r\n";
    auto answer = std::async(std::launch::async, [&] { return paths.fetch(text); });
    while (paths.lost_count() == 0) {
        std::this_thread::yield();
    }
    // The slot is free again once the upstream is done with the call.
    EXPECT_EQ(paths.get("/ok"), "200 upstream ok");
    while (count_in_flight(paths.gate()) > 1) {
        std::this_thread::yield();
    }
    EXPECT_EQ(count_in_flight(paths.gate()), 1U);
    EXPECT_TRUE(wait_for(paths, answer, true) == counted_bytes(body_size));
    while (count_in_flight(paths.gate()) > 0) {
        std::this_thread::yield();
    }
}

/// Guards against a gate that waits forever for credits that were lost.
TEST(lost_link, lost_credits_are_resent) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    paths.lose(
        [has_reattached = false](const node_id& receiver, const peer_message& message) mutable {
            const auto* open = std::get_if<msg::call_open_msg>(&message);
            has_reattached = has_reattached || (open != nullptr && open->reattach);
            return !has_reattached && is_of_kind(message_kind::credit, receiver, message);
        });
    const auto path = "/counted/" + std::to_string(body_size);
    EXPECT_TRUE(paths.fetch("GET " + path + " HTTP/1.1\r\nHost: shop\r\n\r\n") ==
                counted_bytes(body_size));
}

} // namespace
} // namespace cyclamenhatch::edge::testing

#include "joined_paths.h"

#include "call/body_stream.h"
#include "call/call_key.h"
#include "edge/call_path_state.h"
#include "edge/gate_bodies.h"

#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <string>
#include <vector>

/// Answers that a gate has with another length than their upstream stated.
namespace cyclamenhatch::edge::testing {
namespace {

/// A gate with one call that its upstream has, and what it sends to the entry.
struct gate_with_call {
    explicit gate_with_call(const std::string& path) : path_text(path) {
        on_message(*node.path, make_open(1, path));
        while (upstream.runs(path) == 0) {
            io.poll();
        }
    }

    ~gate_with_call() {
        upstream.release();
        (void)stop(*node.path);
        io.poll();
    }
    gate_with_call(const gate_with_call&) = delete;
    gate_with_call& operator=(const gate_with_call&) = delete;

    void note(const outgoing& message) {
        if (const auto* answer = std::get_if<msg::call_answer_msg>(&message.message)) {
            ++answers;
            bytes_sent += answer->body.size();
        } else if (const auto* data = std::get_if<msg::call_data_msg>(&message.message)) {
            bytes_sent += data->body.size();
            has_sent_end = has_sent_end || data->last;
        } else if (const auto* refused = std::get_if<msg::call_refused_msg>(&message.message)) {
            outcome = refused->outcome;
        }
    }

    gate_flow_ptr flow() { return node.path->gate.flows.at({1, 1}); }

    /// Runs until the gate has sent all that it may send without a credit.
    void run_until_window_is_full() {
        while (bytes_sent < call::body_window_bytes) {
            io.poll();
        }
    }

    const std::string path_text;
    fake_upstream upstream;
    boost::asio::io_context io;
    int answers = 0;
    std::uint64_t bytes_sent = 0;
    bool has_sent_end = false;
    std::optional<msg::call_outcome> outcome;
    lone_node node = start_lone_node(upstream.port(), io, {},
                                     [this](const outgoing& message) { note(message); });
};

struct head_row {
    const char* name;
    unsigned status;
    std::vector<std::string> lengths;
    std::size_t bytes;
    bool is_last;

    friend std::ostream& operator<<(std::ostream& out, const head_row& row) {
        return out << row.name;
    }
};

answer_head make_head(const head_row& row) {
    answer_head head{.status = row.status, .headers = {}};
    for (const auto& length : row.lengths) {
        head.headers.push_back({"content-length", length});
    }
    return head;
}

class gate_answer : public ::testing::TestWithParam<head_row> {};

/// Guards against a gate that passes on, and keeps for later, an answer without all its bytes or
/// with more.
TEST_P(gate_answer, of_another_length_ends_as_unknown) {
    const auto& row = GetParam();
    gate_with_call gate("/hold");
    on_answer(gate.node.path->gate, gate.flow(), make_head(row),
              {body_bytes(row.bytes, 'b'), row.is_last});
    EXPECT_EQ(gate.answers, 0);
    EXPECT_EQ(gate.outcome, msg::call_outcome::unknown);
    EXPECT_EQ(count_in_flight(*gate.node.path), 0U);
    // A reattach gets the same end.
    gate.outcome.reset();
    auto again = make_open(1, "/hold");
    std::get<msg::call_open_msg>(again.message).reattach = true;
    on_message(*gate.node.path, std::move(again));
    EXPECT_EQ(gate.answers, 0);
    EXPECT_EQ(gate.outcome, msg::call_outcome::unknown);
}

const head_row refused_rows[] = {
    {"short_by_one", 200, {"100"}, 99, true},
    {"empty", 200, {"100"}, 0, true},
    {"long_by_one", 200, {"100"}, 101, true},
    {"bytes_for_none", 200, {"0"}, 1, true},
    {"error_short_by_one", 500, {"100"}, 99, true},
    {"bytes_for_no_content", 204, {}, 1, true},
    {"bytes_for_not_modified", 304, {"100"}, 100, true},
    {"two_lengths", 200, {"100", "101"}, 100, true},
    {"two_lengths_in_one", 200, {"100, 101"}, 100, true},
    {"no_number", 200, {"100 or so"}, 100, true},
    {"negative", 200, {"-1"}, 0, true},
    {"empty_length", 200, {""}, 0, true},
    {"too_large_a_number", 200, {"18446744073709551616"}, 0, true},
    {"more_behind_the_length", 200, {"100"}, 100, false},
    {"long_and_more", 200, {"100"}, 101, false},
};

INSTANTIATE_TEST_SUITE_P(table, gate_answer, ::testing::ValuesIn(refused_rows),
                         [](const auto& row) { return std::string(row.param.name); });

class sound_gate_answer : public ::testing::TestWithParam<head_row> {};

/// Guards against a gate that refuses sound answers.
TEST_P(sound_gate_answer, is_passed_on) {
    const auto& row = GetParam();
    gate_with_call gate("/hold");
    on_answer(gate.node.path->gate, gate.flow(), make_head(row),
              {body_bytes(row.bytes, 'b'), row.is_last});
    EXPECT_EQ(gate.answers, 1);
    EXPECT_EQ(gate.bytes_sent, row.bytes);
    EXPECT_FALSE(gate.outcome);
}

const head_row passed_rows[] = {
    {"whole", 200, {"100"}, 100, true},
    {"empty", 200, {"0"}, 0, true},
    {"unstated", 200, {}, 100, true},
    {"unstated_and_empty", 200, {}, 0, true},
    {"no_content", 204, {}, 0, true},
    {"not_modified", 304, {"100"}, 0, true},
    {"same_length_twice", 200, {"100", "100"}, 100, true},
    {"same_length_twice_in_one", 200, {"100, 100"}, 100, true},
};

INSTANTIATE_TEST_SUITE_P(table, sound_gate_answer, ::testing::ValuesIn(passed_rows),
                         [](const auto& row) { return std::string(row.param.name); });

struct piece_row {
    const char* name;
    std::size_t bytes;
    bool is_last;

    friend std::ostream& operator<<(std::ostream& out, const piece_row& row) {
        return out << row.name;
    }
};

class gate_piece : public ::testing::TestWithParam<piece_row> {};

/// Guards against an answer that has begun and that its gate ends early or late without a sign.
TEST_P(gate_piece, of_another_length_ends_the_answer_broken) {
    gate_with_call gate("/bytes/900000");
    gate.run_until_window_is_full();
    const auto bytes_before = gate.bytes_sent;
    on_piece(gate.node.path->gate, gate.flow(),
             {body_bytes(GetParam().bytes, 'b'), GetParam().is_last});
    EXPECT_EQ(gate.bytes_sent, bytes_before);
    EXPECT_FALSE(gate.has_sent_end);
    EXPECT_EQ(gate.outcome, msg::call_outcome::unknown);
    EXPECT_EQ(count_in_flight(*gate.node.path), 0U);
}

constexpr std::size_t rest_bytes = 900'000 - call::body_window_bytes;

const piece_row piece_rows[] = {
    {"short_by_one", rest_bytes - 1, true},   {"empty", 0, true},
    {"long_by_one", rest_bytes + 1, true},    {"more_behind_the_length", rest_bytes, false},
    {"long_and_more", rest_bytes + 1, false},
};

INSTANTIATE_TEST_SUITE_P(table, gate_piece, ::testing::ValuesIn(piece_rows),
                         [](const auto& row) { return std::string(row.param.name); });

} // namespace
} // namespace cyclamenhatch::edge::testing

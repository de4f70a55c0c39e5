#include "joined_paths.h"

#include "edge/http_message.h"
#include "messages/peer_message.h"

#include <gtest/gtest.h>

#include <functional>
#include <future>
#include <ostream>
#include <string>
#include <vector>

/// Answers that were damaged between the gate and the entry: none reaches a caller as whole.
namespace cyclamenhatch::edge::testing {
namespace {

constexpr std::size_t small_body = 100;
/// Of the messages that follow the one with the head.
constexpr int last_piece = 3;

enum class damage {
    none,
    byte_lost,
    bytes_lost,
    byte_added,
    /// The message is not marked as the last one.
    end_lost,
    /// The message is marked as the last one.
    end_added,
    other_length,
    no_number,
    two_lengths,
};

struct damage_row {
    const char* name;
    const char* method;
    const char* path;
    damage kind;
    /// The message that is damaged: 0 for the one with the head, n for the n-th piece after it.
    int message;

    friend std::ostream& operator<<(std::ostream& out, const damage_row& row) {
        return out << row.name;
    }
};

/// For headers of an answer.
void state_length(std::vector<std::unique_ptr<msg::http_header_msg>>& headers,
                  const std::string& value, bool is_further) {
    if (!is_further) {
        for (auto& header : headers) {
            if (header->name == "Content-Length") {
                header->value = value;
            }
        }
        return;
    }
    auto header = std::make_unique<msg::http_header_msg>();
    header->name = "content-length";
    header->value = value;
    headers.push_back(std::move(header));
}

void damage_body(damage kind, std::vector<std::uint8_t>& body, bool& is_last) {
    switch (kind) {
    case damage::byte_lost:
        body.pop_back();
        return;
    case damage::bytes_lost:
        body.clear();
        return;
    case damage::byte_added:
        body.push_back('x');
        return;
    case damage::end_lost:
        is_last = false;
        return;
    case damage::end_added:
        is_last = true;
        return;
    default:
        return;
    }
}

void damage_head(damage kind, std::vector<std::unique_ptr<msg::http_header_msg>>& headers) {
    if (kind == damage::other_length) {
        state_length(headers, "99", false);
    } else if (kind == damage::no_number) {
        state_length(headers, "100 or so", false);
    } else if (kind == damage::two_lengths) {
        state_length(headers, "101", true);
    }
}

/// Damages the message with this number of the first answer that the entry receives.
void damage_one(joined_paths& paths, damage kind, int number) {
    paths.alter([=, count = 0](const node_id& receiver, peer_message& message) mutable {
        auto* answer = std::get_if<msg::call_answer_msg>(&message);
        auto* data = std::get_if<msg::call_data_msg>(&message);
        const bool is_part = answer != nullptr || data != nullptr;
        if (receiver != node_id("entry") || !is_part || count++ != number) {
            return;
        }
        if (answer != nullptr) {
            damage_body(kind, answer->body, answer->last);
            damage_head(kind, answer->headers);
        } else {
            damage_body(kind, data->body, data->last);
        }
    });
}

bool is_last_piece(const peer_message& message) {
    const auto* data = std::get_if<msg::call_data_msg>(&message);
    return data != nullptr && data->last;
}

/// Takes a byte of each last piece of an answer.
void shorten_last_pieces(joined_paths& paths) {
    paths.alter([](const node_id& receiver, peer_message& message) {
        if (receiver == node_id("entry") && is_last_piece(message)) {
            std::get<msg::call_data_msg>(message).body.pop_back();
        }
    });
}

std::string request_text(const damage_row& row) {
    return std::string(row.method) + " " + row.path +
           " HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n";
}

std::string status_of(const std::string& answer) {
    return answer.substr(0, std::string("HTTP/1.1 200").size());
}

std::string test_name(const ::testing::TestParamInfo<damage_row>& row) {
    return row.param.name;
}

class damaged_in_one_piece : public ::testing::TestWithParam<damage_row> {};

/// Guards against a short or long answer that the entry frames as whole: the caller of a call that
/// must not run twice has to learn that its outcome is unknown.
TEST_P(damaged_in_one_piece, ends_as_unknown) {
    const auto& row = GetParam();
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    damage_one(paths, row.kind, row.message);
    const auto answer = paths.ask_raw(request_text(row));
    EXPECT_EQ(status_of(answer), "HTTP/1.1 504");
    EXPECT_NE(answer.find("cyclamenhatch-outcome: unknown"), std::string::npos);
    EXPECT_EQ(upstream.runs(row.path), 1);
    const auto events = paths.events("answer_length_mismatch");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_NE(to_line(events.front()).find("place=entry"), std::string::npos);
}

const damage_row one_piece_rows[] = {
    {"short_by_one", "GET", "/once/counted/100", damage::byte_lost, 0},
    {"empty", "GET", "/once/counted/100", damage::bytes_lost, 0},
    {"long_by_one", "GET", "/once/counted/100", damage::byte_added, 0},
    {"bytes_for_none", "GET", "/once/counted/0", damage::byte_added, 0},
    {"without_its_end", "GET", "/once/counted/100", damage::end_lost, 0},
    {"without_bytes_and_end", "GET", "/once/counted/0", damage::end_lost, 0},
    {"other_length", "GET", "/once/counted/100", damage::other_length, 0},
    {"length_is_no_number", "GET", "/once/counted/100", damage::no_number, 0},
    {"two_lengths", "GET", "/once/counted/100", damage::two_lengths, 0},
    {"head_with_bytes", "HEAD", "/once/head/100", damage::byte_added, 0},
    {"bytes_for_no_content", "GET", "/once/no-content", damage::byte_added, 0},
    {"first_of_several_ends", "GET", "/once/counted/65536", damage::end_added, 0},
    {"first_of_several_ends_idempotent", "GET", "/counted/65536", damage::end_added, 0},
    {"short_error", "GET", "/once/status/500", damage::byte_lost, 0},
    {"short_idempotent", "GET", "/counted/100", damage::byte_lost, 0},
    {"short_idempotent_error", "GET", "/status/500", damage::byte_lost, 0},
};

INSTANTIATE_TEST_SUITE_P(table, damaged_in_one_piece, ::testing::ValuesIn(one_piece_rows),
                         test_name);

class damaged_in_several_pieces : public ::testing::TestWithParam<damage_row> {};

/// Guards against an answer of several pieces that ends early, late or with a piece of another
/// length, and still reaches its caller as whole.
TEST_P(damaged_in_several_pieces, is_broken_off) {
    const auto& row = GetParam();
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    damage_one(paths, row.kind, row.message);
    EXPECT_EQ(paths.fetch(request_text(row)), "broken off");
    EXPECT_EQ(upstream.runs(row.path), 1);
    ASSERT_EQ(paths.events("answer_length_mismatch").size(), 1U);
    const auto events = paths.events("call_broken_off");
    ASSERT_EQ(events.size(), 1U);
    EXPECT_NE(to_line(events.front()).find("reason=length_mismatch"), std::string::npos);
}

const damage_row several_pieces_rows[] = {
    {"last_short_by_one", "GET", "/counted/65536", damage::byte_lost, last_piece},
    {"last_empty", "GET", "/counted/65536", damage::bytes_lost, last_piece},
    {"last_long_by_one", "GET", "/counted/65536", damage::byte_added, last_piece},
    {"last_without_end", "GET", "/counted/65536", damage::end_lost, last_piece},
    {"second_short_by_one", "GET", "/counted/65536", damage::byte_lost, 1},
    {"second_long_by_one", "GET", "/counted/65536", damage::byte_added, 1},
    {"second_short_of_chunked", "GET", "/chunked/65536", damage::byte_lost, 1},
    {"second_ends", "GET", "/counted/65536", damage::end_added, 1},
    {"last_short_by_one_once", "GET", "/once/counted/65536", damage::byte_lost, last_piece},
};

INSTANTIATE_TEST_SUITE_P(table, damaged_in_several_pieces, ::testing::ValuesIn(several_pieces_rows),
                         test_name);

class sound_answer : public ::testing::TestWithParam<damage_row> {};

/// Guards against a check that refuses sound answers: heads without bodies, bodies whose length is
/// not stated, and bodies that fill their pieces exactly.
TEST_P(sound_answer, is_passed_on) {
    const auto& row = GetParam();
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    const auto answer = paths.ask_raw(request_text(row));
    const bool has_content = std::string(row.name) != "no_content";
    EXPECT_EQ(status_of(answer), has_content ? "HTTP/1.1 200" : "HTTP/1.1 204");
    EXPECT_TRUE(paths.events("answer_length_mismatch").empty());
    EXPECT_TRUE(paths.events("call_broken_off").empty());
}

const damage_row sound_rows[] = {
    {"head", "HEAD", "/once/head/100", damage::none, 0},
    {"no_content", "GET", "/once/no-content", damage::none, 0},
    {"empty", "GET", "/once/counted/0", damage::none, 0},
    {"full_piece", "GET", "/once/counted/16384", damage::none, 0},
    {"full_pieces", "GET", "/once/counted/65536", damage::none, 0},
    {"chunked", "GET", "/once/chunked/100", damage::none, 0},
    {"long_chunked", "GET", "/once/chunked/65536", damage::none, 0},
};

INSTANTIATE_TEST_SUITE_P(table, sound_answer, ::testing::ValuesIn(sound_rows), test_name);

/// Guards against a length of its own that the entry writes for a HEAD request.
TEST(answer_length, of_a_head_request_is_the_stated_one) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    const auto answer =
        paths.ask_raw("HEAD /head/100 HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n");
    EXPECT_NE(answer.find("Content-Length: 100\r\n"), std::string::npos);
}

/// Guards against callers of an idempotent route that get a failure although another endpoint
/// answers whole.
TEST(answer_length, a_damaged_answer_of_an_idempotent_call_is_retried) {
    for (const auto kind : {damage::byte_lost, damage::bytes_lost, damage::byte_added}) {
        fake_upstream upstream;
        fake_upstream other;
        joined_paths paths(upstream.port());
        paths.add_endpoint_at_entry(other.port(), "turin");
        damage_one(paths, kind, 0);
        EXPECT_EQ(paths.fetch("GET /counted/100 HTTP/1.1\r\nHost: shop\r\n\r\n"),
                  counted_bytes(small_body));
        EXPECT_EQ(upstream.runs("/counted/100"), 1);
        EXPECT_EQ(other.runs("/counted/100"), 1);
    }
}

/// Guards against a gate that keeps sending an answer that its entry has given up.
TEST(answer_length, the_gate_forgets_an_answer_that_its_entry_refuses) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    damage_one(paths, damage::end_added, 0);
    EXPECT_EQ(paths.get("/once/counted/900000").substr(0, 11), "504 unknown");
    while (count_in_flight(paths.gate()) > 0) {
        std::this_thread::yield();
    }
}

/// Guards against an answer from the gate's memory, resent after its link was lost, that is passed
/// on with another length.
TEST(answer_length, of_a_resent_answer_is_checked) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    paths.lose_answers(1);
    damage_one(paths, damage::byte_lost, 0);
    auto answer = std::async(std::launch::async, [&] { return paths.get("/once/counted/100"); });
    upstream.wait_for_runs("/once/counted/100", 1);
    while (count_in_flight(paths.gate()) > 0) {
        std::this_thread::yield();
    }
    on_link_lost(paths.entry(), node_id("gate"));
    EXPECT_EQ(answer.get().substr(0, 11), "504 unknown");
    EXPECT_EQ(paths.events("answer_length_mismatch").size(), 1U);
}

/// Guards against a last piece, resent after its link was lost, that is passed on with another
/// length.
TEST(answer_length, of_a_resent_last_piece_is_checked) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    paths.lose([count = 0](const node_id& receiver, const peer_message& message) mutable {
        return receiver == node_id("entry") && is_last_piece(message) && count++ == 0;
    });
    shorten_last_pieces(paths);
    auto answer = std::async(std::launch::async, [&] {
        return paths.fetch("GET /counted/65536 HTTP/1.1\r\nHost: shop\r\n\r\n");
    });
    while (paths.lost_count() == 0) {
        std::this_thread::yield();
    }
    on_link_lost(paths.entry(), node_id("gate"));
    EXPECT_EQ(answer.get(), "broken off");
    EXPECT_EQ(paths.events("answer_length_mismatch").size(), 1U);
}

/// Guards against a short answer on a persistent connection, which its caller fills up with the
/// bytes of the next answer.
TEST(answer_length, a_short_answer_is_not_filled_up_with_the_next_one) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    shorten_last_pieces(paths);
    EXPECT_EQ(paths.ask_many("GET /counted/65536 HTTP/1.1\r\nHost: shop\r\n\r\n"
                             "GET /ok HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n",
                             1),
              std::vector<std::string>{"closed"});
}

/// Guards against an answer of unknown length that is broken off and yet closed by its final chunk,
/// which marks it as whole.
TEST(answer_length, a_chunked_answer_that_is_broken_off_has_no_final_chunk) {
    fake_upstream upstream;
    joined_paths paths(upstream.port());
    const auto answer = paths.ask_raw(
        "GET /half-chunked/65536 HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n");
    EXPECT_EQ(status_of(answer), "HTTP/1.1 200");
    EXPECT_NE(answer.find("Transfer-Encoding: chunked"), std::string::npos);
    EXPECT_EQ(answer.find("\r\n0\r\n"), std::string::npos);
    const auto whole =
        paths.ask_raw("GET /chunked/65536 HTTP/1.1\r\nHost: shop\r\nConnection: close\r\n\r\n");
    EXPECT_NE(whole.find("\r\n0\r\n"), std::string::npos);
}

} // namespace
} // namespace cyclamenhatch::edge::testing

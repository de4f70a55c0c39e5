#include "joined_paths.h"
#include "scripted_upstream.h"
#include "single_exchange.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <memory>
#include <ostream>
#include <string>

/// Answers that an upstream sends before it has read the whole request.
namespace cyclamenhatch::edge::testing {
namespace {

const std::string start = "HTTP/1.1 200 OK\r\nx-id: mine\r\n";
const std::string sized_head = start + "Content-Length: 5\r\n\r\n";
const std::string chunked_head = start + "Transfer-Encoding: chunked\r\n\r\n";
const std::string open_head = start + "X-More: a\r\n\r\n";
const std::string interim = "HTTP/1.1 102 Wait\r\nX-More: a\r\n\r\n";
const std::string earlier = "HTTP/1.1 200 OK\r\nx-id: earlier\r\n";

/// More than the buffers of both sockets hold.
constexpr std::size_t large_piece_bytes = 33'554'432;
constexpr std::size_t small_piece_bytes = 1024;

struct answer_row {
    const char* name;
    std::string bytes;
    upstream_end end;
    bool is_whole;

    friend std::ostream& operator<<(std::ostream& out, const answer_row& row) {
        return out << row.name;
    }
};

void expect_end(const exchange_result& result, const answer_row& row) {
    EXPECT_EQ(result.is_whole, row.is_whole);
    EXPECT_EQ(result.is_failed, !row.is_whole);
    EXPECT_FALSE(result.is_not_run) << "the upstream had the request";
    if (row.is_whole) {
        EXPECT_EQ(result.status, 200U);
        EXPECT_EQ(result.body, "hello");
    }
}

class early_answer : public ::testing::TestWithParam<answer_row> {
protected:
    /// The end of an upload, on a first or a kept connection. Its last piece, of this size, is
    /// written once the upstream has ended the connection.
    static exchange_result upload_more(std::size_t last_bytes, bool is_kept) {
        const auto& row = GetParam();
        boost::asio::io_context io;
        std::unique_ptr<single_exchange> call;
        const int last = is_kept ? 2 : 1;
        scripted_upstream upstream(io, [&](const request_place& place) -> upstream_script {
            if (place.request < last) {
                return {sized_head + "first"};
            }
            return {row.bytes, row.end, [&] { call->write_last(body_bytes(last_bytes, 'u')); }};
        });
        const auto client = make_client(io, upstream.port());
        if (is_kept) {
            EXPECT_EQ(single_exchange(io, client, "/first", answer_match{}).wait().body, "first");
        }
        call = std::make_unique<single_exchange>(io, client, "/up",
                                                 body_piece{body_bytes(small_piece_bytes, 'u')});
        auto result = call->wait();
        EXPECT_EQ(upstream.connections(), 1);
        EXPECT_EQ(count_idle(*client), 0U);
        return result;
    }
};

/// Guards against a body without a length that counts as whole because a write has taken the
/// socket's error, so that the read after it sees an end of file (MIXED). Guards also against the
/// loss of an answer that ended in order.
TEST_P(early_answer, is_whole_only_if_it_ended_in_order) {
    for (const bool is_kept : {false, true}) {
        for (const auto last_bytes : {small_piece_bytes, large_piece_bytes}) {
            SCOPED_TRACE(std::string(is_kept ? "kept, " : "new, ") + std::to_string(last_bytes));
            expect_end(upload_more(last_bytes, is_kept), GetParam());
        }
    }
}

const answer_row answers[] = {
    {"reset_without_length", open_head + "hello", upstream_end::reset, false},
    {"reset_without_length_or_body", open_head, upstream_end::reset, false},
    {"reset_without_length_after_an_interim_answer", interim + open_head + "hello",
     upstream_end::reset, false},
    {"reset_behind_a_late_answer", earlier + "Content-Length: 5\r\n\r\nnever" + open_head + "hello",
     upstream_end::reset, false},
    {"reset_within_a_late_answer", earlier + "\r\nnever", upstream_end::reset, false},
    {"reset_within_the_head", start, upstream_end::reset, false},
    {"reset_before_the_answer", "", upstream_end::reset, false},
    {"reset_within_the_length", sized_head + "hell", upstream_end::reset, false},
    {"reset_within_the_chunks", chunked_head + "5\r\nhello\r\n", upstream_end::reset, false},
    {"reset_after_the_length", sized_head + "hello", upstream_end::reset, true},
    {"reset_after_the_chunks", chunked_head + "5\r\nhello\r\n0\r\n\r\n", upstream_end::reset, true},
    {"closed_with_unread_bytes", open_head + "hello", upstream_end::close, false},
    {"ended_in_order", open_head + "hello", upstream_end::shut_down, true},
    {"ended_in_order_after_an_interim_answer", interim + open_head + "hello",
     upstream_end::shut_down, true},
    {"ended_within_the_head", start, upstream_end::shut_down, false},
    {"ended_within_the_length", sized_head + "hell", upstream_end::shut_down, false},
    {"ended_in_order_then_reset", open_head + "hello", upstream_end::shut_down_and_reset, true}};

INSTANTIATE_TEST_SUITE_P(ends, early_answer, ::testing::ValuesIn(answers),
                         [](const auto& row) { return std::string(row.param.name); });

class answer_to_a_cut_write : public ::testing::TestWithParam<answer_row> {};

/// The same where the reset cuts the write of the request's head and first piece.
TEST_P(answer_to_a_cut_write, is_whole_only_if_it_ended_in_order) {
    const auto& row = GetParam();
    boost::asio::io_context io;
    scripted_upstream upstream(io, [&](const request_place&) -> upstream_script {
        return {row.bytes, row.end};
    });
    const auto client = make_client(io, upstream.port());
    const body_piece first{body_bytes(large_piece_bytes, 'u')};
    expect_end(single_exchange(io, client, "/up", first).wait(), row);
    EXPECT_EQ(count_idle(*client), 0U);
}

const answer_row answers_to_a_cut_write[] = {
    {"reset_without_length", open_head + "hello", upstream_end::reset, false},
    {"reset_before_the_answer", "", upstream_end::reset, false},
    {"reset_after_the_length", sized_head + "hello", upstream_end::reset, true},
    {"closed_with_unread_bytes", open_head + "hello", upstream_end::close, false},
    {"ended_in_order_then_reset", open_head + "hello", upstream_end::shut_down_and_reset, true}};

INSTANTIATE_TEST_SUITE_P(ends, answer_to_a_cut_write, ::testing::ValuesIn(answers_to_a_cut_write),
                         [](const auto& row) { return std::string(row.param.name); });

/// An answer to HEAD has no body, so that its head alone is whole.
TEST(early_answer_to_head, is_whole_with_its_head) {
    boost::asio::io_context io;
    scripted_upstream upstream(io, [&](const request_place&) -> upstream_script {
        return {open_head, upstream_end::reset};
    });
    const auto client = make_client(io, upstream.port());
    const body_piece first{body_bytes(large_piece_bytes, 'u')};
    const auto result = single_exchange(io, client, "/up", first, "HEAD").wait();
    EXPECT_TRUE(result.is_whole);
    EXPECT_EQ(result.status, 200U);
}

constexpr std::size_t upload_bytes = 900'000;
constexpr int uploads = 20;

/// Guards against a caller that takes a part of an answer for a whole one (MIXED).
TEST(caller_that_uploads, gets_no_whole_answer_when_the_upstream_resets) {
    running_upstream running([](const request_place&) -> upstream_script {
        return {open_head + std::string(3000, 'p'), upstream_end::reset};
    });
    joined_paths paths(running.upstream.port());
    const auto length = "Content-Length: " + std::to_string(upload_bytes) + "\r\n";
    const std::string body(upload_bytes, 'u');
    for (int i = 0; i < uploads; ++i) {
        for (const auto* line : {"POST /once/up", "POST /up"}) {
            for (const bool at_gate : {false, true}) {
                const auto answer = paths.ask(request(line, length, body), at_gate);
                EXPECT_NE(answer.substr(0, 3), "200") << line << (at_gate ? " at the gate" : "");
            }
        }
    }
}

} // namespace
} // namespace cyclamenhatch::edge::testing

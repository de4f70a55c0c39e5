#include "joined_paths.h"
#include "scripted_upstream.h"
#include "single_exchange.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <optional>
#include <ostream>
#include <string>
#include <thread>

/// Answers that end before they are whole.
namespace cyclamenhatch::edge::testing {
namespace {

const std::string start = "HTTP/1.1 200 OK\r\nx-id: mine\r\n";
const std::string sized_head = start + "Content-Length: 5\r\n\r\n";
const std::string chunked_head = start + "Transfer-Encoding: chunked\r\n\r\n";
const std::string open_head = start + "X-More: a\r\n\r\n";
const std::string interim = "HTTP/1.1 102 Wait\r\nX-More: a\r\n\r\n";
const std::string earlier = "HTTP/1.1 200 OK\r\nx-id: earlier\r\nContent-Length: 5\r\n\r\nnever";

struct answer_row {
    const char* name;
    /// Sent whole before the answer that is cut.
    std::string before;
    std::string head;
    std::string body;
    /// From this length of the body on, an answer that ends is whole.
    std::size_t whole_bytes;

    friend std::ostream& operator<<(std::ostream& out, const answer_row& row) {
        return out << row.name;
    }
};

class cut_answer : public ::testing::TestWithParam<answer_row> {
protected:
    /// The end of a call whose answer is cut after `bytes`, on a first or a kept connection.
    static exchange_result cut(std::size_t bytes, upstream_end end, bool is_kept) {
        const auto& row = GetParam();
        boost::asio::io_context io;
        const int last = is_kept ? 2 : 1;
        scripted_upstream upstream(io, [&](const request_place& place) -> upstream_script {
            if (place.request < last) {
                return {sized_head + "first"};
            }
            return {row.before + (row.head + row.body).substr(0, bytes), end};
        });
        const auto client = make_client(io, upstream.port());
        if (is_kept) {
            EXPECT_EQ(single_exchange(io, client, "/first", answer_match{}).wait().body, "first");
        }
        auto result = single_exchange(io, client, "/cut").wait();
        EXPECT_EQ(upstream.connections(), 1) << "cut after " << bytes;
        EXPECT_TRUE(result.is_whole || count_idle(*client) == 0) << "cut after " << bytes;
        return result;
    }
};

/// Guards against a head that is cut and passed on, as an answer without a body or with a short one
/// (MIXED).
TEST_P(cut_answer, within_its_head_is_no_answer) {
    for (const bool is_kept : {false, true}) {
        for (std::size_t bytes = 0; bytes < GetParam().head.size(); ++bytes) {
            for (const auto end : {upstream_end::close, upstream_end::reset}) {
                const auto result = cut(bytes, end, is_kept);
                EXPECT_TRUE(result.is_failed) << "cut after " << bytes;
                EXPECT_FALSE(result.is_not_run) << "the upstream had the request";
                EXPECT_FALSE(result.is_whole);
                EXPECT_EQ(result.status, 0U) << "cut after " << bytes;
            }
        }
    }
}

/// Guards against a body that is cut and passed on as whole (MIXED).
TEST_P(cut_answer, within_its_body_is_not_whole) {
    const auto& row = GetParam();
    for (std::size_t bytes = 0; bytes <= row.body.size(); ++bytes) {
        const auto closed = cut(row.head.size() + bytes, upstream_end::close, false);
        EXPECT_EQ(closed.is_whole, bytes >= row.whole_bytes) << "cut after " << bytes;
        EXPECT_EQ(closed.is_failed, bytes < row.whole_bytes) << "cut after " << bytes;
        EXPECT_FALSE(closed.is_not_run);
    }
}

const answer_row answers[] = {
    {"with_length", "", sized_head, "hello", 5},
    {"chunked", "", chunked_head, "5\r\nhello\r\n0\r\n\r\n", 15},
    {"chunked_with_trailers", "", chunked_head, "5\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n", 25},
    {"without_length", "", open_head, "hello", 0},
    {"after_an_interim_answer", interim, sized_head, "hello", 5},
    {"without_length_after_an_interim_answer", interim, open_head, "hello", 0},
    {"behind_a_late_answer", earlier, sized_head, "hello", 5}};

INSTANTIATE_TEST_SUITE_P(framings, cut_answer, ::testing::ValuesIn(answers),
                         [](const auto& row) { return std::string(row.param.name); });

/// Guards against a body without a length that ends by a reset and counts as whole (MIXED).
TEST(body_without_length, is_not_whole_when_the_connection_is_reset) {
    boost::asio::io_context io;
    scripted_upstream upstream(io, [&](const request_place&) -> upstream_script {
        return {open_head + "hello", upstream_end::reset};
    });
    const auto result = single_exchange(io, make_client(io, upstream.port()), "/cut").wait();
    EXPECT_TRUE(result.is_failed);
    EXPECT_FALSE(result.is_whole);
    EXPECT_FALSE(result.is_not_run);
}

/// Guards against a caller that gets a success, or is told that the call did not run, when the
/// answer's head was cut.
TEST(caller_of_a_cut_head, learns_that_the_outcome_is_unknown) {
    header_names names;
    names.request_id = "x-id";
    for (const auto& head : {sized_head, chunked_head, open_head}) {
        for (std::size_t bytes = 0; bytes < head.size(); bytes += 3) {
            boost::asio::io_context io;
            scripted_upstream upstream(io, [&](const request_place&) -> upstream_script {
                return {head.substr(0, bytes), upstream_end::close};
            });
            std::thread runner([&] { io.run(); });
            {
                joined_paths paths(upstream.port(), names);
                EXPECT_EQ(paths.get("/once/cut", "x-id: mine\r\n").substr(0, 11), "504 unknown")
                    << "cut after " << bytes;
            }
            io.stop();
            runner.join();
            EXPECT_EQ(upstream.requests("mine"), 1);
        }
    }
}

} // namespace
} // namespace cyclamenhatch::edge::testing

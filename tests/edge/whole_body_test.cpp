#include "edge/upstream_client.h"
#include "fake_upstream.h"
#include "single_exchange.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <string>

/// Bodies of upstreams' answers, by size and framing.
namespace cyclamenhatch::edge::testing {
namespace {

struct body_row {
    const char* framing;
    std::size_t bytes;
};

/// For example "bytes_16384".
std::string test_name(const ::testing::TestParamInfo<body_row>& row) {
    const std::string path = row.param.framing;
    return path.substr(1, path.size() - 2) + "_" + std::to_string(row.param.bytes);
}

class body_of_an_answer : public ::testing::TestWithParam<body_row> {};

/// Guards against an answer that loses its bytes, or whose length is computed from a buffer that
/// was moved from in the same call: the order in which arguments are evaluated differs by compiler
/// and machine.
TEST_P(body_of_an_answer, is_passed_on_whole) {
    fake_upstream upstream;
    boost::asio::io_context io;
    const auto client = make_client(io, upstream.port());
    const auto path = GetParam().framing + std::to_string(GetParam().bytes);
    const auto end = single_exchange(io, client, path, answer_match{}).wait();
    EXPECT_EQ(end.status, 200U);
    EXPECT_TRUE(end.is_whole);
    EXPECT_EQ(end.body.size(), GetParam().bytes);
}

constexpr std::size_t half_piece = piece_bytes / 2;

INSTANTIATE_TEST_SUITE_P(
    sizes, body_of_an_answer,
    ::testing::Values(body_row{"/bytes/", 0}, body_row{"/bytes/", 1},
                      body_row{"/bytes/", half_piece}, body_row{"/bytes/", piece_bytes},
                      body_row{"/bytes/", piece_bytes + 1}, body_row{"/bytes/", 3 * piece_bytes},
                      body_row{"/chunked/", 1}, body_row{"/chunked/", half_piece},
                      body_row{"/chunked/", piece_bytes}, body_row{"/chunked/", 3 * piece_bytes}),
    test_name);

} // namespace
} // namespace cyclamenhatch::edge::testing

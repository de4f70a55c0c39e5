#include "net/http_client.h"
#include "support/endless_server.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <optional>
#include <ostream>

/// Bytes that are no answer and come without end, from a server such as the key-value service.
namespace cyclamenhatch::net {
namespace {

using cyclamenhatch::testing::endless_server;
using cyclamenhatch::testing::play_trouble;

constexpr milliseconds patience{60'000};
/// Below what the stand-in sends in all.
constexpr std::uint64_t max_answer_bytes = 1'048'576;

struct client_run {
    explicit client_run(std::uint16_t port)
        : client(make_http_client(
              io, {.ip = "127.0.0.1",
                   .port = port,
                   .max_answer_bytes = max_answer_bytes,
                   .log = [this](const log_event& event) { lines.push_back(to_line(event)); }})) {}
    client_run(const client_run&) = delete;
    client_run& operator=(const client_run&) = delete;
    ~client_run() { close(*client); }

    http_outcome ask(const std::string& path, milliseconds timeout = patience) {
        std::optional<http_outcome> told;
        send(*client, {"GET", path, ""}, timeout,
             [&](const http_outcome& outcome) { told = outcome; });
        while (!told) {
            io.restart();
            io.run_one();
        }
        return *told;
    }

    boost::asio::io_context io;
    std::vector<std::string> lines;
    std::shared_ptr<http_client> client;
};

struct trouble_row {
    const char* name;

    friend std::ostream& operator<<(std::ostream& out, const trouble_row& row) {
        return out << row.name;
    }
};

std::string test_name(const ::testing::TestParamInfo<trouble_row>& row) {
    std::string name = row.param.name;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

class server_in_trouble : public ::testing::TestWithParam<trouble_row> {};

/// Guards against memory and connections held for as long as a server goes on sending.
TEST_P(server_in_trouble, leaves_the_outcome_open_at_a_bound) {
    endless_server server(play_trouble);
    client_run run(server.port());
    const auto told = run.ask("/fast/" + std::string(GetParam().name));
    EXPECT_TRUE(std::holds_alternative<no_answer>(told));
    server.wait_for_closed(1);
    ASSERT_EQ(run.lines.size(), 1U);
    EXPECT_EQ(run.lines.front().rfind("event=server_bytes_refused server=127.0.0.1:", 0), 0U);
    EXPECT_NE(run.lines.front().find(" request=/fast/"), std::string::npos);
    EXPECT_FALSE(server.is_exhausted()) << "read all that the server had to send";
}

/// Guards against requests that outlive their time limit while bytes still come now and then.
TEST_P(server_in_trouble, leaves_the_outcome_open_at_the_time_limit_when_bytes_drip) {
    endless_server server(play_trouble);
    client_run run(server.port());
    const auto told = run.ask("/slow/" + std::string(GetParam().name), milliseconds{100});
    EXPECT_TRUE(std::holds_alternative<no_answer>(told));
    server.wait_for_closed(1);
    const auto next = run.ask("/ok");
    ASSERT_TRUE(std::holds_alternative<http_response>(next));
    EXPECT_EQ(std::get<http_response>(next).body, "hello");
}

const trouble_row troubles[] = {
    {"no-answer"},       {"status-line"},           {"header-line"},      {"headers"},
    {"informational"},   {"other-protocol"},        {"status-below-100"}, {"chunk-size"},
    {"chunk-extension"}, {"later-chunk-extension"}, {"trailers"},         {"trailer-line"},
    {"chunked-body"},    {"body-without-length"}};

INSTANTIATE_TEST_SUITE_P(endless, server_in_trouble, ::testing::ValuesIn(troubles), test_name);

/// Guards against an informational answer that counts as the answer, so that the answer itself goes
/// to the next request on the connection.
TEST(client_bytes, an_informational_answer_is_not_the_answer) {
    endless_server server([](const std::string& path, const std::string&) {
        return cyclamenhatch::testing::endless_answer{
            "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(path.size()) + "\r\n\r\n" + path,
            ""};
    });
    client_run run(server.port());
    for (const auto* path : {"/first", "/second"}) {
        const auto told = run.ask(path);
        ASSERT_TRUE(std::holds_alternative<http_response>(told));
        EXPECT_EQ(std::get<http_response>(told).status, 200U);
        EXPECT_EQ(std::get<http_response>(told).body, path);
    }
}

/// Guards against a next request on a connection whose bytes belong to no request.
TEST(client_bytes, after_an_answer_end_the_connection) {
    for (const auto* pace : {"/fast/", "/slow/"}) {
        endless_server server(play_trouble);
        client_run run(server.port());
        const auto told = run.ask(pace + std::string("beyond-length"));
        ASSERT_TRUE(std::holds_alternative<http_response>(told));
        EXPECT_EQ(std::get<http_response>(told).body, "hello");
        // The bytes come with the answer, which closes the connection, or after it.
        const auto writes = server.writes();
        while (server.writes() < writes + 2 && server.closed() == 0) {
            run.io.restart();
            run.io.poll();
        }
        const auto next = run.ask("/ok");
        ASSERT_TRUE(std::holds_alternative<http_response>(next));
        EXPECT_EQ(std::get<http_response>(next).body, "hello");
        EXPECT_EQ(server.connections(), 2);
    }
}

} // namespace
} // namespace cyclamenhatch::net

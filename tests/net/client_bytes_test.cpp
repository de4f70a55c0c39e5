#include "net/http_client.h"
#include "support/endless_server.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <memory>
#include <optional>
#include <ostream>
#include <string>

/// Tests against servers that send malformed or endless answers.
namespace cyclamenhatch::net {
namespace {

using cyclamenhatch::testing::endless_server;
using cyclamenhatch::testing::make_faulty_answer_for_path;

constexpr milliseconds test_timeout{60'000};
/// Less than the total that the test server sends.
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

    http_outcome send_and_wait(const std::string& path, milliseconds timeout = test_timeout) {
        std::optional<http_outcome> result;
        send(*client, {"GET", path, ""}, timeout,
             [&](const http_outcome& outcome) { result = outcome; });
        while (!result) {
            io.restart();
            io.run_one();
        }
        return *result;
    }

    boost::asio::io_context io;
    std::vector<std::string> lines;
    std::shared_ptr<http_client> client;
};

struct fault_row {
    const char* name;

    friend std::ostream& operator<<(std::ostream& out, const fault_row& row) {
        return out << row.name;
    }
};

std::string test_name(const ::testing::TestParamInfo<fault_row>& row) {
    std::string name = row.param.name;
    std::replace(name.begin(), name.end(), '-', '_');
    return name;
}

class faulty_server : public ::testing::TestWithParam<fault_row> {};

/// Guards against holding memory and connections for as long as a server keeps sending.
TEST_P(faulty_server, reports_no_answer_at_the_size_limit) {
    endless_server server(make_faulty_answer_for_path);
    client_run run(server.port());
    const auto result = run.send_and_wait("/fast/" + std::string(GetParam().name));
    EXPECT_TRUE(std::holds_alternative<no_answer>(result));
    server.wait_for_closed(1);
    ASSERT_EQ(run.lines.size(), 1U);
    EXPECT_EQ(run.lines.front().rfind("event=server_bytes_refused server=127.0.0.1:", 0), 0U);
    EXPECT_NE(run.lines.front().find(" request=/fast/"), std::string::npos);
    EXPECT_FALSE(server.is_exhausted()) << "read all that the server had to send";
}

/// Guards against requests that exceed their timeout while bytes still arrive slowly.
TEST_P(faulty_server, reports_no_answer_at_the_timeout_when_bytes_arrive_slowly) {
    endless_server server(make_faulty_answer_for_path);
    client_run run(server.port());
    const auto result =
        run.send_and_wait("/slow/" + std::string(GetParam().name), milliseconds{100});
    EXPECT_TRUE(std::holds_alternative<no_answer>(result));
    server.wait_for_closed(1);
    const auto next = run.send_and_wait("/ok");
    ASSERT_TRUE(std::holds_alternative<http_response>(next));
    EXPECT_EQ(std::get<http_response>(next).body, "hello");
}

const fault_row faults[] = {
    {"no-answer"},       {"status-line"},           {"header-line"},      {"headers"},
    {"informational"},   {"other-protocol"},        {"status-below-100"}, {"chunk-size"},
    {"chunk-extension"}, {"later-chunk-extension"}, {"trailers"},         {"trailer-line"},
    {"chunked-body"},    {"body-without-length"}};

INSTANTIATE_TEST_SUITE_P(endless, faulty_server, ::testing::ValuesIn(faults), test_name);

/// Guards against taking an informational answer for the final one, so that the final answer is
/// assigned to the next request on the connection.
TEST(client_bytes, an_informational_answer_is_not_the_answer) {
    endless_server server([](const std::string& path, const std::string&) {
        return cyclamenhatch::testing::scripted_answer{
            "HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: " +
                std::to_string(path.size()) + "\r\n\r\n" + path,
            ""};
    });
    client_run run(server.port());
    for (const auto* path : {"/first", "/second"}) {
        const auto result = run.send_and_wait(path);
        ASSERT_TRUE(std::holds_alternative<http_response>(result));
        EXPECT_EQ(std::get<http_response>(result).status, 200U);
        EXPECT_EQ(std::get<http_response>(result).body, path);
    }
}

/// Guards against reusing a connection with received bytes that belong to no request.
TEST(client_bytes, bytes_after_an_answer_end_the_connection) {
    for (const auto* pace : {"/fast/", "/slow/"}) {
        endless_server server(make_faulty_answer_for_path);
        client_run run(server.port());
        const auto result = run.send_and_wait(pace + std::string("beyond-length"));
        ASSERT_TRUE(std::holds_alternative<http_response>(result));
        EXPECT_EQ(std::get<http_response>(result).body, "hello");
        // The extra bytes arrive with the answer, which closes the connection, or after it.
        const auto writes = server.writes();
        while (server.writes() < writes + 2 && server.closed_connections() == 0) {
            run.io.restart();
            run.io.poll();
        }
        const auto next = run.send_and_wait("/ok");
        ASSERT_TRUE(std::holds_alternative<http_response>(next));
        EXPECT_EQ(std::get<http_response>(next).body, "hello");
        EXPECT_EQ(server.connections(), 2);
    }
}

struct answer_row {
    const char* name;
    std::string answer;

    friend std::ostream& operator<<(std::ostream& out, const answer_row& row) {
        return out << row.name;
    }
};

class malformed_answer : public ::testing::TestWithParam<answer_row> {};

/// Guards against an answer whose body, or whose header that is passed on, is not the server's.
TEST_P(malformed_answer, is_refused_at_once) {
    endless_server server([](const std::string&, const std::string&) {
        return cyclamenhatch::testing::scripted_answer{GetParam().answer, ""};
    });
    client_run run(server.port());
    const auto result = run.send_and_wait("/any");
    ASSERT_TRUE(std::holds_alternative<no_answer>(result));
    EXPECT_EQ(std::get<no_answer>(result).reason.find("timeout"), std::string::npos);
    server.wait_for_closed(1);
    ASSERT_EQ(run.lines.size(), 1U);
    EXPECT_EQ(run.lines.front().rfind("event=server_bytes_refused server=127.0.0.1:", 0), 0U);
}

const std::string start = "HTTP/1.1 200 OK\r\nX-Ok: 1\r\n";
const std::string length = "Content-Length: 5\r\n";
const std::string hello = "\r\nhello";

const answer_row malformed_answers[] = {
    {"status_000", "HTTP/1.1 000 X\r\n" + length + hello},
    {"status_of_two_digits", "HTTP/1.1 20 X\r\n" + length + hello},
    {"blank_in_a_name", start + "X Bad: 1\r\n" + length + hello},
    {"blank_before_a_colon", start + "X-Bad : 1\r\n" + length + hello},
    {"control_byte_in_a_name", start + "X-\x01-Bad: 1\r\n" + length + hello},
    {"blank_after_the_length", start + "Content-Length : 5\r\n" + hello},
    {"line_that_begins_with_a_blank", start + " X-Bad: 1\r\n" + length + hello},
    {"line_that_begins_with_a_tab", start + "\tX-Bad: 1\r\n" + length + hello},
    {"length_that_begins_with_a_blank", start + " " + length + hello},
    {"length_in_a_second_line", start + "Content-Length:\r\n 5\r\n" + hello},
    {"trailer_that_begins_with_a_blank",
     start + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Ok: 1\r\n X-Bad: 1\r\n\r\n"}};

INSTANTIATE_TEST_SUITE_P(fields, malformed_answer, ::testing::ValuesIn(malformed_answers),
                         [](const auto& row) { return std::string(row.param.name); });

/// A server that answers the first bytes of a request and resets the connection.
void reset_after(boost::asio::ip::tcp::acceptor& acceptor, const std::string& answer) {
    using boost::asio::ip::tcp;
    acceptor.async_accept([answer](boost::system::error_code failed, tcp::socket accepted) {
        const auto socket = std::make_shared<tcp::socket>(std::move(accepted));
        if (failed) {
            return;
        }
        socket->async_wait(tcp::socket::wait_read,
                           [socket, answer](boost::system::error_code error) {
                               boost::asio::write(*socket, boost::asio::buffer(answer), error);
                               socket->set_option(boost::asio::socket_base::linger(true, 0), error);
                               socket->close(error);
                           });
    });
}

/// Guards against a part of an answer without a length that counts as whole.
TEST(client_bytes, an_answer_without_a_length_that_is_reset_is_no_answer) {
    constexpr std::size_t large_body_bytes = 33'554'432;
    for (const auto body_bytes : {std::size_t{0}, large_body_bytes}) {
        boost::asio::io_context io;
        boost::asio::ip::tcp::acceptor acceptor(io,
                                                {boost::asio::ip::make_address("127.0.0.1"), 0});
        reset_after(acceptor, start + hello);
        const auto client =
            make_http_client(io, {.ip = "127.0.0.1", .port = acceptor.local_endpoint().port()});
        std::optional<http_outcome> result;
        send(*client, {"POST", "/any", std::string(body_bytes, 'u')}, test_timeout,
             [&](const http_outcome& outcome) { result = outcome; });
        while (!result) {
            io.restart();
            io.run_one();
        }
        EXPECT_TRUE(std::holds_alternative<no_answer>(*result)) << body_bytes;
        close(*client);
    }
}

} // namespace
} // namespace cyclamenhatch::net

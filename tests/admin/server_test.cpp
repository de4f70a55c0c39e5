#include "admin/fake_backend.h"
#include "admin/server.h"
#include "cli/http_client.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace cyclamenhatch::admin {
namespace {

/// A port of this host that is in use for the lifetime of the object.
struct occupied_port {
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    std::uint16_t number = 0;

    occupied_port() {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        auto* raw = reinterpret_cast<sockaddr*>(&address);
        EXPECT_EQ(bind(socket, raw, length), 0);
        EXPECT_EQ(listen(socket, 1), 0);
        EXPECT_EQ(getsockname(socket, raw, &length), 0);
        number = ntohs(address.sin_port);
    }
    ~occupied_port() { close(socket); }
    occupied_port(const occupied_port&) = delete;
    occupied_port& operator=(const occupied_port&) = delete;
    occupied_port(occupied_port&&) = delete;
    occupied_port& operator=(occupied_port&&) = delete;
};

struct admin_server_test : testing::Test {
    fake_node node{.config = make_config(7, make_catalogue())};
    msg::settings_msg settings;
    cli::transport http = cli::make_http_transport();
    std::string url;
    std::shared_ptr<admin_server> server;

    void SetUp() override {
        settings.listen = std::make_unique<msg::listen_settings_msg>();
        settings.admin = std::make_unique<msg::admin_settings_msg>();
        settings.store = std::make_unique<msg::store_settings_msg>();
        settings.listen->ip = "127.0.0.1";
        settings.listen->admin_port = occupied_port().number;
        settings.admin->token = "secret";
        url = "http://127.0.0.1:" + std::to_string(settings.listen->admin_port);
        server = start_admin_server(settings, make_backend(node));
    }

    void TearDown() override { stop(*server); }

    [[nodiscard]] cli::http_answer ask(const std::string& method, const std::string& path,
                                       const std::string& body = "") const {
        const auto sent = http.send(
            url, {method, path, {{"Authorization", "Bearer secret"}, {"If-Match", "\"5\""}}, body});
        const auto* answer = std::get_if<cli::http_answer>(&sent);
        return answer == nullptr ? cli::http_answer{} : *answer;
    }
};

TEST_F(admin_server_test, passes_on_whole_requests_and_answers) {
    EXPECT_EQ(ask("GET", "/v1/services/cat%61logue").headers["etag"], "\"5\"");
    const auto put = ask("PUT", "/v1/services/catalogue", R"({"owner":"o","version":"v1"})");
    EXPECT_EQ(put.status, 200);
    EXPECT_FALSE(put.headers.at(operation_header).empty());
    ASSERT_EQ(node.written.size(), 1U);
    EXPECT_EQ(node.written[0].operation.value, put.headers.at(operation_header));
    const auto& written = std::get<store::resource_write>(node.written[0].requested_change);
    EXPECT_EQ(written.preconditions.at(0).expected, config_version{5});
    EXPECT_EQ(ask("POST", "/v1/apply?dry_run=1", "{}").status, 200);
    EXPECT_EQ(ask("POST", "/v1/apply", std::string(max_body_bytes + 1, ' ')).status, 413);
    EXPECT_EQ(node.written.size(), 1U);
}

TEST_F(admin_server_test, streams_events_until_the_server_stops) {
    node.progress = {{.version = config_version{8}, .accepted_at = from_unix_ms(1)}};
    std::vector<std::string> lines;
    const auto sent =
        http.stream(url, {"GET", "/v1/watch?after=7", {{"Authorization", "Bearer secret"}}, ""},
                    [&](const std::string& line) {
                        lines.push_back(line);
                        stop(*server);
                        return true;
                    });
    EXPECT_TRUE(std::holds_alternative<cli::http_answer>(sent));
    ASSERT_EQ(lines.size(), 1U);
    EXPECT_TRUE(lines[0].starts_with(R"({"event":"accepted","version":8)")) << lines[0];
}

TEST_F(admin_server_test, ends_watches_before_it_stops) {
    node.progress = {{.version = config_version{8}, .accepted_at = from_unix_ms(1)}};
    const cli::http_call watch{
        "GET", "/v1/watch?after=7", {{"Authorization", "Bearer secret"}}, ""};
    int lines = 0;
    const auto sent = http.stream(url, watch, [&](const std::string&) {
        ++lines;
        end_watches(*server);
        return true;
    });
    EXPECT_TRUE(std::holds_alternative<cli::http_answer>(sent));
    EXPECT_EQ(lines, 1);
    EXPECT_EQ(ask("GET", "/v1/services/catalogue").status, 200);
    EXPECT_EQ(std::get<cli::http_answer>(http.stream(url, watch, {})).status, 503);
}

TEST_F(admin_server_test, watch_needs_the_token) {
    const auto sent =
        http.stream(url, {"GET", "/v1/watch", {}, ""}, [](const std::string&) { return true; });
    EXPECT_EQ(std::get<cli::http_answer>(sent).status, 401);
}

TEST_F(admin_server_test, throws_when_its_port_is_in_use) {
    const occupied_port occupied;
    settings.listen->admin_port = occupied.number;
    EXPECT_THROW(static_cast<void>(start_admin_server(settings, make_backend(node))),
                 std::runtime_error);
}

} // namespace
} // namespace cyclamenhatch::admin

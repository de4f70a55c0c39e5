#include "store/store_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <future>
#include <gtest/gtest.h>
#include <thread>

namespace cyclamenhatch::store {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::chrono::seconds test_limit{20};

/// A service that reads one request on each connection, sends a fixed text and closes. With
/// `keeps_open` it reads a second request before it closes, and does not answer that one.
struct scripted_service {
    explicit scripted_service(std::string text, bool keeps_open = false)
        : is_kept_open(keeps_open),
          acceptor(context, tcp::endpoint(asio::ip::address_v4::loopback(), 0)),
          answer(std::move(text)), thread([this] { serve(); }) {}

    ~scripted_service() {
        is_ending = true;
        boost::system::error_code ignored;
        tcp::socket wake(context);
        wake.connect(acceptor.local_endpoint(), ignored);
        thread.join();
    }
    scripted_service(const scripted_service&) = delete;
    scripted_service(scripted_service&&) = delete;
    scripted_service& operator=(const scripted_service&) = delete;
    scripted_service& operator=(scripted_service&&) = delete;

    void serve() {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket(context);
            acceptor.accept(socket, error);
            if (is_ending || error) {
                return;
            }
            read_request(socket);
            asio::write(socket, asio::buffer(answer), error);
            if (is_kept_open) {
                read_request(socket);
            }
        }
    }

    void read_request(tcp::socket& socket) {
        std::string request;
        boost::system::error_code error;
        asio::read_until(socket, asio::dynamic_buffer(request), "}", error);
        requests += error ? 0 : 1;
    }

    std::string url() const {
        return "http://127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    }

    bool is_kept_open;
    asio::io_context context;
    tcp::acceptor acceptor;
    std::string answer;
    std::atomic<bool> is_ending{false};
    std::atomic<int> requests{0};
    std::thread thread;
};

msg::store_settings_msg make_settings(const std::string& url) {
    msg::store_settings_msg settings;
    settings.url = url;
    return settings;
}

kv_response ask(const std::string& url, const kv_operation& operation) {
    auto answered = std::make_shared<std::promise<kv_response>>();
    const auto client = start_store_client(make_settings(url), [answered](kv_response response) {
        answered->set_value(std::move(response));
    });
    execute(*client, {41, operation});
    auto future = answered->get_future();
    const bool is_answered = future.wait_for(test_limit) == std::future_status::ready;
    stop(*client);
    return is_answered ? future.get() : kv_response{};
}

std::string http_text(const std::string& status, const std::string& body) {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

std::string describe(const kv_response& response) {
    if (response.id != 41) {
        return "no response";
    }
    if (const auto* failure = std::get_if<kv_failure>(&response.outcome)) {
        return failure->kind == kv_failure_kind::not_run ? "not_run" : "unknown";
    }
    return "done";
}

struct client_row {
    const char* name;
    std::string answer;
    const char* expected;
};

class client_answer : public testing::TestWithParam<client_row> {};

TEST_P(client_answer, gives_the_true_outcome_after_one_request) {
    scripted_service service(GetParam().answer);
    EXPECT_EQ(describe(ask(service.url(), kv_transaction{})), GetParam().expected);
    EXPECT_EQ(service.requests, 1);
}

INSTANTIATE_TEST_SUITE_P(
    table, client_answer,
    testing::Values(
        client_row{"done", http_text("200 OK", R"({"header":{"revision":"2"}})"), "done"},
        client_row{"closed", "", "unknown"},
        client_row{"half", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{", "unknown"},
        client_row{"garbage", "garbage\r\n\r\n", "unknown"},
        client_row{"not_json", http_text("200 OK", "oops"), "unknown"},
        client_row{"unavailable", http_text("503 Service Unavailable", "{}"), "unknown"},
        client_row{"refused", http_text("400 Bad Request", "{}"), "not_run"}),
    [](const auto& row) { return std::string(row.param.name); });

TEST(store_client, reports_a_refused_connection_as_not_run) {
    std::string url;
    {
        const scripted_service gone("");
        url = gone.url();
    }
    EXPECT_EQ(describe(ask(url, kv_transaction{})), "not_run");
}

/// The HTTP library resends a request when a reused connection closes without an answer.
TEST(store_client, sends_a_write_once_even_when_a_reused_connection_would_close) {
    scripted_service service(http_text("200 OK", R"({"header":{"revision":"2"}})"), true);
    std::promise<void> first;
    std::promise<void> second;
    std::atomic<int> answers{0};
    const auto client = start_store_client(make_settings(service.url()), [&](const kv_response&) {
        (++answers == 1 ? first : second).set_value();
    });
    execute(*client, {1, kv_transaction{}});
    EXPECT_EQ(first.get_future().wait_for(test_limit), std::future_status::ready);
    execute(*client, {2, kv_transaction{}});
    EXPECT_EQ(second.get_future().wait_for(test_limit), std::future_status::ready);
    stop(*client);
    EXPECT_EQ(service.requests, 2);
}

TEST(store_client, delivers_each_line_of_a_watch_and_its_end) {
    const std::string created = R"({"result":{"header":{"revision":"4"},"created":true}})";
    scripted_service service(http_text("200 OK", created + "\n" + created + "\n"));
    std::promise<void> ended;
    std::atomic<int> lines{0};
    const auto client =
        start_store_client(make_settings(service.url()), [&](const kv_response& response) {
            if (std::holds_alternative<kv_failure>(response.outcome)) {
                ended.set_value();
            } else {
                ++lines;
            }
        });
    execute(*client, {41, kv_watch{"k"}});
    EXPECT_EQ(ended.get_future().wait_for(test_limit), std::future_status::ready);
    stop(*client);
    EXPECT_EQ(lines, 2);
}

} // namespace
} // namespace cyclamenhatch::store

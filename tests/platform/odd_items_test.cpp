#include "net/http_service.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <ostream>
#include <string>

/// Odd items in the answers of the key-value service, over real connections.
namespace cyclamenhatch::platform {
namespace {

struct item_row {
    const char* name;
    std::string item;
    /// Whether the item stays, without a value, so that its reader refuses it.
    bool is_kept = false;

    friend std::ostream& operator<<(std::ostream& out, const item_row& row) {
        return out << row.name;
    }
};

std::string good_item(const std::string& key, int revision) {
    return R"({"key":"list/)" + key + R"(","value":"aGk=","revision":)" + std::to_string(revision) +
           "}";
}

/// A stand-in of the service that gives out two good items, with an odd one between them.
struct odd_store {
    explicit odd_store(std::string odd_item)
        : service(net::start_http_service(
              io, "127.0.0.1", 0,
              [this, odd = std::move(odd_item)](const net::service_request& request) {
                  const bool is_read = request.target.starts_with("/v1/kv-range");
                  const bool has_events = is_read || ++polls <= 2;
                  const auto items = good_item("a", 3) + "," + odd + "," + good_item("z", 5);
                  return net::service_answer{
                      .body = std::string(is_read ? R"({"items":[)" : R"({"events":[)") +
                              (has_events ? items : "") + R"(],"currentRev":5})"};
              })) {
        msg::store_settings_msg settings;
        settings.url = "http://127.0.0.1:" + std::to_string(net::service_port(*service));
        client = start_store_client(
            io, settings, [this](const store::kv_response& answer) { responses.push_back(answer); },
            {});
    }
    odd_store(const odd_store&) = delete;
    odd_store& operator=(const odd_store&) = delete;
    ~odd_store() {
        stop(*client);
        net::stop(*service);
        io.poll();
    }

    store::kv_response execute(store::kv_operation operation) {
        responses.clear();
        platform::execute(*client, {1, std::move(operation)});
        while (responses.empty()) {
            io.run_one();
        }
        return responses.front();
    }

    boost::asio::io_context io;
    int polls = 0;
    std::vector<store::kv_response> responses;
    std::shared_ptr<net::http_service> service;
    std::shared_ptr<store_client> client;
};

void expect_good_entries(std::map<std::string, std::string> values) {
    EXPECT_EQ(values["list/a"], "hi");
    EXPECT_EQ(values["list/z"], "hi");
    EXPECT_FALSE(values.contains("")) << "an item without a key";
    const bool has_odd = values.contains("list/m");
    EXPECT_TRUE(!has_odd || values["list/m"].empty());
}

class odd_item : public ::testing::TestWithParam<item_row> {};

/// Guards against one odd item that makes all others of a list unreadable.
TEST_P(odd_item, leaves_the_others_of_a_read) {
    odd_store standin(GetParam().item);
    const auto response = standin.execute(store::kv_range{"list/", true});
    ASSERT_TRUE(std::holds_alternative<store::kv_entries>(response.outcome));
    std::map<std::string, std::string> values;
    for (const auto& entry : std::get<store::kv_entries>(response.outcome).entries) {
        values[entry.key] = entry.value;
    }
    expect_good_entries(values);
    EXPECT_EQ(values.contains("list/m"), GetParam().is_kept);
}

/// Guards against one odd change that ends a watch again and again, so that later ones are missed.
TEST_P(odd_item, leaves_the_others_of_a_watch) {
    odd_store standin(GetParam().item);
    const auto response = standin.execute(store::kv_watch{"list/", true, 1});
    ASSERT_TRUE(std::holds_alternative<store::kv_changes>(response.outcome));
    std::map<std::string, std::string> values;
    for (const auto& change : std::get<store::kv_changes>(response.outcome).changes) {
        values[change.entry.key] = change.entry.value;
    }
    expect_good_entries(values);
    EXPECT_EQ(values.contains("list/m"), GetParam().is_kept);
    while (standin.polls < 2) {
        standin.io.run_one();
    }
}

const item_row odd_items[] = {
    {"value_is_no_base64", R"({"key":"list/m","value":"!!!!","revision":4})", true},
    {"value_is_cut", R"({"key":"list/m","value":"aGk","revision":4})", true},
    {"value_is_a_number", R"({"key":"list/m","value":7,"revision":4})", true},
    {"value_is_null", R"({"key":"list/m","value":null,"revision":4})", true},
    {"value_is_missing", R"({"key":"list/m","revision":4})", true},
    {"revision_is_text", R"({"key":"list/m","value":"","revision":"4"})", true},
    {"revision_is_huge", R"({"key":"list/m","value":"","revision":1e400})", true},
    {"key_is_missing", R"({"value":"aGk=","revision":4})"},
    {"key_is_a_number", R"({"key":5,"value":"aGk=","revision":4})"},
    {"item_is_a_number", "99999999999999999999"},
    {"item_is_null", "null"},
    {"item_is_a_nested_list", "[[[[[[[[[[]]]]]]]]]]"},
    {"item_is_empty", "{}"}};

INSTANTIATE_TEST_SUITE_P(items, odd_item, ::testing::ValuesIn(odd_items),
                         [](const auto& row) { return std::string(row.param.name); });

} // namespace
} // namespace cyclamenhatch::platform

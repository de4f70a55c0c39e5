#include "admin/announcement_reader.h"
#include "document/document.h"

#include <gtest/gtest.h>

#include <string>

/// Announcements of another writer through the operators' API.
namespace cyclamenhatch::admin {
namespace {

bool is_refused(const std::string& slots, const std::string& port, const std::string& more) {
    const auto parsed = parse_json(R"({"service":"s","version":"v1","state":"ready","slots":)" +
                                       slots + R"(,"port":)" + port + more + "}",
                                   "");
    return std::holds_alternative<findings>(parsed) ||
           std::holds_alternative<findings>(read_announcement(std::get<document>(parsed)));
}

/// Guards against an odd announcement that names an upstream or ends the node.
TEST(odd_announcement, is_refused) {
    EXPECT_FALSE(is_refused("4", "9000", ""));
    for (const auto* port : {"0", "-1", "65536", "99999", "99999999999999999999", "1e400", "80.5",
                             "\"80x\"", "null", "[80]"}) {
        EXPECT_TRUE(is_refused("4", port, "")) << port;
    }
    for (const auto* slots : {"0", "-1", "100001", "4294967297", "99999999999999999999", "1e400",
                              "4.5", "\"4\"", "{}"}) {
        EXPECT_TRUE(is_refused(slots, "9000", "")) << slots;
    }
    std::string open_lists = R"(,"more":)";
    open_lists.append(100'000, '[');
    std::string nested_lists = open_lists;
    nested_lists.append(100'000, ']');
    for (const auto& more :
         {std::string(R"(,"sequence":-1)"), nested_lists, open_lists,
          std::string(R"(,"sequence":1e400)"), std::string(R"(,"cold_ms":4294967296)")}) {
        EXPECT_TRUE(is_refused("4", "9000", more)) << more.substr(0, 40);
    }
}

} // namespace
} // namespace cyclamenhatch::admin

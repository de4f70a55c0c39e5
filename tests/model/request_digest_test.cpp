#include "model/request_digest.h"

#include <gtest/gtest.h>

#include <set>
#include <string>

namespace cyclamenhatch {
namespace {

request_content make_content() {
    return {.method = "POST",
            .host = "shop.example",
            .target = "/holds/17?colour=red",
            .owner = "retail",
            .body = "one frame",
            .stated_length = "9"};
}

/// Guards against a digest that leaves out a part by which two requests differ, or that reads the
/// same bytes in other parts as the same request.
TEST(request_digest, differs_with_each_part) {
    std::set<request_digest> digests{compute_request_digest(make_content())};
    auto content = make_content();
    content.method = "PUT";
    digests.insert(compute_request_digest(content));
    content = make_content();
    content.host = "stock.example";
    digests.insert(compute_request_digest(content));
    content = make_content();
    content.target = "/holds/17?colour=blue";
    digests.insert(compute_request_digest(content));
    content = make_content();
    content.owner = "members";
    digests.insert(compute_request_digest(content));
    content = make_content();
    content.body = "two frames";
    digests.insert(compute_request_digest(content));
    content = make_content();
    content.stated_length = "9000000";
    digests.insert(compute_request_digest(content));
    content = make_content();
    content.host = "shop.example/holds";
    content.target = "/17?colour=red";
    digests.insert(compute_request_digest(content));
    EXPECT_EQ(digests.size(), 8U);
}

/// Guards against a digest that depends on where the bytes lie.
TEST(request_digest, is_the_same_for_the_same_content) {
    const std::string body = "one frame";
    auto content = make_content();
    content.body = body;
    EXPECT_EQ(compute_request_digest(content), compute_request_digest(make_content()));
}

TEST(request_digest, has_a_text_of_32_digits) {
    EXPECT_EQ(to_text({0x0123456789abcdef, 0xf}), "0123456789abcdef000000000000000f");
}

/// Guards against an operator who lifts the hold of another request by a text that was cut off.
TEST(request_digest, is_read_from_its_text_only) {
    const auto digest = compute_request_digest(make_content());
    EXPECT_EQ(parse_request_digest(to_text(digest)), digest);
    EXPECT_FALSE(parse_request_digest(to_text(digest).substr(1)));
    EXPECT_FALSE(parse_request_digest(to_text(digest) + "0"));
    EXPECT_FALSE(parse_request_digest("0x" + to_text(digest).substr(2)));
    EXPECT_FALSE(parse_request_digest(""));
}

} // namespace
} // namespace cyclamenhatch

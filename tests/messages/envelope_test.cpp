#include "messages/envelope.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch {
namespace {

peer_message make_probe() {
    msg::probe_msg probe;
    probe.sequence = 7;
    probe.target = "node-b";
    probe.updates.push_back(std::make_unique<msg::member_record_msg>());
    probe.updates.back()->node = "node-c";
    probe.updates.back()->incarnation = 42;
    return probe;
}

TEST(envelope, carries_message_and_sender) {
    const auto decoded = decode_envelope(encode_envelope(node_id{"node-a"}, make_probe()));
    ASSERT_TRUE(std::holds_alternative<incoming>(decoded));
    EXPECT_EQ(std::get<incoming>(decoded).from, node_id{"node-a"});
    EXPECT_EQ(std::get<incoming>(decoded).message, make_probe());
}

TEST(envelope, names_the_kind) {
    EXPECT_EQ(kind_name(make_probe()), "probe");
    EXPECT_EQ(kind_name(msg::move_state_msg{}), "move_state");
}

TEST(envelope, refuses_bytes_that_are_not_an_envelope) {
    EXPECT_TRUE(std::holds_alternative<findings>(decode_envelope("")));
    EXPECT_TRUE(std::holds_alternative<findings>(decode_envelope("not an envelope at all")));
}

RC_GTEST_PROP(envelope, survives_any_damage, (const std::vector<unsigned char>& noise)) {
    auto bytes = encode_envelope(node_id{"node-a"}, make_probe());
    for (std::size_t i = 0; i + 1 < noise.size(); i += 2) {
        bytes[(noise[i] * bytes.size()) / 256] ^= static_cast<char>(noise[i + 1]);
    }
    const auto cut = noise.empty() ? bytes.size() : bytes.size() - noise.back() % bytes.size();
    // Decoding must neither crash nor read outside the bytes; either result is accepted.
    const auto decoded = decode_envelope(std::string_view(bytes).substr(0, cut));
    RC_ASSERT(decoded.index() < 2U);
}

} // namespace
} // namespace cyclamenhatch

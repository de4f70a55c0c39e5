#include "wire/frame_reader.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::wire {
namespace {

constexpr std::size_t max_bytes = 1000;

std::vector<std::string> read_all(frame_reader& reader, const std::string& stream,
                                  std::size_t piece) {
    std::vector<std::string> frames;
    for (std::size_t offset = 0; offset < stream.size(); offset += piece) {
        append(reader, std::string_view(stream).substr(offset, piece));
        while (const auto frame = next_frame(reader)) {
            frames.emplace_back(*frame);
        }
    }
    return frames;
}

RC_GTEST_PROP(frame_reader, returns_the_same_frames_however_the_stream_is_split,
              (const std::vector<std::string>& texts)) {
    std::string stream;
    std::vector<std::string> sent;
    for (const auto& text : texts) {
        sent.push_back("x" + text);
        stream += make_frame(sent.back());
    }
    frame_reader reader{.max_frame_bytes = max_bytes};
    RC_ASSERT(read_all(reader, stream, *rc::gen::inRange<std::size_t>(1, 50)) == sent);
    RC_ASSERT(!reader.is_broken);
}

RC_GTEST_PROP(frame_reader, never_returns_a_frame_above_the_limit, (const std::string& noise)) {
    frame_reader reader{.max_frame_bytes = max_bytes};
    for (const auto& frame : read_all(reader, noise, 7)) {
        RC_ASSERT(frame.size() <= max_bytes);
    }
}

struct length_row {
    const char* name;
    std::string header;
    bool is_broken;
};

class frame_length : public testing::TestWithParam<length_row> {};

TEST_P(frame_length, out_of_range_breaks_the_stream_permanently) {
    frame_reader reader{.max_frame_bytes = max_bytes};
    append(reader, GetParam().header);
    EXPECT_FALSE(next_frame(reader).has_value());
    append(reader, make_frame("late"));
    EXPECT_EQ(reader.is_broken, GetParam().is_broken);
    EXPECT_EQ(next_frame(reader).has_value(), !GetParam().is_broken);
}

INSTANTIATE_TEST_SUITE_P(
    table, frame_length,
    testing::Values(length_row{"zero", std::string(4, '\0'), true},
                    length_row{"past_the_limit", std::string("\xE9\x03\x00\x00", 4), true},
                    length_row{"largest", std::string("\xFF\xFF\xFF\xFF", 4), true},
                    length_row{"nothing_yet", std::string(), false}),
    [](const auto& each) { return std::string(each.param.name); });

} // namespace
} // namespace cyclamenhatch::wire

#include "admin/fake_backend.h"
#include "admin/measures.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::admin {
namespace {

struct measures_test : testing::Test {
    fake_node node{.config = make_config(7, make_catalogue())};
    backend held = make_backend(node);
    std::shared_ptr<measures> measured = make_measures();

    /// The value of one line, or an empty text.
    std::string read(const std::string& name) {
        const auto text = write_measures(*measured, held);
        const auto at = text.find("\n" + name + " ");
        return at == std::string::npos
                   ? ""
                   : text.substr(at + name.size() + 2,
                                 text.find('\n', at + 1) - at - name.size() - 2);
    }

    void end_move(move_outcome outcome, instant in_force_at) {
        auto part = make_catalogue();
        part.moves[1].ending = move_ending{
            .outcome = outcome, .in_force_at = in_force_at, .calls_on_new = 40, .errors_on_new = 3};
        part.moves[1].last_write.revision = config_version{8};
        node.config = make_config(8, part);
    }
};

TEST_F(measures_test, leave_out_what_happened_before_the_node_was_ready) {
    node.progress = {
        {.version = config_version{7}, .accepted = from_unix_ms(1), .in_force = from_unix_ms(2)}};
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_count"), "0");
    EXPECT_EQ(read(R"(cyclamenhatch_moves_ended_total{outcome="taken_back",in_time="yes"})"), "");
}

TEST_F(measures_test, count_each_convergence_once) {
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_count"), "0");
    node.progress = {{.version = config_version{8}, .accepted = from_unix_ms(1000)}};
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_count"), "0");
    node.progress[0].in_force = from_unix_ms(1750);
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_count"), "1");
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_sum"), "0.75");
}

TEST_F(measures_test, count_each_ending_once) {
    static_cast<void>(write_measures(*measured, held));
    end_move(move_outcome::done, make_catalogue().moves[1].deadline);
    const std::string ended = R"(cyclamenhatch_moves_ended_total{outcome="done",in_time="yes"})";
    EXPECT_EQ(read(ended), "1");
    EXPECT_EQ(read(ended), "1");
    EXPECT_EQ(read(R"(cyclamenhatch_move_calls_on_new_total{outcome="done"})"), "40");
}

TEST_F(measures_test, tell_a_late_ending) {
    static_cast<void>(write_measures(*measured, held));
    end_move(move_outcome::done, make_catalogue().moves[1].deadline + milliseconds{1});
    EXPECT_EQ(read(R"(cyclamenhatch_moves_ended_total{outcome="done",in_time="no"})"), "1");
}

TEST_F(measures_test, count_requests_by_method_and_status) {
    record_request(*measured, "GET", 200, microseconds{60});
    record_request(*measured, "BREW", 405, microseconds{60});
    EXPECT_EQ(read(R"(cyclamenhatch_api_requests_total{method="GET",status="200"})"), "1");
    EXPECT_EQ(read(R"(cyclamenhatch_api_requests_total{method="other",status="405"})"), "1");
    EXPECT_EQ(read(R"(cyclamenhatch_api_request_seconds_count{method="GET"})"), "1");
}

} // namespace
} // namespace cyclamenhatch::admin

#include "admin/fake_backend.h"
#include "admin/measures.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::admin {
namespace {

struct metrics_collector_test : testing::Test {
    fake_node node{.config = make_config(7, make_catalogue())};
    backend node_backend = make_backend(node);
    std::shared_ptr<metrics_collector> collector = make_metrics_collector();

    /// The value of a metric, or an empty text when it is absent.
    std::string read(const std::string& name) {
        const auto text = write_metrics(*collector, node_backend);
        const auto line = text.find("\n" + name + " ");
        return line == std::string::npos
                   ? ""
                   : text.substr(line + name.size() + 2,
                                 text.find('\n', line + 1) - line - name.size() - 2);
    }

    void end_move(move_outcome outcome, instant in_force_at) {
        auto part = make_catalogue();
        part.moves[1].ending = move_ending{
            .outcome = outcome, .in_force_at = in_force_at, .calls_on_new = 40, .errors_on_new = 3};
        part.moves[1].last_write.revision = config_version{8};
        node.config = make_config(8, part);
    }
};

TEST_F(metrics_collector_test, leave_out_what_happened_before_the_node_was_ready) {
    node.progress = {{.version = config_version{7},
                      .accepted_at = from_unix_ms(1),
                      .in_force_at = from_unix_ms(2)}};
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_count"), "0");
    EXPECT_EQ(read(R"(cyclamenhatch_moves_ended_total{outcome="taken_back",in_time="yes"})"), "");
}

TEST_F(metrics_collector_test, count_each_convergence_once) {
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_count"), "0");
    node.progress = {{.version = config_version{8}, .accepted_at = from_unix_ms(1000)}};
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_count"), "0");
    node.progress[0].in_force_at = from_unix_ms(1750);
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_count"), "1");
    EXPECT_EQ(read("cyclamenhatch_convergence_seconds_sum"), "0.75");
}

TEST_F(metrics_collector_test, count_each_ending_once) {
    static_cast<void>(write_metrics(*collector, node_backend));
    end_move(move_outcome::done, make_catalogue().moves[1].deadline);
    const std::string ended = R"(cyclamenhatch_moves_ended_total{outcome="done",in_time="yes"})";
    EXPECT_EQ(read(ended), "1");
    EXPECT_EQ(read(ended), "1");
    EXPECT_EQ(read(R"(cyclamenhatch_move_calls_on_new_total{outcome="done"})"), "40");
}

TEST_F(metrics_collector_test, report_a_late_ending) {
    static_cast<void>(write_metrics(*collector, node_backend));
    end_move(move_outcome::done, make_catalogue().moves[1].deadline + milliseconds{1});
    EXPECT_EQ(read(R"(cyclamenhatch_moves_ended_total{outcome="done",in_time="no"})"), "1");
}

TEST_F(metrics_collector_test, count_requests_by_method_and_status) {
    record_request(*collector, "GET", 200, microseconds{60});
    record_request(*collector, "BREW", 405, microseconds{60});
    EXPECT_EQ(read(R"(cyclamenhatch_api_requests_total{method="GET",status="200"})"), "1");
    EXPECT_EQ(read(R"(cyclamenhatch_api_requests_total{method="other",status="405"})"), "1");
    EXPECT_EQ(read(R"(cyclamenhatch_api_request_seconds_count{method="GET"})"), "1");
}

} // namespace
} // namespace cyclamenhatch::admin

#include "store/path_probe.h"

#include <gtest/gtest.h>

#include <optional>

namespace cyclamenhatch::store {
namespace {

constexpr milliseconds tick_interval{100};

/// A probe beside a service that answers each read after `answer_time`, or never.
struct probe_fixture {
    path_probe probe = make_path_probe("/c/");
    instant now{seconds{1000}};
    std::optional<milliseconds> answer_time = milliseconds{4};
    bool is_watching = true;
    /// When the answers to the reads under way arrive, by request.
    std::vector<std::pair<instant, std::uint64_t>> answers;
    int reads = 0;

    void receive() {
        std::erase_if(answers, [&](const auto& answer) {
            if (answer.first > now) {
                return false;
            }
            EXPECT_TRUE(on_response(probe, {answer.second, kv_entries{}}, now));
            return true;
        });
    }

    void tick() {
        std::vector<kv_request> requests;
        on_tick(probe, is_watching, now, requests);
        for (const auto& request : requests) {
            ++reads;
            const auto& read = std::get<kv_range>(request.operation);
            EXPECT_TRUE(read.may_be_stale);
            EXPECT_FALSE(read.is_prefix);
            if (answer_time) {
                answers.emplace_back(now + *answer_time, request.id);
            }
        }
    }

    void run(milliseconds duration) {
        for (const auto end = now + duration; now < end;) {
            now += tick_interval;
            receive();
            tick();
        }
    }
};

/// Guards against a watcher that does not notice for seconds that the service no longer hears it
/// (CONFIG).
TEST(path_probe, finds_a_silent_path_within_a_second) {
    for (int phase = 0; phase < 10; ++phase) {
        probe_fixture fixture;
        fixture.run(seconds{3} + phase * tick_interval);
        EXPECT_FALSE(fixture.probe.is_silent);
        fixture.answer_time.reset();
        fixture.answers.clear();
        fixture.run(milliseconds{1000});
        EXPECT_TRUE(fixture.probe.is_silent) << phase;
        fixture.is_watching = false;
        fixture.answer_time = milliseconds{4};
        fixture.run(milliseconds{1000});
        EXPECT_FALSE(fixture.probe.is_silent) << "the path is back";
    }
}

TEST(path_probe, costs_nothing_beside_other_answers_or_without_a_watch) {
    probe_fixture fixture;
    fixture.run(seconds{60});
    EXPECT_LE(fixture.reads, 150) << "one in 400 ms";
    fixture.reads = 0;
    for (int step = 0; step < 100; ++step) {
        note_heard(fixture.probe, fixture.now);
        fixture.run(milliseconds{300});
    }
    EXPECT_EQ(fixture.reads, 0);
    fixture.is_watching = false;
    fixture.run(seconds{10});
    EXPECT_EQ(fixture.reads, 0);
}

/// Guards against a slow service that makes nodes hand the watch around: its late answers, also
/// those to other requests, do not make the path one to rely on.
TEST(path_probe, counts_late_answers_as_none) {
    probe_fixture fixture;
    fixture.answer_time = milliseconds{600};
    fixture.run(seconds{2});
    EXPECT_TRUE(fixture.probe.is_silent);
    for (int step = 0; step < 20; ++step) {
        note_heard(fixture.probe, fixture.now);
        fixture.run(milliseconds{300});
        EXPECT_TRUE(fixture.probe.is_silent);
    }
}

/// Guards against a busy process that takes answers it has not yet received for lost ones.
TEST(path_probe, is_not_misled_by_late_ticks) {
    probe_fixture fixture;
    fixture.run(seconds{1});
    for (int step = 0; step < 50; ++step) {
        // The tick comes before the answers that arrived while the process was busy.
        fixture.now += milliseconds{700};
        fixture.tick();
        fixture.receive();
        EXPECT_FALSE(fixture.probe.is_silent) << step;
    }
}

TEST(path_probe, leaves_responses_of_others_alone) {
    probe_fixture fixture;
    EXPECT_FALSE(on_response(fixture.probe, {leave_request_base, kv_entries{}}, fixture.now));
}

} // namespace
} // namespace cyclamenhatch::store

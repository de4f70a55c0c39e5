#include "test_cluster.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::store {
namespace {

/// The first of two nodes submits the change "op" while a fault is active.
struct writer_row {
    const char* name;
    std::function<void(test_cluster&)> before;
    /// What happens 300 ms after the change was submitted.
    std::function<void(test_cluster&)> after;
    const char* outcome;
    /// Number of heads that carry the change in the end.
    std::ptrdiff_t runs;
    /// Time after submission by which the outcome must be reported.
    milliseconds known_by;
};

class writer_fault : public testing::TestWithParam<writer_row> {};

TEST_P(writer_fault, gives_the_true_outcome) {
    auto cluster = make_cluster(2);
    submit(cluster, 0, "first", make_service_write("layouts"));
    run(cluster, milliseconds{300});
    ASSERT_EQ(outcome_of(cluster.nodes[0], "first"), "accepted");
    GetParam().before(cluster);
    submit(cluster, 0, "op", make_version_write("layouts", "v2"));
    run(cluster, milliseconds{300});
    GetParam().after(cluster);
    run(cluster, GetParam().known_by - milliseconds{300});
    EXPECT_EQ(outcome_of(cluster.nodes[0], "op"), GetParam().outcome);
    run(cluster, milliseconds{15'000});
    EXPECT_EQ(count_runs(cluster.store, "op"), GetParam().runs);
}

void nothing(test_cluster& /*cluster*/) {}
void heal(test_cluster& cluster) {
    cluster.store.faults = {};
}
void lose_answers(test_cluster& cluster) {
    cluster.store.faults.loses_answers = true;
}
void fall_silent(test_cluster& cluster) {
    cluster.store.faults.is_silent = true;
}
void go_down(test_cluster& cluster) {
    fakes::set_down(cluster.store, true, cluster.now);
}

/// The transaction arrives long after the request timed out.
void delay_requests(test_cluster& cluster) {
    cluster.store.faults.request_delay = seconds{3};
}

/// The other node changes the head, so that the first node's base is stale.
void write_other_change(test_cluster& cluster) {
    submit(cluster, 1, "other", make_version_write("layouts", "v9"));
    run(cluster, milliseconds{100});
}

/// The other node carries out the same change.
void write_same_version(test_cluster& cluster) {
    submit(cluster, 1, "other", make_version_write("layouts", "v2"));
    run(cluster, milliseconds{100});
}

void heal_and_write_other_change(test_cluster& cluster) {
    heal(cluster);
    write_other_change(cluster);
}

const std::vector<writer_row> writer_faults = {
    {"no_fault", nothing, nothing, "accepted", 1, milliseconds{400}},
    {"down", go_down, nothing, "not_run", 0, milliseconds{1500}},
    {"down_and_up", go_down, heal, "accepted", 1, milliseconds{1500}},
    {"answer_lost", lose_answers, heal, "accepted", 1, milliseconds{2000}},
    {"answer_lost_then_other_writer", lose_answers, heal_and_write_other_change, "accepted", 1,
     milliseconds{2000}},
    {"answers_lost_for_good", lose_answers, nothing, "unknown", 1, milliseconds{5200}},
    {"silent_for_good", fall_silent, nothing, "unknown", 0, milliseconds{5200}},
    {"silent_and_back", fall_silent, heal, "accepted", 1, milliseconds{2000}},
    {"delayed_past_the_timeout", delay_requests, heal, "accepted", 1, milliseconds{2000}},
    {"delayed_for_good", delay_requests, nothing, "unknown", 1, milliseconds{5200}},
    {"lost_race", write_other_change, nothing, "accepted", 1, milliseconds{600}},
    {"lost_race_for_the_name", write_same_version, nothing, "conflict", 0, milliseconds{600}},
};

INSTANTIATE_TEST_SUITE_P(table, writer_fault, testing::ValuesIn(writer_faults),
                         [](const auto& row) { return std::string(row.param.name); });

TEST(config_writer, batches_what_arrives_together_and_answers_refusals_alone) {
    auto cluster = make_cluster(1);
    submit(cluster, 0, "first", make_service_write("layouts"));
    submit(cluster, 0, "good", make_version_write("layouts", "v2"));
    submit(cluster, 0, "bad", make_version_write("absent", "v2"));
    submit(cluster, 0, "also-good", make_version_write("layouts", "v3"));
    run(cluster, milliseconds{500});
    EXPECT_EQ(outcome_of(cluster.nodes[0], "good"), "accepted");
    EXPECT_EQ(outcome_of(cluster.nodes[0], "also-good"), "accepted");
    EXPECT_EQ(outcome_of(cluster.nodes[0], "bad"), "invalid");
    EXPECT_EQ(list_heads(cluster.store).size(), 1U);
}

TEST(config_writer, refuses_only_on_what_the_store_holds_now) {
    auto cluster = make_cluster(2);
    submit(cluster, 0, "first", make_service_write("layouts"));
    run(cluster, milliseconds{300});
    submit(cluster, 1, "other", make_version_write("layouts", "v2"));
    run(cluster, milliseconds{300});
    resource_write removal;
    removal.deletes.push_back({resource_kind::upstream_version, service_id{"layouts"}, "v2"});
    submit(cluster, 0, "removal", removal);
    run(cluster, milliseconds{300});
    EXPECT_EQ(outcome_of(cluster.nodes[0], "removal"), "accepted");
}

/// A delayed transaction carries two changes. The first reaches its deadline meanwhile, and without
/// it the second is invalid. Refusing the second while the transaction may still run would be
/// wrong.
TEST(config_writer, makes_a_late_transaction_impossible_before_it_refuses) {
    auto cluster = make_cluster(1);
    submit(cluster, 0, "first", make_service_write("layouts"));
    run(cluster, milliseconds{300});
    submit(cluster, 0, "before", make_version_write("layouts", "v0"));
    // Changes that are queued during a swap are sent together in the next one, here with a delay.
    cluster.store.faults.request_delay = seconds{3};
    submit(cluster, 0, "version", make_version_write("layouts", "v2"), milliseconds{900});
    resource_write order;
    order.moves.push_back({.name = move_id{"to-v2"},
                           .service = service_id{"layouts"},
                           .old_version = version_id{"v1"},
                           .new_version = version_id{"v2"},
                           .deadline = from_unix_ms(4'000'000'000'000)});
    submit(cluster, 0, "move", order, milliseconds{10'000});
    run(cluster, milliseconds{950});
    cluster.store.faults.request_delay = milliseconds{1};
    run(cluster, milliseconds{8000});
    EXPECT_EQ(outcome_of(cluster.nodes[0], "version"), "unknown");
    EXPECT_EQ(outcome_of(cluster.nodes[0], "move"), "invalid");
    EXPECT_EQ(count_runs(cluster.store, "version") + count_runs(cluster.store, "move"), 0);
}

/// The answer to an operation is lost, and another operation has since overwritten its resource.
TEST(config_writer, finds_a_lost_operation_that_was_overwritten) {
    auto cluster = make_cluster(2);
    submit(cluster, 0, "first", make_service_write("layouts"));
    run(cluster, milliseconds{300});
    cluster.store.faults.loses_answers = true;
    auto more = make_service_write("layouts");
    more.services[0].reserved_slots = 5;
    submit(cluster, 0, "lost", more);
    run(cluster, milliseconds{300});
    cluster.store.faults.loses_answers = false;
    more.services[0].reserved_slots = 9;
    submit(cluster, 1, "over", more);
    run(cluster, milliseconds{3000});
    EXPECT_EQ(outcome_of(cluster.nodes[0], "lost"), "accepted");
    EXPECT_EQ(
        cluster.nodes[0].writer.base->sections.begin()->second->content.service.reserved_slots, 9U);
}

TEST(config_writer, answers_an_operation_again_with_the_same_version) {
    auto cluster = make_cluster(2);
    submit(cluster, 0, "first", make_service_write("layouts"));
    submit(cluster, 0, "first", make_service_write("layouts"));
    run(cluster, milliseconds{300});
    submit(cluster, 1, "second", make_version_write("layouts", "v2"));
    run(cluster, milliseconds{300});
    submit(cluster, 1, "first", make_service_write("layouts"));
    run(cluster, milliseconds{300});
    ASSERT_EQ(cluster.nodes[0].replies.size(), 2U);
    ASSERT_EQ(cluster.nodes[1].replies.size(), 2U);
    const auto* again = std::get_if<write_accepted>(&cluster.nodes[1].replies[1].outcome);
    ASSERT_NE(again, nullptr);
    EXPECT_EQ(again->version.value, 1U);
    EXPECT_EQ(list_heads(cluster.store).size(), 2U);
}

TEST(config_writer, does_not_report_as_not_run_what_it_reported_as_unknown) {
    auto cluster = make_cluster(1);
    submit(cluster, 0, "first", make_service_write("layouts"));
    run(cluster, milliseconds{300});
    cluster.store.faults.loses_answers = true;
    submit(cluster, 0, "op", make_version_write("layouts", "v2"));
    run(cluster, milliseconds{500});
    fakes::set_down(cluster.store, true, cluster.now);
    run(cluster, milliseconds{6000});
    ASSERT_EQ(outcome_of(cluster.nodes[0], "op"), "unknown");
    submit(cluster, 0, "probe", make_version_write("layouts", "v3"));
    run(cluster, milliseconds{100});
    ASSERT_EQ(outcome_of(cluster.nodes[0], "probe"), "not_run");
    cluster.nodes[0].replies.clear();
    submit(cluster, 0, "op", make_version_write("layouts", "v2"));
    EXPECT_EQ(outcome_of(cluster.nodes[0], "op"), "unknown");
    cluster.nodes[0].replies.clear();
    cluster.store.faults = {};
    run(cluster, milliseconds{6000});
    submit(cluster, 0, "op", make_version_write("layouts", "v2"));
    run(cluster, milliseconds{500});
    EXPECT_EQ(outcome_of(cluster.nodes[0], "op"), "accepted");
    EXPECT_EQ(count_runs(cluster.store, "op"), 1);
}

TEST(config_writer, refuses_an_operation_without_an_id) {
    auto cluster = make_cluster(1);
    submit(cluster, 0, "", make_service_write("layouts"));
    EXPECT_EQ(outcome_of(cluster.nodes[0], ""), "invalid");
}

TEST(config_writer, builds_on_the_newer_local_configuration_after_a_store_restore) {
    auto cluster = make_cluster(2);
    submit(cluster, 0, "first", make_service_write("layouts"));
    run(cluster, milliseconds{300});
    const auto saved = fakes::save(cluster.store);
    submit(cluster, 0, "second", make_version_write("layouts", "v2"));
    run(cluster, milliseconds{300});
    fakes::restore(cluster.store, saved, cluster.now);
    submit(cluster, 0, "third", make_version_write("layouts", "v3"));
    run(cluster, milliseconds{1000});
    EXPECT_EQ(outcome_of(cluster.nodes[0], "third"), "accepted");
    const auto heads = list_heads(cluster.store);
    ASSERT_EQ(heads.size(), 1U);
    EXPECT_EQ(heads.back().version.value, 3U);
    ASSERT_NE(cluster.nodes[0].writer.local_snapshot, nullptr);
    EXPECT_EQ(
        cluster.nodes[0].writer.local_snapshot->sections.begin()->second->content.versions.size(),
        3U);
}

TEST(config_writer, keeps_its_rate_limit_and_rejects_at_once_during_an_outage) {
    auto cluster = make_cluster(1);
    fakes::set_down(cluster.store, true, cluster.now);
    submit(cluster, 0, "first", make_service_write("layouts"));
    run(cluster, milliseconds{1600});
    submit(cluster, 0, "second", make_service_write("layouts"));
    const auto& replies = cluster.nodes[0].replies;
    ASSERT_EQ(replies.size(), 2U);
    const auto* refused = std::get_if<write_not_run>(&replies[1].outcome);
    ASSERT_NE(refused, nullptr);
    EXPECT_GT(refused->retry_after, milliseconds{0});
    fakes::set_down(cluster.store, false, cluster.now);
    for (int i = 0; i < 600; ++i) {
        submit(cluster, 0, "op" + std::to_string(i),
               make_version_write("layouts", "v" + std::to_string(i)));
        run(cluster, milliseconds{10});
    }
    // Six seconds at 5 requests a second, and the burst of a full bucket.
    EXPECT_LE(cluster.store.reads, 35U);
    EXPECT_LE(cluster.store.writes, 35U);
}

/// Concurrent writers under random faults.
struct fault_run {
    test_cluster cluster;
    std::vector<std::string> operations;
    std::map<std::string, std::size_t> submissions;
};

enum class fault_action { submit, submit_again, lose, silence, delay, down, heal, restart };

void submit_counted(fault_run& run, std::size_t node, const std::string& operation) {
    ++run.submissions[operation];
    submit(run.cluster, node, operation, make_version_write("layouts", operation));
}

/// Replaces the writer as a restarted process does: answers to earlier requests are not its own.
void restart(test_node& node, instant now, int number) {
    node.writer = make_config_writer({.prefix = test_prefix}, now);
    node.writer.next_request += static_cast<std::uint64_t>(number + 1) << 20U;
}

void apply_action(fault_run& run, fault_action action, int number) {
    auto& cluster = run.cluster;
    auto& faults = cluster.store.faults;
    const auto choice = static_cast<std::size_t>(number);
    if (action == fault_action::submit || run.operations.empty()) {
        run.operations.push_back("op" + std::to_string(run.operations.size()));
        submit_counted(run, run.operations.size() % cluster.nodes.size(), run.operations.back());
    } else if (action == fault_action::submit_again) {
        const auto index = choice % run.operations.size();
        submit_counted(run, (index + 1) % cluster.nodes.size(), run.operations[index]);
    } else if (action == fault_action::lose) {
        faults.loses_answers = !faults.loses_answers;
    } else if (action == fault_action::silence) {
        faults.is_silent = !faults.is_silent;
    } else if (action == fault_action::delay) {
        faults.request_delay = milliseconds{number};
    } else if (action == fault_action::down) {
        fakes::set_down(cluster.store, true, cluster.now);
    } else if (action == fault_action::restart) {
        restart(cluster.nodes[choice % cluster.nodes.size()], cluster.now, number);
    } else {
        faults = {};
    }
}

fault_run run_random_faults(int action_count) {
    fault_run run{.cluster = make_cluster(3)};
    submit(run.cluster, 0, "first", make_service_write("layouts"));
    store::run(run.cluster, milliseconds{200});
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, action_count), rc::gen::inRange(0, 4000)));
    for (const auto& [action, number] : steps) {
        apply_action(run, static_cast<fault_action>(action), number);
        store::run(run.cluster, milliseconds{number % 900});
    }
    run.cluster.store.faults = {};
    store::run(run.cluster, milliseconds{15'000});
    return run;
}

void check_heads(const fault_run& run) {
    const auto heads = list_heads(run.cluster.store);
    for (std::size_t i = 1; i < heads.size(); ++i) {
        RC_ASSERT(heads[i - 1].version < heads[i].version);
    }
    for (const auto& operation : run.operations) {
        RC_ASSERT(count_runs(run.cluster.store, operation) <= 1);
    }
}

RC_GTEST_PROP(config_writer, runs_each_change_at_most_once_whatever_happens, ()) {
    const auto run = run_random_faults(8);
    check_heads(run);
    for (const auto& node : run.cluster.nodes) {
        RC_ASSERT(node.writer.queue.empty());
        for (const auto& reply : node.replies) {
            const auto runs = count_runs(run.cluster.store, reply.operation.value);
            RC_ASSERT(!std::holds_alternative<write_accepted>(reply.outcome) || runs == 1);
        }
    }
}

/// Without restarts each submission is answered once, and an operation whose last reply is not run
/// or refused is in no head.
RC_GTEST_PROP(config_writer, answers_each_submission_once_and_truly, ()) {
    const auto run = run_random_faults(7);
    check_heads(run);
    std::map<std::string, std::vector<write_reply>> replies;
    for (const auto& node : run.cluster.nodes) {
        for (const auto& reply : node.replies) {
            replies[reply.operation.value].push_back(reply);
        }
    }
    for (const auto& [operation, submissions] : run.submissions) {
        RC_ASSERT(replies[operation].size() == submissions);
        const auto& last = replies[operation].back().outcome;
        const bool is_denied = std::holds_alternative<write_not_run>(last) ||
                               std::holds_alternative<change_refused>(last);
        RC_ASSERT(!is_denied || count_runs(run.cluster.store, operation) == 0);
    }
}

} // namespace
} // namespace cyclamenhatch::store

#include "store_world.h"

#include <functional>
#include <gtest/gtest.h>
#include <map>
#include <rapidcheck/gtest.h>

namespace cyclamenhatch::store {
namespace {

/// One change "op" is submitted by the first of two nodes while a fault stands.
struct writer_row {
    const char* name;
    std::function<void(store_world&)> before;
    /// What happens 300 ms after the change was submitted.
    std::function<void(store_world&)> after;
    const char* outcome;
    /// In how many heads the change may be.
    std::ptrdiff_t runs;
    /// When the outcome must be known at the latest.
    milliseconds known_by;
};

class writer_fault : public testing::TestWithParam<writer_row> {};

TEST_P(writer_fault, is_answered_truly) {
    auto world = make_world(2);
    submit(world, 0, "first", make_service_write("layouts"));
    run(world, milliseconds{300});
    ASSERT_EQ(outcome_of(world.nodes[0], "first"), "accepted");
    GetParam().before(world);
    submit(world, 0, "op", make_version_write("layouts", "v2"));
    run(world, milliseconds{300});
    GetParam().after(world);
    run(world, GetParam().known_by - milliseconds{300});
    EXPECT_EQ(outcome_of(world.nodes[0], "op"), GetParam().outcome);
    run(world, milliseconds{15'000});
    EXPECT_EQ(count_runs(world.store, "op"), GetParam().runs);
}

void nothing(store_world& /*world*/) {}
void heal(store_world& world) {
    world.store.faults = {};
}
void lose_answers(store_world& world) {
    world.store.faults.loses_answers = true;
}
void be_silent(store_world& world) {
    world.store.faults.is_silent = true;
}
void go_down(store_world& world) {
    fakes::set_down(world.store, true, world.now);
}

/// The transaction arrives long after its sender gave up.
void delay_requests(store_world& world) {
    world.store.faults.request_delay = seconds{3};
}

/// The other node changes the head, so that the first node's base is stale.
void race(store_world& world) {
    submit(world, 1, "other", make_version_write("layouts", "v9"));
    run(world, milliseconds{100});
}

/// The other node carries out the same change.
void take_name(store_world& world) {
    submit(world, 1, "other", make_version_write("layouts", "v2"));
    run(world, milliseconds{100});
}

void lose_answers_and_race(store_world& world) {
    heal(world);
    race(world);
}

const std::vector<writer_row> writer_faults = {
    {"no_fault", nothing, nothing, "accepted", 1, milliseconds{400}},
    {"down", go_down, nothing, "not_run", 0, milliseconds{1500}},
    {"down_and_up", go_down, heal, "accepted", 1, milliseconds{1500}},
    {"answer_lost", lose_answers, heal, "accepted", 1, milliseconds{2000}},
    {"answer_lost_then_other_writer", lose_answers, lose_answers_and_race, "accepted", 1,
     milliseconds{2000}},
    {"answers_lost_for_good", lose_answers, nothing, "unknown", 1, milliseconds{5200}},
    {"silent_for_good", be_silent, nothing, "unknown", 0, milliseconds{5200}},
    {"silent_and_back", be_silent, heal, "accepted", 1, milliseconds{2000}},
    {"delayed_past_the_timeout", delay_requests, heal, "accepted", 1, milliseconds{2000}},
    {"delayed_for_good", delay_requests, nothing, "unknown", 1, milliseconds{5200}},
    {"lost_race", race, nothing, "accepted", 1, milliseconds{600}},
    {"lost_race_for_the_name", take_name, nothing, "conflict", 0, milliseconds{600}},
};

INSTANTIATE_TEST_SUITE_P(table, writer_fault, testing::ValuesIn(writer_faults),
                         [](const auto& each) { return std::string(each.param.name); });

TEST(config_writer, batches_what_arrives_together_and_answers_refusals_alone) {
    auto world = make_world(1);
    submit(world, 0, "first", make_service_write("layouts"));
    submit(world, 0, "good", make_version_write("layouts", "v2"));
    submit(world, 0, "bad", make_version_write("absent", "v2"));
    submit(world, 0, "also-good", make_version_write("layouts", "v3"));
    run(world, milliseconds{500});
    EXPECT_EQ(outcome_of(world.nodes[0], "good"), "accepted");
    EXPECT_EQ(outcome_of(world.nodes[0], "also-good"), "accepted");
    EXPECT_EQ(outcome_of(world.nodes[0], "bad"), "invalid");
    EXPECT_EQ(list_heads(world.store).size(), 1U);
}

TEST(config_writer, refuses_only_on_what_the_store_holds_now) {
    auto world = make_world(2);
    submit(world, 0, "first", make_service_write("layouts"));
    run(world, milliseconds{300});
    submit(world, 1, "other", make_version_write("layouts", "v2"));
    run(world, milliseconds{300});
    resource_write removal;
    removal.deletes.push_back({resource_kind::upstream_version, service_id{"layouts"}, "v2"});
    submit(world, 0, "removal", removal);
    run(world, milliseconds{300});
    EXPECT_EQ(outcome_of(world.nodes[0], "removal"), "accepted");
}

/// A transaction that is still under way carries both changes; the first is given up meanwhile, and
/// without it the second is invalid.
TEST(config_writer, makes_a_late_transaction_impossible_before_it_refuses) {
    auto world = make_world(1);
    submit(world, 0, "first", make_service_write("layouts"));
    run(world, milliseconds{300});
    submit(world, 0, "before", make_version_write("layouts", "v0"));
    // What queues behind a swap goes out together, here on a slow path.
    world.store.faults.request_delay = seconds{3};
    submit(world, 0, "version", make_version_write("layouts", "v2"), milliseconds{900});
    auto service = make_service_write("layouts");
    service.services[0].version = version_id{"v2"};
    service.versions.clear();
    submit(world, 0, "service", service, milliseconds{10'000});
    run(world, milliseconds{950});
    world.store.faults.request_delay = milliseconds{1};
    run(world, milliseconds{8000});
    EXPECT_EQ(outcome_of(world.nodes[0], "version"), "unknown");
    EXPECT_EQ(outcome_of(world.nodes[0], "service"), "invalid");
    EXPECT_EQ(count_runs(world.store, "version") + count_runs(world.store, "service"), 0);
}

/// The operation is no longer the last one on its resource, and its answer was lost.
TEST(config_writer, finds_a_lost_operation_that_was_overwritten) {
    auto world = make_world(2);
    submit(world, 0, "first", make_service_write("layouts"));
    run(world, milliseconds{300});
    world.store.faults.loses_answers = true;
    auto more = make_service_write("layouts");
    more.services[0].reserved_slots = 5;
    submit(world, 0, "lost", more);
    run(world, milliseconds{300});
    world.store.faults.loses_answers = false;
    more.services[0].reserved_slots = 9;
    submit(world, 1, "over", more);
    run(world, milliseconds{3000});
    EXPECT_EQ(outcome_of(world.nodes[0], "lost"), "accepted");
    EXPECT_EQ(world.nodes[0].writer.base->sections.begin()->second->content.service.reserved_slots,
              9U);
}

TEST(config_writer, answers_an_operation_again_with_the_same_version) {
    auto world = make_world(2);
    submit(world, 0, "first", make_service_write("layouts"));
    submit(world, 0, "first", make_service_write("layouts"));
    run(world, milliseconds{300});
    submit(world, 1, "second", make_version_write("layouts", "v2"));
    run(world, milliseconds{300});
    submit(world, 1, "first", make_service_write("layouts"));
    run(world, milliseconds{300});
    ASSERT_EQ(world.nodes[0].replies.size(), 2U);
    ASSERT_EQ(world.nodes[1].replies.size(), 2U);
    const auto* again = std::get_if<write_accepted>(&world.nodes[1].replies[1].outcome);
    ASSERT_NE(again, nullptr);
    EXPECT_EQ(again->version.value, 1U);
    EXPECT_EQ(list_heads(world.store).size(), 2U);
}

TEST(config_writer, builds_on_what_the_fleet_holds_when_the_store_fell_behind) {
    auto world = make_world(2);
    submit(world, 0, "first", make_service_write("layouts"));
    run(world, milliseconds{300});
    const auto saved = fakes::save(world.store);
    submit(world, 0, "second", make_version_write("layouts", "v2"));
    run(world, milliseconds{300});
    fakes::restore(world.store, saved, world.now);
    submit(world, 0, "third", make_version_write("layouts", "v3"));
    run(world, milliseconds{1000});
    EXPECT_EQ(outcome_of(world.nodes[0], "third"), "accepted");
    const auto heads = list_heads(world.store);
    ASSERT_EQ(heads.size(), 1U);
    EXPECT_EQ(heads.back().version.value, 3U);
    ASSERT_NE(world.nodes[0].writer.held, nullptr);
    EXPECT_EQ(world.nodes[0].writer.held->sections.begin()->second->content.versions.size(), 3U);
}

TEST(config_writer, keeps_its_rate_and_gives_back_at_once_during_an_outage) {
    auto world = make_world(1);
    fakes::set_down(world.store, true, world.now);
    submit(world, 0, "first", make_service_write("layouts"));
    run(world, milliseconds{500});
    submit(world, 0, "second", make_service_write("layouts"));
    const auto& replies = world.nodes[0].replies;
    ASSERT_EQ(replies.size(), 2U);
    const auto* refused = std::get_if<write_not_run>(&replies[1].outcome);
    ASSERT_NE(refused, nullptr);
    EXPECT_GT(refused->retry_after, milliseconds{0});
    fakes::set_down(world.store, false, world.now);
    for (int i = 0; i < 600; ++i) {
        submit(world, 0, "op" + std::to_string(i),
               make_version_write("layouts", "v" + std::to_string(i)));
        run(world, milliseconds{10});
    }
    // Six seconds at 5 a second, and what a full bucket allows at once.
    EXPECT_LE(world.store.reads, 35U);
    EXPECT_LE(world.store.writes, 35U);
}

/// What happens at random to several writers.
enum class mishap { submit, resubmit, lose, silence, delay, down, heal, restart, race };

void do_mishap(store_world& world, mishap what, int number, std::vector<std::string>& operations) {
    const auto node = static_cast<std::size_t>(number) % world.nodes.size();
    auto& faults = world.store.faults;
    switch (what) {
    case mishap::submit:
    case mishap::race:
        operations.push_back("op" + std::to_string(operations.size()));
        submit(world, node, operations.back(), make_version_write("layouts", operations.back()));
        break;
    case mishap::resubmit: {
        const auto& operation = operations[static_cast<std::size_t>(number) % operations.size()];
        submit(world, node, operation, make_version_write("layouts", operation));
        break;
    }
    case mishap::lose:
        faults.loses_answers = !faults.loses_answers;
        break;
    case mishap::silence:
        faults.is_silent = !faults.is_silent;
        break;
    case mishap::delay:
        faults.request_delay = milliseconds{number % 4000};
        break;
    case mishap::down:
        fakes::set_down(world.store, true, world.now);
        break;
    case mishap::heal:
        faults = {};
        break;
    case mishap::restart:
        // A new process has another name: it gets no answers to its predecessor's requests.
        world.nodes[node].writer = make_config_writer({.prefix = test_prefix}, world.now);
        world.nodes[node].writer.next_request += static_cast<std::uint64_t>(number + 1) << 20U;
        break;
    }
}

RC_GTEST_PROP(config_writer, tells_the_truth_whatever_happens, ()) {
    auto world = make_world(3);
    std::vector<std::string> operations{"first"};
    submit(world, 0, "first", make_service_write("layouts"));
    run(world, milliseconds{200});
    const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 4000)));
    for (const auto& [what, number] : steps) {
        do_mishap(world, static_cast<mishap>(what), number, operations);
        run(world, milliseconds{number % 900});
    }
    world.store.faults = {};
    run(world, milliseconds{15'000});

    const auto heads = list_heads(world.store);
    for (std::size_t i = 1; i < heads.size(); ++i) {
        RC_ASSERT(heads[i - 1].version < heads[i].version);
    }
    for (const auto& operation : operations) {
        RC_ASSERT(count_runs(world.store, operation) <= 1);
    }
    for (const auto& node : world.nodes) {
        RC_ASSERT(node.writer.queue.empty());
        for (const auto& reply : node.replies) {
            const auto runs = count_runs(world.store, reply.operation.value);
            RC_ASSERT(!std::holds_alternative<write_accepted>(reply.outcome) || runs == 1);
        }
    }
}

/// As above, without resubmission: then a change that was reported as not run or refused must never
/// be in any head.
RC_GTEST_PROP(config_writer, never_carries_out_what_it_reported_as_not_run, ()) {
    auto world = make_world(2);
    std::vector<std::string> operations{"first"};
    submit(world, 0, "first", make_service_write("layouts"));
    run(world, milliseconds{200});
    const auto steps = *rc::gen::container<std::vector<std::pair<mishap, int>>>(
        rc::gen::pair(rc::gen::element(mishap::submit, mishap::lose, mishap::silence, mishap::delay,
                                       mishap::down, mishap::heal),
                      rc::gen::inRange(0, 4000)));
    for (const auto& [what, number] : steps) {
        do_mishap(world, what, number, operations);
        run(world, milliseconds{number % 900});
    }
    world.store.faults = {};
    run(world, milliseconds{15'000});
    std::map<std::string, std::size_t> answered;
    for (const auto& node : world.nodes) {
        for (const auto& reply : node.replies) {
            ++answered[reply.operation.value];
            const bool is_denied = std::holds_alternative<write_not_run>(reply.outcome) ||
                                   std::holds_alternative<change_refused>(reply.outcome);
            RC_ASSERT(!is_denied || count_runs(world.store, reply.operation.value) == 0);
        }
    }
    for (const auto& operation : operations) {
        RC_ASSERT(answered[operation] == 1U);
    }
}

} // namespace
} // namespace cyclamenhatch::store

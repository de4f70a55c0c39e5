#include "membership/upstream_run.h"

#include "membership/announced_leave.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::membership {
namespace {

constexpr instant now{microseconds(1'000'000'000)};

msg::upstream_record_msg make_announcement(const std::string& instance, std::uint64_t started,
                                           std::uint64_t sequence,
                                           msg::upstream_state state = msg::upstream_state::ready) {
    msg::upstream_record_msg record;
    record.instance = instance;
    record.started_ms = started;
    record.sequence = sequence;
    record.state = state;
    return record;
}

TEST(upstream_run, a_late_announcement_changes_nothing) {
    upstream_run run;
    EXPECT_TRUE(apply_announcement(run, make_announcement("a", 100, 5), now));
    EXPECT_FALSE(apply_announcement(run, make_announcement("a", 100, 4), now));
    EXPECT_FALSE(apply_announcement(run, make_announcement("a", 100, 5), now));
    EXPECT_TRUE(apply_announcement(run, make_announcement("a", 100, 6), now));
}

TEST(upstream_run, a_replaced_run_does_not_come_back) {
    upstream_run run;
    EXPECT_TRUE(apply_announcement(run, make_announcement("a", 100, 50), now));
    EXPECT_TRUE(apply_announcement(run, make_announcement("b", 200, 1), now));
    EXPECT_FALSE(apply_announcement(run, make_announcement("a", 100, 51), now));
    EXPECT_EQ(run.instance, "b");
}

TEST(upstream_run, a_new_run_may_reuse_the_id_and_restart_the_sequence) {
    upstream_run run;
    EXPECT_TRUE(apply_announcement(run, make_announcement("a", 100, 50), now));
    EXPECT_TRUE(record_leave(run, "a", now));
    EXPECT_FALSE(apply_announcement(run, make_announcement("a", 100, 51), now));
    EXPECT_TRUE(apply_announcement(run, make_announcement("a", 300, 1), now));
    EXPECT_FALSE(run.has_left);
}

/// After a restart the node receives the leave first, then an announcement sent before it.
TEST(upstream_run, one_that_left_before_it_was_known_does_not_come_back) {
    upstream_run run;
    EXPECT_TRUE(record_leave(run, "a", now));
    const auto left_ms = static_cast<std::uint64_t>(to_unix_ms(now));
    EXPECT_FALSE(
        apply_announcement(run, make_announcement("a", left_ms - 30'000, 7), now + seconds{1}));
    EXPECT_FALSE(apply_announcement(run, make_announcement("a", 0, 7), now + seconds{1}));
    // A later run may have the same id, and another instance may be announced.
    auto other = run;
    EXPECT_TRUE(
        apply_announcement(other, make_announcement("b", left_ms - 30'000, 1), now + seconds{1}));
    EXPECT_TRUE(
        apply_announcement(run, make_announcement("a", left_ms + 4'000, 1), now + seconds{5}));
}

/// Guards against a leave of a run that this process has never heard of, which is confirmed and
/// then forgotten at the next restart, since there is no record of it (DRAIN).
TEST(upstream_run, one_that_leaves_unheard_is_recorded_with_the_time_of_its_leave) {
    upstream_run run;
    std::optional<msg::upstream_record_msg> pending;
    const auto record = end_run(run, pending, nullptr, "a", now);
    ASSERT_TRUE(record);
    EXPECT_TRUE(is_lasting_leave(&*record));
    EXPECT_EQ(record->state, msg::upstream_state::gone);

    const auto left_ms = static_cast<std::uint64_t>(to_unix_ms(now));
    upstream_run restarted;
    ASSERT_TRUE(recover_leave(restarted, &*record, now));
    for (auto* known : {&run, &restarted}) {
        const auto later = now + seconds{5};
        EXPECT_FALSE(apply_announcement(*known, make_announcement("a", left_ms - 1, 7), later));
        EXPECT_FALSE(apply_announcement(*known, make_announcement("a", 0, 8), later));
        EXPECT_TRUE(apply_announcement(*known, make_announcement("a", left_ms + 1, 1), later));
    }
    for (const std::uint64_t started : {left_ms - 1, std::uint64_t{0}}) {
        msg::member_record_msg announced;
        announced.upstream =
            std::make_unique<msg::upstream_record_msg>(make_announcement("a", started, 7));
        EXPECT_EQ(keep_leave(announced, &*record), leave_fit::contradicted) << started;
    }
}

/// A node that does not serve yet, as after a restart while the store is down, holds the
/// announcement back. An upstream that leaves meanwhile must not be announced afterwards.
TEST(upstream_run, one_that_leaves_while_it_is_held_back_is_gone) {
    upstream_run run;
    std::optional pending = make_announcement("a", 100, 5);
    EXPECT_TRUE(apply_announcement(run, *pending, now));
    const auto record = end_run(run, pending, nullptr, "a", now);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->state, msg::upstream_state::gone);
    EXPECT_FALSE(pending);
    EXPECT_FALSE(apply_announcement(run, make_announcement("a", 100, 6), now));
    EXPECT_FALSE(end_run(run, pending, nullptr, "b", now));
}

TEST(upstream_run, one_that_drains_does_not_return) {
    upstream_run run;
    EXPECT_TRUE(apply_announcement(run, make_announcement("a", 100, 1), now));
    EXPECT_TRUE(apply_announcement(
        run, make_announcement("a", 100, 2, msg::upstream_state::draining), now));
    EXPECT_FALSE(apply_announcement(run, make_announcement("a", 100, 3), now));
    EXPECT_EQ(run.state, msg::upstream_state::draining);
}

/// Guards against an upstream that says in its answers that it leaves, and is announced as ready
/// all the same (DRAIN).
TEST(upstream_run, one_that_drains_by_its_answers_does_not_return) {
    upstream_run run;
    const auto sent = make_announcement("a", 100, 1);
    std::optional<msg::upstream_record_msg> pending;
    EXPECT_TRUE(apply_announcement(run, sent, now));
    EXPECT_FALSE(drain_run(run, pending, &sent, "b", now));
    const auto record = drain_run(run, pending, &sent, "a", now);
    ASSERT_TRUE(record);
    EXPECT_EQ(record->state, msg::upstream_state::draining);
    EXPECT_FALSE(drain_run(run, pending, &sent, "a", now)) << "it is known already";
    EXPECT_FALSE(apply_announcement(run, make_announcement("a", 100, 2), now));
    EXPECT_TRUE(apply_announcement(run, make_announcement("a", 300, 1), now));
}

msg::upstream_record_msg of_service(msg::upstream_record_msg record, const std::string& service) {
    record.service = service;
    return record;
}

const replacement_rules only_ledger{
    .is_configured = [](const std::string& service) { return service == "ledger"; }};

/// Guards against an announcement of another writer, for a service that nobody has configured, that
/// puts the sound upstream out of use for good (CONFIG).
TEST(upstream_run, of_no_configured_service_replaces_none_that_is) {
    upstream_run run;
    const auto sound = of_service(make_announcement("a", 100, 5), "ledger");
    EXPECT_TRUE(apply_announcement(run, sound, now, only_ledger));
    const auto odd = of_service(make_announcement("odd", 900, 1), "nobody");
    EXPECT_FALSE(apply_announcement(run, odd, now, only_ledger));
    EXPECT_TRUE(apply_announcement(run, of_service(make_announcement("a", 100, 6), "ledger"), now,
                                   only_ledger));
    EXPECT_EQ(run.instance, "a");
}

/// The same where the other writer came first, as before a configuration was known.
TEST(upstream_run, of_no_configured_service_gives_way) {
    upstream_run run;
    const auto odd = of_service(make_announcement("odd", 900, 1), "nobody");
    EXPECT_TRUE(apply_announcement(run, odd, now));
    const auto sound = of_service(make_announcement("a", 100, 5), "ledger");
    EXPECT_FALSE(apply_announcement(run, sound, now));
    EXPECT_TRUE(apply_announcement(run, sound, now, only_ledger));
    EXPECT_EQ(run.instance, "a");
    EXPECT_FALSE(run.replaced);
}

/// An upstream that was replaced by mistake announces itself on, each 1.5 s, and the other does
/// not.
struct contested_run {
    contested_run() {
        EXPECT_TRUE(apply_announcement(run, make_announcement("a", 100, 5), now));
        EXPECT_TRUE(apply_announcement(run, make_announcement("b", 900, 1), now));
    }

    bool announce_replaced(milliseconds after, std::uint64_t sequence,
                           msg::upstream_state state = msg::upstream_state::ready) {
        return apply_announcement(run, make_announcement("a", 100, sequence, state), now + after);
    }

    upstream_run run;
};

/// Guards against an upstream that one announcement of another writer, well formed but for its
/// address, puts out of use for good (CONFIG).
TEST(replaced_run, returns_when_only_it_announces_itself) {
    contested_run contested;
    EXPECT_FALSE(contested.announce_replaced(milliseconds{1500}, 6));
    EXPECT_TRUE(contested.announce_replaced(milliseconds{3000}, 7));
    EXPECT_EQ(contested.run.instance, "a");
    EXPECT_FALSE(apply_announcement(contested.run, make_announcement("a", 100, 7), now));
}

/// Guards against late announcements of a run that has crashed, and whose address a new one has.
TEST(replaced_run, does_not_return_while_the_other_announces_itself) {
    contested_run contested;
    for (std::uint64_t beat = 1; beat < 20; ++beat) {
        const auto at = beat * milliseconds{1500};
        EXPECT_FALSE(contested.announce_replaced(at, 5 + beat));
        EXPECT_TRUE(
            apply_announcement(contested.run, make_announcement("b", 900, 1 + beat), now + at));
    }
    EXPECT_FALSE(contested.announce_replaced(milliseconds{60'000}, 90));
}

TEST(replaced_run, does_not_return_once_it_leaves) {
    contested_run draining;
    EXPECT_FALSE(draining.announce_replaced(milliseconds{1500}, 6, msg::upstream_state::draining));
    contested_run gone;
    EXPECT_FALSE(record_leave(gone.run, "a", now));
    for (auto* contested : {&draining, &gone}) {
        for (std::uint64_t beat = 7; beat < 12; ++beat) {
            EXPECT_FALSE(contested->announce_replaced(beat * milliseconds{1500}, beat));
        }
    }
    upstream_run run;
    EXPECT_TRUE(apply_announcement(
        run, make_announcement("a", 100, 5, msg::upstream_state::draining), now));
    EXPECT_TRUE(apply_announcement(run, make_announcement("b", 900, 1), now));
    EXPECT_FALSE(run.replaced);
}

TEST(upstream_run, only_the_present_run_leaves) {
    upstream_run run;
    EXPECT_TRUE(apply_announcement(run, make_announcement("b", 200, 1), now));
    EXPECT_FALSE(record_leave(run, "a", now));
    EXPECT_TRUE(record_leave(run, "b", now));
    EXPECT_EQ(run.state, msg::upstream_state::gone);
}

TEST(upstream_run, without_an_instance_id_an_upstream_may_return_from_draining) {
    upstream_run run;
    EXPECT_TRUE(
        apply_announcement(run, make_announcement("", 0, 0, msg::upstream_state::draining), now));
    EXPECT_TRUE(apply_announcement(run, make_announcement("", 0, 0), now));
}

} // namespace
} // namespace cyclamenhatch::membership

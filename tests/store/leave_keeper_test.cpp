#include "store/leave_keeper.h"

#include <gtest/gtest.h>

#include <map>
#include <optional>

namespace cyclamenhatch::store {
namespace {

constexpr instant start{seconds{1000}};
constexpr milliseconds tick_interval{100};

msg::upstream_record_msg make_leave(const std::string& instance) {
    msg::upstream_record_msg record;
    record.service = "ledger";
    record.instance = instance;
    record.started_ms = 400;
    record.state = msg::upstream_state::gone;
    record.leaves = true;
    return record;
}

enum class service_mode { answers, is_down, loses_answers };

/// A keeper beside a service with the one key that it uses.
struct keeper_fixture {
    std::optional<kv_entry> stored;
    std::int64_t revision = 10;
    service_mode mode = service_mode::answers;
    bool is_awaited = true;
    leave_keeper keeper = make_leave_keeper("/c/", "n1", start);
    random_source random{1};
    instant now = start;
    int reads = 0;
    int writes = 0;
    std::optional<msg::upstream_record_msg> recovered;

    void restart() { keeper = make_leave_keeper("/c/", "n1", now); }

    void keep(const std::string& instance) {
        leave_actions actions;
        keep_leave(keeper, make_leave(instance), now, actions);
        carry_out(actions);
    }

    void forget() {
        leave_actions actions;
        forget_leave(keeper, now, actions);
        carry_out(actions);
    }

    /// The process reads the contacts.
    void read_contacts() {
        leave_actions actions;
        kv_entries read{.revision = revision, .entries = {{"/c/contact/n2", "10.0.0.2:1", 3}}};
        if (stored) {
            read.entries.push_back(*stored);
        }
        on_contacts(keeper, read, now, actions);
        carry_out(actions);
    }

    void run(milliseconds duration) {
        for (const auto end = now + duration; now < end;) {
            now += tick_interval;
            leave_actions actions;
            on_tick(keeper, is_awaited, now, random, actions);
            carry_out(actions);
        }
    }

    void carry_out(leave_actions& actions) {
        if (actions.recovered) {
            recovered = actions.recovered;
        }
        const auto requests = std::move(actions.requests);
        for (const auto& request : requests) {
            const auto outcome = execute(request.operation);
            if (mode == service_mode::loses_answers) {
                continue;
            }
            leave_actions next;
            EXPECT_TRUE(on_response(keeper, {request.id, outcome}, now, random, next));
            carry_out(next);
        }
    }

    decltype(kv_response::outcome) execute(const kv_operation& operation) {
        if (mode == service_mode::is_down) {
            return kv_failure{kv_failure_kind::not_run, "down"};
        }
        if (const auto* read = std::get_if<kv_range>(&operation)) {
            EXPECT_EQ(read->key, "/c/contact/leave/n1");
            ++reads;
            kv_entries entries{.revision = revision, .entries = {}};
            if (stored) {
                entries.entries.push_back(*stored);
            }
            return entries;
        }
        const auto& put = std::get<kv_transaction>(operation);
        if (put.compares.at(0).mod_revision != (stored ? stored->mod_revision : 0)) {
            return kv_transaction_done{.revision = revision, .succeeded = false};
        }
        ++writes;
        ++revision;
        stored.reset();
        for (const auto& entry : put.puts) {
            stored = {entry.key, entry.value, revision};
        }
        return kv_transaction_done{.revision = revision, .succeeded = true};
    }

    [[nodiscard]] leave_confirmation confirmation(instant announced_at) const {
        return check_confirmation(keeper, announced_at, now);
    }

    /// The instance that a process which starts now would take for left; empty if none.
    [[nodiscard]] std::string instance_at_restart() const {
        auto later = *this;
        later.mode = service_mode::answers;
        later.recovered.reset();
        later.restart();
        later.read_contacts();
        return later.recovered ? later.recovered->instance : std::string();
    }
};

TEST(leave_keeper, a_leave_outlives_the_process) {
    keeper_fixture fixture;
    fixture.read_contacts();
    EXPECT_EQ(fixture.instance_at_restart(), "");
    fixture.keep("a");
    EXPECT_EQ(fixture.confirmation(fixture.now), leave_confirmation::granted);
    EXPECT_EQ(fixture.instance_at_restart(), "a");
    fixture.keep("b");
    EXPECT_EQ(fixture.instance_at_restart(), "b");
    EXPECT_EQ(*fixture.keeper.leave, make_leave("b"));
}

/// Guards against a cost at each start or announcement.
TEST(leave_keeper, costs_one_write_for_a_leave_and_one_for_the_next_run) {
    keeper_fixture fixture;
    fixture.read_contacts();
    fixture.forget();
    fixture.run(seconds{5});
    EXPECT_EQ(fixture.reads + fixture.writes, 0);
    for (int announcement = 0; announcement < 5; ++announcement) {
        fixture.keep("a");
        fixture.run(seconds{1});
    }
    EXPECT_EQ(fixture.writes, 1);
    for (int announcement = 0; announcement < 5; ++announcement) {
        fixture.forget();
        fixture.run(seconds{1});
    }
    EXPECT_EQ(fixture.writes, 2);
    EXPECT_EQ(fixture.reads, 0);
    EXPECT_FALSE(fixture.stored);
}

/// Guards against a node that others have met before it read the contacts, and that offers an
/// upstream which has left.
TEST(leave_keeper, is_read_by_itself_where_the_contacts_are_not_read) {
    keeper_fixture fixture;
    fixture.read_contacts();
    fixture.keep("a");
    fixture.restart();
    fixture.is_awaited = false;
    fixture.run(milliseconds{500});
    EXPECT_EQ(fixture.reads, 0);
    EXPECT_FALSE(has_read_leave(fixture.keeper, fixture.now));
    fixture.is_awaited = true;
    fixture.run(tick_interval);
    EXPECT_TRUE(has_read_leave(fixture.keeper, fixture.now));
    ASSERT_TRUE(fixture.recovered);
    EXPECT_EQ(fixture.recovered->instance, "a");
    EXPECT_EQ(fixture.reads, 1);
}

/// Guards against a leave that is confirmed, and forgotten when all processes end right then
/// (DRAIN).
TEST(leave_keeper, a_confirmation_waits_for_the_service) {
    keeper_fixture fixture;
    fixture.read_contacts();
    fixture.mode = service_mode::is_down;
    fixture.keep("a");
    EXPECT_EQ(fixture.confirmation(fixture.now), leave_confirmation::pending);
    fixture.mode = service_mode::answers;
    fixture.run(milliseconds{300});
    EXPECT_EQ(fixture.confirmation(fixture.now), leave_confirmation::granted);
    EXPECT_EQ(fixture.instance_at_restart(), "a");
}

/// Guards against an upstream that gets no answer within a second while the service is down, and
/// against a leave that is confirmed all the same (DRAIN).
TEST(leave_keeper, a_leave_that_is_not_stored_is_refused_within_a_second) {
    for (const auto mode : {service_mode::is_down, service_mode::loses_answers}) {
        keeper_fixture fixture;
        fixture.read_contacts();
        fixture.mode = mode;
        const auto first = fixture.now;
        fixture.keep("a");
        fixture.run(milliseconds{900});
        EXPECT_EQ(fixture.confirmation(first), leave_confirmation::refused);
        fixture.run(seconds{8});
        const auto repeated = fixture.now;
        fixture.keep("a");
        EXPECT_NE(fixture.confirmation(repeated), leave_confirmation::granted);
        fixture.mode = service_mode::answers;
        fixture.run(seconds{3});
        EXPECT_EQ(fixture.confirmation(fixture.now), leave_confirmation::granted);
        EXPECT_EQ(fixture.instance_at_restart(), "a") << "it is stored later";
    }
}

/// Guards against a leave that is confirmed while the service is down, and forgotten when all
/// processes are killed before the service is back (DRAIN).
TEST(leave_keeper, a_confirmed_leave_outlives_a_kill_at_any_step) {
    for (const auto mode : {service_mode::is_down, service_mode::loses_answers}) {
        for (const auto down_for : {milliseconds{400}, milliseconds{4500}, milliseconds{8000}}) {
            keeper_fixture fixture;
            fixture.read_contacts();
            fixture.mode = mode;
            const auto first = fixture.now;
            fixture.keep("a");
            int granted = 0;
            while (fixture.now < first + down_for + seconds{4}) {
                if (fixture.now >= first + down_for) {
                    fixture.mode = service_mode::answers;
                }
                // Announced anew every second, as by an upstream that got no confirmation.
                const auto asked_at = fixture.now - (fixture.now - first) % milliseconds{1000};
                if (fixture.confirmation(asked_at) == leave_confirmation::granted) {
                    ++granted;
                    EXPECT_EQ(fixture.instance_at_restart(), "a") << to_unix_ms(fixture.now);
                }
                fixture.run(tick_interval);
            }
            EXPECT_GT(granted, 0) << down_for.count();
        }
    }
}

/// Guards against a delayed write of an earlier run that replaces the leave of a later one.
TEST(leave_keeper, a_delayed_write_replaces_no_later_leave) {
    keeper_fixture fixture;
    fixture.read_contacts();
    leave_actions delayed;
    keep_leave(fixture.keeper, make_leave("a"), fixture.now, delayed);
    ASSERT_EQ(delayed.requests.size(), 1U);
    fixture.run(seconds{3});
    fixture.keep("b");
    fixture.run(seconds{1});
    (void)fixture.execute(delayed.requests.front().operation);
    EXPECT_EQ(fixture.instance_at_restart(), "b");
}

/// Guards against the answer to a write of an earlier run that counts for a later one.
TEST(leave_keeper, a_run_that_leaves_during_a_write_is_stored_after_it) {
    for (const bool is_next_forgotten : {false, true}) {
        keeper_fixture fixture;
        fixture.read_contacts();
        leave_actions pending;
        keep_leave(fixture.keeper, make_leave("a"), fixture.now, pending);
        if (is_next_forgotten) {
            fixture.forget();
        } else {
            fixture.keep("b");
        }
        fixture.carry_out(pending);
        EXPECT_EQ(fixture.instance_at_restart(), is_next_forgotten ? "" : "b");
    }
}

TEST(leave_keeper, an_older_copy_of_the_service_gets_the_leave_again) {
    keeper_fixture fixture;
    fixture.read_contacts();
    fixture.keep("a");
    fixture.stored.reset();
    on_new_era(fixture.keeper);
    fixture.run(seconds{1});
    EXPECT_EQ(fixture.instance_at_restart(), "a");
}

/// Guards against an upstream that is offered before it is known whether it has left, and against
/// one that is never offered since the service is down.
TEST(leave_keeper, an_upstream_waits_for_the_first_read_for_some_seconds) {
    keeper_fixture fixture;
    EXPECT_FALSE(has_read_leave(fixture.keeper, fixture.now));
    fixture.mode = service_mode::is_down;
    fixture.run(seconds{2});
    EXPECT_FALSE(has_read_leave(fixture.keeper, fixture.now));
    fixture.run(seconds{1});
    EXPECT_TRUE(has_read_leave(fixture.keeper, fixture.now));
    fixture.mode = service_mode::answers;
    fixture.run(seconds{2});
    EXPECT_EQ(fixture.reads, 1);
    EXPECT_TRUE(fixture.keeper.has_read);
}

TEST(leave_keeper, a_value_of_another_writer_is_no_leave) {
    keeper_fixture fixture;
    fixture.stored = {"/c/contact/leave/n1", "{\"odd\":true}", 7};
    fixture.run(tick_interval);
    EXPECT_FALSE(fixture.recovered);
    fixture.keep("a");
    EXPECT_EQ(fixture.instance_at_restart(), "a");
}

} // namespace
} // namespace cyclamenhatch::store

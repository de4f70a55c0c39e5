#include "feed/feed_fixture.h"
#include "feed/record_keeper.h"

#include <gtest/gtest.h>

namespace cyclamenhatch::feed {
namespace {

using namespace testing;

TEST(operator_reader, takes_the_revision_of_the_latest_change_as_version) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    EXPECT_EQ(fixture.prefix(), "/first/");
    EXPECT_EQ(fixture.snapshot->version.value, 11U);
    fixture.store.put("elsewhere", "x");
    fixture.store.put("op/document", "/second/");
    fixture.deliver_change("op/document");
    EXPECT_EQ(fixture.prefix(), "/second/");
    EXPECT_EQ(fixture.snapshot->version.value, 13U);
}

TEST(operator_reader, an_order_becomes_a_move_named_by_its_revision) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    fixture.store.put("op/orders/ledger", "v2");
    fixture.deliver_change("op/orders/ledger");
    const auto& moves = fixture.snapshot->sections.begin()->second->content.moves;
    ASSERT_EQ(moves.size(), 1U);
    EXPECT_EQ(moves.front().new_version, version_id("v2"));
    EXPECT_TRUE(moves.front().old_version.empty());
    EXPECT_EQ(moves.front().name, name_move(12));
    EXPECT_EQ(moves.front().duration, seconds{10});
    // Writing the same order again requests another move.
    fixture.store.put("op/orders/ledger", "v2");
    fixture.deliver_change("op/orders/ledger");
    EXPECT_EQ(fixture.snapshot->sections.begin()->second->content.moves.front().name,
              name_move(13));
}

/// Guards against an order that a node which starts after a drill of the service takes for another
/// one than the nodes which saw the drill.
TEST(operator_reader, an_order_keeps_the_name_of_its_move_in_later_eras) {
    const auto name_in_era = [](std::uint64_t era) {
        reader_fixture fixture;
        fixture.reader.orders.era = era;
        fixture.store.put("op/document", "/first/");
        fixture.store.put("op/orders/ledger", "v2");
        fixture.start_watching();
        return fixture.snapshot->sections.at(service_id("ledger"))->content.moves.front().name;
    };
    EXPECT_EQ(name_in_era(1), name_in_era(2));
}

/// A node starts after the operators have written again an order that the older copy lacked.
TEST(operator_reader, an_order_within_the_configuration_in_force_keeps_the_name_it_has_there) {
    reader_fixture earlier;
    earlier.store.put("op/document", "/first/");
    earlier.store.put("op/orders/ledger", "v2");
    earlier.start_watching();
    const auto copy_of_held = earlier.snapshot;
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    auto renamed = copy_of_held->sections.at(service_id("ledger"))->content;
    renamed.moves.front().name = move_id("order-7");
    fixture.store.put("op/orders/ledger", "v2");
    const auto held = build_snapshot(copy_of_held->version, {make_stored_section(renamed)}, {});
    note_held(fixture.reader, std::get<snapshot_ptr>(held), fixture.now);
    fixture.start_watching();
    const auto name = [&] {
        return fixture.snapshot->sections.at(service_id("ledger"))->content.moves.front().name;
    };
    EXPECT_EQ(name(), move_id("order-7"));
    // The same order written once more is another one.
    fixture.store.put("op/orders/ledger", "v2");
    fixture.deliver_change("op/orders/ledger");
    EXPECT_EQ(name(), name_move(13));
}

TEST(operator_reader, versions_order_by_document_then_era_then_revision) {
    EXPECT_LT(make_version(4, {9, 900}), make_version(5, {1, 1}));
    EXPECT_LT(make_version(5, {1, 900}), make_version(5, {2, 1}));
    EXPECT_LT(make_version(5, {2, 1}), make_version(5, {2, 2}));
    EXPECT_EQ(make_version(0, {0, 11}).value, 11U);
}

/// Guards against an earlier era, stated by another node's configuration, that is taken for a new
/// one.
TEST(operator_reader, finds_the_era_of_a_version_within_half_of_the_range) {
    EXPECT_EQ(raise_era(0, make_version(5, {0, 7})), 0U);
    EXPECT_EQ(raise_era(1, make_version(5, {3, 7})), 3U);
    EXPECT_EQ(raise_era(3, make_version(5, {1, 7})), 3U);
    EXPECT_EQ(raise_era(255, make_version(5, {256, 7})), 256U);
}

TEST(operator_reader, refuses_a_bad_document_whole_and_goes_on) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    fixture.store.put("op/document", "bad");
    fixture.deliver_change("op/document");
    EXPECT_EQ(fixture.prefix(), "/first/");
    EXPECT_FALSE(fixture.rejection_reasons.empty());
    fixture.store.put("op/document", "/third/");
    fixture.deliver_change("op/document");
    EXPECT_EQ(fixture.prefix(), "/third/");
}

/// Guards against routes that are open to all once the last workspace is taken from the document.
TEST(operator_reader, requires_keys_while_the_document_lists_workspaces) {
    reader_fixture fixture;
    fixture.reader.format.read_document = [](std::string_view text) -> result<operators_document> {
        return operators_document{.sections = {make_section("ledger", "/first/")},
                                  .requires_access_key = text == "listed"};
    };
    for (const auto* text : {"absent", "listed", "absent"}) {
        fixture.store.put("op/document", text);
        fixture.start_watching();
        if (fixture.snapshot->version.value < static_cast<std::uint64_t>(fixture.store.revision)) {
            fixture.deliver_change("op/document");
        }
        EXPECT_EQ(requires_access_key(*fixture.snapshot), text == std::string("listed")) << text;
    }
}

/// Guards against a rejection that counts as older than the configuration in force, and so is
/// dropped with the next change.
TEST(operator_reader, a_rejected_document_has_a_higher_version_than_the_one_in_force) {
    reader_fixture fixture;
    fixture.reader.format.read_document = [](std::string_view text) -> result<operators_document> {
        if (text == "bad") {
            return findings{{.path = "document", .problem = "cannot be read", .remedy = "mend it"}};
        }
        return operators_document{.version = 7,
                                  .sections = {make_section("ledger", std::string(text))}};
    };
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    fixture.store.put("op/document", "bad");
    fixture.deliver_change("op/document");
    EXPECT_GT(fixture.rejected_version, fixture.snapshot->version);
}

/// Guards against a version that is refused for one odd value, or read oddly without a word.
TEST(operator_reader, takes_a_document_with_notices_and_reports_them_once) {
    reader_fixture fixture;
    fixture.reader.format.read_document = [](std::string_view text) -> result<operators_document> {
        return operators_document{.sections = {make_section("ledger", std::string(text))},
                                  .notices = {{.path = "odd", .problem = "p", .remedy = "r"}}};
    };
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    EXPECT_EQ(fixture.prefix(), "/first/");
    ASSERT_EQ(fixture.notices.size(), 1U);
    EXPECT_EQ(fixture.notices.front().path, "odd");
    EXPECT_TRUE(fixture.rejection_reasons.empty());
    fixture.tick(seconds{10});
    EXPECT_EQ(fixture.notices.size(), 1U);
}

TEST(operator_reader, reads_again_when_the_history_is_compacted) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    fixture.store.put("op/document", "/second/");
    fixture.respond({fixture.watch, store::kv_failure{store::kv_failure_kind::compacted, "410"}});
    EXPECT_EQ(fixture.prefix(), "/second/");
}

/// While the service compacts its history, a watch may receive a later revision without the changes
/// before it, and is then closed. Guards against skipping these changes.
TEST(operator_reader, an_empty_answer_of_a_watch_skips_no_change) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    const auto first_revision = fixture.watch_revision;
    fixture.store.put("op/document", "/second/");
    fixture.respond({fixture.watch, store::kv_changes{fixture.store.revision, {}}});
    fixture.respond(
        {fixture.watch, store::kv_failure{store::kv_failure_kind::watch_closed, "cut"}});
    fixture.tick(seconds{2});
    EXPECT_EQ(fixture.watch_revision, first_revision);
    fixture.deliver_change("op/document");
    EXPECT_EQ(fixture.prefix(), "/second/");
}

TEST(operator_reader, an_outdated_read_does_not_replace_newer_items) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    const auto old = fixture.store;
    fixture.store.put("op/document", "/second/");
    fixture.deliver_change("op/document");
    const auto newer = fixture.store;
    fixture.store = old;
    reader_actions actions;
    refresh(fixture.reader, fixture.now, actions);
    fixture.handle(actions);
    EXPECT_EQ(fixture.prefix(), "/second/");
    EXPECT_EQ(fixture.reader.seen_revision, newer.items.at("op/document").mod_revision);
}

TEST(operator_reader, recovers_within_two_seconds_of_the_service) {
    reader_fixture fixture;
    fixture.store.put("op/document", "/first/");
    fixture.start_watching();
    fixture.is_store_unavailable = true;
    fixture.respond({fixture.watch, store::kv_failure{store::kv_failure_kind::compacted, "410"}});
    for (int step = 0; step < 100; ++step) {
        fixture.tick(milliseconds{100});
    }
    fixture.store.put("op/document", "/second/");
    fixture.is_store_unavailable = false;
    for (int step = 0; step < 20; ++step) {
        fixture.tick(milliseconds{100});
    }
    EXPECT_EQ(fixture.prefix(), "/second/");
}

move_record make_record(const std::string& move, record_state state) {
    return {.service = service_id("ledger"),
            .target_version = version_id("v2"),
            .move = move_id(move),
            .state = state,
            .reason = {}};
}

/// A keeper for which answers can be lost after the writes took effect.
struct keeper_fixture {
    fake_store store;
    record_keeper keeper = make_record_keeper(make_format());
    random_source random{1};
    instant now = start;
    int answers_to_lose = 0;
    int writes = 0;
    std::vector<move_record> confirmed_endings;

    void handle(keeper_actions& actions) {
        confirmed_endings.insert(confirmed_endings.end(), actions.confirmed_endings.begin(),
                                 actions.confirmed_endings.end());
        const auto requests = actions.requests;
        for (const auto& request : requests) {
            writes += std::holds_alternative<store::kv_transaction>(request.operation) ? 1 : 0;
            auto response = store.answer(request);
            if (answers_to_lose > 0) {
                --answers_to_lose;
                continue;
            }
            keeper_actions next_actions;
            EXPECT_TRUE(on_response(keeper, response, now, random, next_actions));
            handle(next_actions);
        }
    }

    void run(milliseconds duration) {
        for (const auto end = now + duration; now < end; now += milliseconds{100}) {
            keeper_actions actions;
            on_tick(keeper, now, random, actions);
            handle(actions);
        }
    }

    [[nodiscard]] std::string stored_record() const {
        return store.items.at("records/ledger").value;
    }
};

TEST(record_keeper, an_ending_replaces_running_and_is_never_replaced_by_it) {
    keeper_fixture fixture;
    request_record(fixture.keeper, make_record("m1", record_state::running), fixture.now);
    fixture.run(seconds{1});
    EXPECT_EQ(fixture.stored_record(), "running m1");
    request_record(fixture.keeper, make_record("m1", record_state::done), fixture.now);
    fixture.run(seconds{1});
    EXPECT_EQ(fixture.stored_record(), "done m1");
    request_record(fixture.keeper, make_record("m1", record_state::running), fixture.now);
    fixture.run(seconds{1});
    EXPECT_EQ(fixture.stored_record(), "done m1");
    ASSERT_EQ(fixture.confirmed_endings.size(), 1U);
    EXPECT_EQ(fixture.confirmed_endings.front().state, record_state::done);
}

TEST(record_keeper, a_lost_answer_leads_to_no_second_ending) {
    keeper_fixture fixture;
    request_record(fixture.keeper, make_record("m1", record_state::taken_back), fixture.now);
    fixture.run(milliseconds{100});
    fixture.answers_to_lose = 1;
    request_record(fixture.keeper, make_record("m2", record_state::taken_back), fixture.now);
    fixture.run(seconds{10});
    EXPECT_EQ(fixture.stored_record(), "back m2");
    ASSERT_EQ(fixture.confirmed_endings.size(), 2U);
    EXPECT_EQ(fixture.confirmed_endings.back().move, move_id("m2"));
}

TEST(record_keeper, takes_over_the_ending_that_another_node_recorded_first) {
    keeper_fixture fixture;
    fixture.store.put("records/ledger", "back m1");
    request_record(fixture.keeper, make_record("m1", record_state::done), fixture.now);
    fixture.run(seconds{1});
    EXPECT_EQ(fixture.stored_record(), "back m1");
    EXPECT_EQ(fixture.writes, 0);
    ASSERT_EQ(fixture.confirmed_endings.size(), 1U);
    EXPECT_EQ(fixture.confirmed_endings.front().state, record_state::taken_back);
}

/// Guards against a stale success, written once the service is back after the nodes have taken the
/// version back.
TEST(record_keeper, a_taking_back_replaces_a_success_that_was_never_written) {
    keeper_fixture fixture;
    request_record(fixture.keeper, make_record("m1", record_state::done), fixture.now);
    request_record(fixture.keeper, make_record("m1", record_state::taken_back), fixture.now);
    request_record(fixture.keeper, make_record("m1", record_state::done), fixture.now);
    fixture.run(seconds{1});
    EXPECT_EQ(fixture.stored_record(), "back m1");
    ASSERT_EQ(fixture.confirmed_endings.size(), 1U);
}

/// The answer to a write may be lost: it may have taken effect, and then it is final.
TEST(record_keeper, a_success_that_was_written_without_an_answer_is_not_replaced) {
    keeper_fixture fixture;
    request_record(fixture.keeper, make_record("m1", record_state::running), fixture.now);
    fixture.run(seconds{1});
    fixture.answers_to_lose = 1;
    request_record(fixture.keeper, make_record("m1", record_state::done), fixture.now);
    fixture.run(milliseconds{200});
    request_record(fixture.keeper, make_record("m1", record_state::taken_back), fixture.now);
    fixture.run(seconds{10});
    EXPECT_EQ(fixture.stored_record(), "done m1");
    ASSERT_EQ(fixture.confirmed_endings.size(), 1U);
    EXPECT_EQ(fixture.confirmed_endings.front().state, record_state::done);
}

/// The wish changes while the write of the success is on its way.
TEST(record_keeper, a_success_whose_write_was_under_way_is_not_replaced) {
    keeper_fixture fixture;
    request_record(fixture.keeper, make_record("m1", record_state::running), fixture.now);
    fixture.run(seconds{1});
    request_record(fixture.keeper, make_record("m1", record_state::done), fixture.now);
    keeper_actions written;
    on_tick(fixture.keeper, fixture.now, fixture.random, written);
    request_record(fixture.keeper, make_record("m1", record_state::taken_back), fixture.now);
    fixture.handle(written);
    fixture.run(seconds{2});
    EXPECT_EQ(fixture.stored_record(), "done m1");
    ASSERT_EQ(fixture.confirmed_endings.size(), 1U);
    EXPECT_EQ(fixture.confirmed_endings.front().state, record_state::done);
}

TEST(record_keeper, replaces_the_record_of_an_earlier_move) {
    keeper_fixture fixture;
    fixture.store.put("records/ledger", "done m1");
    request_record(fixture.keeper, make_record("m2", record_state::running), fixture.now);
    fixture.run(seconds{1});
    EXPECT_EQ(fixture.stored_record(), "running m2");
}

} // namespace
} // namespace cyclamenhatch::feed

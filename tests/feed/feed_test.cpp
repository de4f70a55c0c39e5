#include "feed/operator_reader.h"
#include "feed/record_keeper.h"

#include <gtest/gtest.h>

#include <deque>
#include <map>

namespace cyclamenhatch::feed {
namespace {

constexpr instant start{microseconds(1'000'000'000)};

section make_section(const std::string& service, const std::string& prefix) {
    section part;
    part.service.name = service_id(service);
    part.service.owner = owner_id("members");
    route made;
    made.name = route_id("route-" + service);
    made.service = part.service.name;
    made.path_prefix = prefix;
    part.routes.push_back(made);
    return part;
}

/// A dialect for tests: the document is the path prefix of the one service's route, "bad" cannot be
/// read; an order is its target version; a record is "STATE MOVE".
dialect make_words() {
    dialect words;
    words.document_key = "op/document";
    words.orders_prefix = "op/orders/";
    words.watched_prefix = "op/";
    words.records_prefix = "records/";
    words.read_document = [](std::string_view text) -> result<std::vector<section>> {
        if (text == "bad") {
            return findings{
                {.path = "document", .problem = "cannot be read", .remedy = "write it"}};
        }
        return std::vector<section>{make_section("ledger", std::string(text))};
    };
    words.read_order = [](std::string_view text) -> result<move_order> {
        return move_order{service_id("ledger"), version_id(std::string(text)), seconds{10}};
    };
    words.read_record = [](std::string_view text) -> result<move_record> {
        const auto space = text.find(' ');
        move_record record{.service = service_id("ledger"),
                           .to = version_id("v2"),
                           .move = move_id(std::string(text.substr(space + 1))),
                           .state = record_state::running,
                           .reason = {}};
        if (text.starts_with("done")) {
            record.state = record_state::done;
        } else if (text.starts_with("back")) {
            record.state = record_state::taken_back;
        }
        return record;
    };
    words.write_record = [](const move_record& record) {
        const auto* state = record.state == record_state::done         ? "done "
                            : record.state == record_state::taken_back ? "back "
                                                                       : "running ";
        return state + record.move.value;
    };
    return words;
}

/// The key-value service: one revision counter, answers at once when asked to.
struct small_store {
    std::map<std::string, store::kv_entry> items;
    std::int64_t revision = 10;

    void put(const std::string& key, const std::string& value) {
        items[key] = {key, value, ++revision};
    }

    store::kv_response answer(const store::kv_request& request) {
        if (const auto* read = std::get_if<store::kv_range>(&request.operation)) {
            store::kv_entries found{.revision = revision, .entries = {}};
            for (const auto& [key, each] : items) {
                if (read->is_prefix ? key.starts_with(read->key) : key == read->key) {
                    found.entries.push_back(each);
                }
            }
            return {request.id, found};
        }
        const auto& swap = std::get<store::kv_transaction>(request.operation);
        for (const auto& each : swap.compares) {
            const auto held = items.find(each.key);
            if ((held == items.end() ? 0 : held->second.mod_revision) != each.mod_revision) {
                return {request.id, store::kv_transaction_done{.succeeded = false}};
            }
        }
        for (const auto& each : swap.puts) {
            put(each.key, each.value);
        }
        return {request.id, store::kv_transaction_done{.revision = revision, .succeeded = true}};
    }
};

/// A reader whose requests are answered at once but for watches, whose changes the test hands in.
struct reading {
    small_store store;
    operator_reader reader = make_operator_reader(make_words(), start);
    random_source random{1};
    instant now = start;
    snapshot_ptr held;
    findings rejected;
    std::uint64_t watch = 0;
    std::int64_t watched_from = 0;
    bool is_store_away = false;

    void take(reader_actions& actions) {
        if (actions.found) {
            EXPECT_TRUE(!held || actions.found->version > held->version);
            held = actions.found;
        }
        if (!actions.rejected_for.empty()) {
            rejected = actions.rejected_for;
        }
        std::deque<store::kv_request> requests(actions.requests.begin(), actions.requests.end());
        for (const auto& each : requests) {
            if (const auto* asked = std::get_if<store::kv_watch>(&each.operation)) {
                watch = each.id;
                watched_from = asked->from_revision;
            } else if (!std::holds_alternative<store::kv_watch_cancel>(each.operation)) {
                respond(is_store_away ? store::kv_response{each.id,
                                                           store::kv_failure{
                                                               store::kv_failure_kind::not_run, ""}}
                                      : store.answer(each));
            }
        }
    }

    void respond(const store::kv_response& response) {
        reader_actions actions;
        EXPECT_TRUE(on_response(reader, response, now, random, actions));
        take(actions);
    }

    void begin() {
        reader_actions actions;
        set_watching(reader, true, now, actions);
        take(actions);
    }

    void tick(milliseconds after) {
        now += after;
        reader_actions actions;
        on_tick(reader, now, random, actions);
        take(actions);
    }

    /// Tells the watch of a key's present value.
    void report(const std::string& key) {
        respond({watch, store::kv_changes{store.revision, {{store.items.at(key), false}}}});
    }

    [[nodiscard]] std::string prefix() const {
        return held ? held->sections.begin()->second->content.routes.front().path_prefix : "none";
    }
};

TEST(operator_reader, takes_the_revision_of_the_latest_change_as_version) {
    reading of;
    of.store.put("op/document", "/first/");
    of.begin();
    EXPECT_EQ(of.prefix(), "/first/");
    EXPECT_EQ(of.held->version.value, 11U);
    of.store.put("elsewhere", "x");
    of.store.put("op/document", "/second/");
    of.report("op/document");
    EXPECT_EQ(of.prefix(), "/second/");
    EXPECT_EQ(of.held->version.value, 13U);
}

TEST(operator_reader, an_order_becomes_a_move_named_by_its_revision) {
    reading of;
    of.store.put("op/document", "/first/");
    of.begin();
    of.store.put("op/orders/ledger", "v2");
    of.report("op/orders/ledger");
    const auto& moves = of.held->sections.begin()->second->content.moves;
    ASSERT_EQ(moves.size(), 1U);
    EXPECT_EQ(moves.front().to, version_id("v2"));
    EXPECT_TRUE(moves.front().from.empty());
    EXPECT_EQ(moves.front().name, name_move(12));
    EXPECT_EQ(moves.front().duration, seconds{10});
    // Ordered again, it is another move.
    of.store.put("op/orders/ledger", "v2");
    of.report("op/orders/ledger");
    EXPECT_EQ(of.held->sections.begin()->second->content.moves.front().name, name_move(13));
}

TEST(operator_reader, refuses_a_bad_document_whole_and_goes_on) {
    reading of;
    of.store.put("op/document", "/first/");
    of.begin();
    of.store.put("op/document", "bad");
    of.report("op/document");
    EXPECT_EQ(of.prefix(), "/first/");
    EXPECT_FALSE(of.rejected.empty());
    of.store.put("op/document", "/third/");
    of.report("op/document");
    EXPECT_EQ(of.prefix(), "/third/");
}

TEST(operator_reader, reads_again_when_the_history_is_gone) {
    reading of;
    of.store.put("op/document", "/first/");
    of.begin();
    of.store.put("op/document", "/second/");
    of.respond({of.watch, store::kv_failure{store::kv_failure_kind::compacted, "410"}});
    EXPECT_EQ(of.prefix(), "/second/");
}

/// While the service loses its history a watch may be told a later revision without the changes up
/// to there; then it is cut.
TEST(operator_reader, an_empty_answer_of_a_watch_skips_no_change) {
    reading of;
    of.store.put("op/document", "/first/");
    of.begin();
    const auto from = of.watched_from;
    of.store.put("op/document", "/second/");
    of.respond({of.watch, store::kv_changes{of.store.revision, {}}});
    of.respond({of.watch, store::kv_failure{store::kv_failure_kind::watch_closed, "cut"}});
    of.tick(seconds{2});
    EXPECT_EQ(of.watched_from, from);
    of.report("op/document");
    EXPECT_EQ(of.prefix(), "/second/");
}

TEST(operator_reader, an_overtaken_read_brings_nothing_old_back) {
    reading of;
    of.store.put("op/document", "/first/");
    of.begin();
    const auto old = of.store;
    of.store.put("op/document", "/second/");
    of.report("op/document");
    const auto newer = of.store;
    of.store = old;
    reader_actions actions;
    refresh(of.reader, of.now, actions);
    of.take(actions);
    EXPECT_EQ(of.prefix(), "/second/");
    EXPECT_EQ(of.reader.seen_revision, newer.items.at("op/document").mod_revision);
}

TEST(operator_reader, is_back_within_two_seconds_of_the_services_return) {
    reading of;
    of.store.put("op/document", "/first/");
    of.begin();
    of.is_store_away = true;
    of.respond({of.watch, store::kv_failure{store::kv_failure_kind::compacted, "410"}});
    for (int step = 0; step < 100; ++step) {
        of.tick(milliseconds{100});
    }
    of.store.put("op/document", "/second/");
    of.is_store_away = false;
    for (int step = 0; step < 20; ++step) {
        of.tick(milliseconds{100});
    }
    EXPECT_EQ(of.prefix(), "/second/");
}

move_record make_record(const std::string& move, record_state state) {
    return {.service = service_id("ledger"),
            .to = version_id("v2"),
            .move = move_id(move),
            .state = state,
            .reason = {}};
}

/// A keeper whose answers can be lost after their writes have taken effect.
struct keeping {
    small_store store;
    record_keeper keeper = make_record_keeper(make_words());
    random_source random{1};
    instant now = start;
    int answers_to_lose = 0;
    int writes = 0;
    std::vector<move_record> recorded;

    void take(keeper_actions& actions) {
        recorded.insert(recorded.end(), actions.recorded.begin(), actions.recorded.end());
        const auto requests = actions.requests;
        for (const auto& each : requests) {
            writes += std::holds_alternative<store::kv_transaction>(each.operation) ? 1 : 0;
            auto response = store.answer(each);
            if (answers_to_lose > 0) {
                --answers_to_lose;
                continue;
            }
            keeper_actions more;
            EXPECT_TRUE(on_response(keeper, response, now, random, more));
            take(more);
        }
    }

    void run(milliseconds span) {
        for (const auto end = now + span; now < end; now += milliseconds{100}) {
            keeper_actions actions;
            on_tick(keeper, now, random, actions);
            take(actions);
        }
    }

    [[nodiscard]] std::string standing() const { return store.items.at("records/ledger").value; }
};

TEST(record_keeper, an_ending_replaces_running_and_is_never_replaced_by_it) {
    keeping of;
    want_record(of.keeper, make_record("m1", record_state::running), of.now);
    of.run(seconds{1});
    EXPECT_EQ(of.standing(), "running m1");
    want_record(of.keeper, make_record("m1", record_state::done), of.now);
    of.run(seconds{1});
    EXPECT_EQ(of.standing(), "done m1");
    want_record(of.keeper, make_record("m1", record_state::running), of.now);
    of.run(seconds{1});
    EXPECT_EQ(of.standing(), "done m1");
    ASSERT_EQ(of.recorded.size(), 1U);
    EXPECT_EQ(of.recorded.front().state, record_state::done);
}

TEST(record_keeper, a_lost_answer_leads_to_no_second_ending) {
    keeping of;
    want_record(of.keeper, make_record("m1", record_state::taken_back), of.now);
    of.run(milliseconds{100});
    of.answers_to_lose = 1;
    want_record(of.keeper, make_record("m2", record_state::taken_back), of.now);
    of.run(seconds{10});
    EXPECT_EQ(of.standing(), "back m2");
    ASSERT_EQ(of.recorded.size(), 2U);
    EXPECT_EQ(of.recorded.back().move, move_id("m2"));
}

TEST(record_keeper, takes_over_the_ending_that_another_node_recorded_first) {
    keeping of;
    of.store.put("records/ledger", "back m1");
    want_record(of.keeper, make_record("m1", record_state::done), of.now);
    of.run(seconds{1});
    EXPECT_EQ(of.standing(), "back m1");
    EXPECT_EQ(of.writes, 0);
    ASSERT_EQ(of.recorded.size(), 1U);
    EXPECT_EQ(of.recorded.front().state, record_state::taken_back);
}

TEST(record_keeper, replaces_the_record_of_an_earlier_move) {
    keeping of;
    of.store.put("records/ledger", "done m1");
    want_record(of.keeper, make_record("m2", record_state::running), of.now);
    of.run(seconds{1});
    EXPECT_EQ(of.standing(), "running m2");
}

} // namespace
} // namespace cyclamenhatch::feed

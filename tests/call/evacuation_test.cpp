#include "call/choose_endpoint.h"
#include "call/gate.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

/// What entries and gates do while a data centre is evacuated.
namespace cyclamenhatch::call {
namespace {

using msg::refusal_reason;

constexpr instant start{microseconds(1'000'000'000)};

endpoint make_endpoint(const std::string& node, const std::string& version, bool is_evacuated) {
    return {.node = node_id(node),
            .data_centre = data_centre_id(is_evacuated ? "milan" : "turin"),
            .version = version_id(version),
            .state = msg::upstream_state::ready,
            .slots = 4,
            .is_evacuated = is_evacuated};
}

std::string choose(const std::vector<endpoint>& endpoints) {
    load_table loads;
    random_source random{1};
    const version_filter versions;
    const data_centre_id data_centre("milan");
    const std::vector<node_id> tried;
    const route_id route("browse");
    const auto* chosen =
        choose_endpoint({endpoints, versions, data_centre, tried, route}, loads, start, random);
    return chosen == nullptr ? "none" : chosen->node.value;
}

TEST(evacuation, an_entry_sends_nothing_to_the_evacuated_data_centre_though_it_is_its_own) {
    EXPECT_EQ(choose({make_endpoint("a", "v1", true), make_endpoint("b", "v1", false)}), "b");
}

TEST(evacuation, no_endpoint_is_chosen_when_all_data_centres_are_evacuated) {
    EXPECT_EQ(choose({make_endpoint("a", "v1", true), make_endpoint("b", "v1", true)}), "none");
}

/// A move whose new version has endpoints only where nothing may be sent.
TEST(evacuation, calls_stay_on_the_old_version_while_all_endpoints_of_the_new_are_evacuated) {
    routing_view view;
    const service_id ledger("ledger");
    view.endpoints[ledger] = {make_endpoint("a", "v2", true), make_endpoint("b", "v1", false)};
    view.shares[ledger] = {.new_version = version_id("v2"), .permille = 1000};
    random_source random{1};
    const auto versions = choose_version(view, {.name = ledger}, std::nullopt, random);
    EXPECT_TRUE(versions.allows(version_id("v1")));
    EXPECT_FALSE(versions.allows(version_id("v2")));
}

/// Two slots, both in use by calls 1 and 2, and call 3 waits.
struct gate_fixture {
    gate_fixture() {
        msg::upstream_record_msg upstream;
        upstream.service = "ledger";
        upstream.version = "v1";
        upstream.state = msg::upstream_state::ready;
        upstream.slots = 2;
        gate.settings.queue_limit = 4;
        (void)on_upstream_change(gate, upstream, start);
        for (std::uint64_t id = 1; id <= 3; ++id) {
            (void)on_open(gate, make_request(id), start);
        }
    }

    static gate_request make_request(std::uint64_t id) {
        return {.call = {1, id},
                .entry_node = node_id("entry"),
                .service = service_id("ledger"),
                .version = version_id("v1"),
                .owner = owner_id("members"),
                .deadline = start + seconds{1}};
    }

    gate_state gate;
};

/// The refusal of a call among the actions; null when there is none.
const msg::call_refused_msg* find_refusal_of(const gate_actions& actions, std::uint64_t id) {
    for (const auto& action : actions) {
        const auto* sent = std::get_if<send_refusal_action>(&action);
        if (sent != nullptr && sent->refused.call->low() == id) {
            return &sent->refused;
        }
    }
    return nullptr;
}

void expect_evacuated(const msg::call_refused_msg* refused) {
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->reason, refusal_reason::evacuated);
    EXPECT_EQ(refused->outcome, msg::call_outcome::not_run);
    EXPECT_TRUE(refused->retry_helps);
    EXPECT_GT(refused->retry_after_ms, 0U);
}

TEST(evacuation, a_gate_refuses_waiting_and_new_calls_and_lets_those_that_run_end) {
    gate_fixture fixture;
    expect_evacuated(find_refusal_of(on_evacuation(fixture.gate, true, start), 3));
    EXPECT_EQ(fixture.gate.queue.size, 0U);
    expect_evacuated(
        find_refusal_of(on_open(fixture.gate, gate_fixture::make_request(4), start), 4));
    EXPECT_EQ(fixture.gate.running.size(), 2U);
    const auto ended = on_upstream_end(
        fixture.gate, {1, 1},
        {.answer = std::make_shared<msg::call_answer_msg>(), .is_answered = true}, start);
    EXPECT_TRUE(std::holds_alternative<send_answer_action>(ended.front()));
}

TEST(evacuation, a_gate_takes_up_calls_again_once_it_is_withdrawn) {
    gate_fixture fixture;
    (void)on_evacuation(fixture.gate, true, start);
    (void)on_evacuation(fixture.gate, false, start);
    EXPECT_EQ(find_refusal_of(on_open(fixture.gate, gate_fixture::make_request(4), start), 4),
              nullptr);
}

TEST(evacuation, a_reattach_to_a_running_call_is_not_refused) {
    gate_fixture fixture;
    (void)on_evacuation(fixture.gate, true, start);
    auto request = gate_fixture::make_request(1);
    request.is_reattach = true;
    EXPECT_EQ(find_refusal_of(on_open(fixture.gate, request, start), 1), nullptr);
    EXPECT_TRUE(is_under_way(fixture.gate, {1, 1}));
}

/// A node that leaves refuses as such: its withdrawal changes nothing.
TEST(evacuation, a_drain_in_an_evacuated_data_centre_stays_a_drain) {
    gate_fixture fixture;
    (void)on_evacuation(fixture.gate, true, start);
    (void)on_drain(fixture.gate, start);
    (void)on_evacuation(fixture.gate, false, start);
    const auto actions = on_open(fixture.gate, gate_fixture::make_request(4), start);
    const auto* refused = find_refusal_of(actions, 4);
    ASSERT_NE(refused, nullptr);
    EXPECT_EQ(refused->reason, refusal_reason::draining);
}

TEST(evacuation, a_refusal_for_it_closes_the_endpoint_for_an_entry_that_does_not_know_yet) {
    endpoint_load load;
    note_refusal(load, refusal_reason::evacuated, start);
    EXPECT_GT(load.closed_until, start);
}

} // namespace
} // namespace cyclamenhatch::call

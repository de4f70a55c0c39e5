#include "node/node_runtime.h"

#include "node/parts.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

namespace cyclamenhatch::node {
namespace {

constexpr std::uint64_t run_start_ms = 400'000;

msg::settings_msg make_settings() {
    msg::settings_msg settings;
    settings.identity = std::make_unique<msg::identity_settings_msg>();
    settings.identity->node = "self";
    settings.listen = std::make_unique<msg::listen_settings_msg>();
    settings.listen->ip = "127.0.0.1";
    settings.listen->link_port = 0;
    settings.listen->caller_port = 0;
    settings.cluster = std::make_unique<msg::cluster_settings_msg>();
    settings.store = std::make_unique<msg::store_settings_msg>();
    settings.membership = std::make_unique<msg::membership_settings_msg>();
    settings.distribution = std::make_unique<msg::distribution_settings_msg>();
    settings.link = std::make_unique<msg::link_settings_msg>();
    settings.call = std::make_unique<msg::call_settings_msg>();
    settings.move = std::make_unique<msg::move_settings_msg>();
    settings.process = std::make_unique<msg::process_settings_msg>();
    return settings;
}

admin::announcement make_heartbeat(std::uint64_t started_ms) {
    admin::announcement announcement;
    announcement.upstream.service = "ledger";
    announcement.upstream.version = "v1";
    announcement.upstream.instance = "a";
    announcement.upstream.state = msg::upstream_state::ready;
    announcement.upstream.slots = 4;
    announcement.upstream.started_ms = started_ms;
    announcement.upstream.sequence = 5;
    announcement.port = 1;
    return announcement;
}

/// A node that has just started, on an event loop that does not run. It reaches no other node.
struct started_node {
    started_node() {
        auto& self = *runtime;
        self.links = wire::open_link_pool(self.settings, make_link_events(runtime), &io);
        self.store = {.execute = [](const store::kv_request&) {},
                      .stop = [] {},
                      .counts = [] { return store::store_counters{}; }};
        self.calls =
            edge::start_call_path(self.settings, make_call_path_callbacks(runtime), {}, &io);
    }
    ~started_node() {
        (void)edge::stop(*runtime->calls);
        wire::stop(*runtime->links);
        runtime->calls.reset();
        runtime->links.reset();
        runtime->store = {};
        io.poll();
    }
    started_node(const started_node&) = delete;
    started_node& operator=(const started_node&) = delete;

    /// Another member sends what it holds of this node: its upstream has left.
    void receive_leave() {
        auto record = std::make_unique<msg::member_record_msg>();
        record->node = "self";
        record->incarnation = 1;
        record->upstream =
            std::make_unique<msg::upstream_record_msg>(make_heartbeat(run_start_ms).upstream);
        record->upstream->state = msg::upstream_state::gone;
        record->upstream->leaves = true;
        msg::probe_ack_msg push;
        push.updates.push_back(std::move(record));
        dispatch(*runtime, {node_id{"other"}, std::move(push)});
    }

    [[nodiscard]] msg::upstream_state announced_state() const {
        const auto& upstream = runtime->control.members.self.upstream;
        return upstream ? upstream->state : msg::upstream_state::none;
    }

    boost::asio::io_context io;
    runtime_ptr runtime = std::make_shared<node_runtime>(make_settings());
};

/// Guards against a heartbeat that was held up on its way and brings back an upstream whose leave
/// this node has confirmed before it was restarted (DRAIN).
TEST(restarted_node, does_not_offer_an_upstream_that_left) {
    started_node node;
    node.receive_leave();
    EXPECT_TRUE(announce(*node.runtime, make_heartbeat(run_start_ms)).empty());
    tick(*node.runtime);
    EXPECT_EQ(node.announced_state(), msg::upstream_state::gone);
    EXPECT_FALSE(node.runtime->pending_upstream);
}

/// The same when the heartbeat arrives before any other member has answered.
TEST(restarted_node, withdraws_an_upstream_when_it_learns_that_it_left) {
    started_node node;
    EXPECT_TRUE(announce(*node.runtime, make_heartbeat(run_start_ms)).empty());
    EXPECT_TRUE(node.runtime->pending_upstream);
    node.receive_leave();
    tick(*node.runtime);
    EXPECT_FALSE(node.runtime->pending_upstream);
    EXPECT_EQ(node.announced_state(), msg::upstream_state::gone);
    EXPECT_TRUE(node.runtime->upstream_run.has_left);
}

/// A new run under the same id is not taken for the one that left.
TEST(restarted_node, offers_the_next_run) {
    started_node node;
    node.receive_leave();
    EXPECT_TRUE(announce(*node.runtime, make_heartbeat(run_start_ms + 1)).empty());
    EXPECT_TRUE(node.runtime->pending_upstream);
    EXPECT_FALSE(node.runtime->upstream_run.has_left);
}

/// Guards against an announcement of another writer that puts the upstream beside the node out of
/// use for good, and is confirmed to its writer (CONFIG).
TEST(announcement, of_no_configured_service_is_refused_beside_an_upstream) {
    started_node node;
    auto& runtime = *node.runtime;
    const auto built =
        build_snapshot(config_version{1},
                       {make_stored_section({.service = {.name = service_id{"ledger"},
                                                         .owner = owner_id{"members"}}}),
                        make_stored_section({.service = {.name = fleet_section_name()},
                                             .requires_access_key = true})},
                       {});
    runtime.control.distribution.config = std::get<snapshot_ptr>(built);
    auto heartbeat = make_heartbeat(run_start_ms);
    EXPECT_TRUE(announce(runtime, heartbeat).empty());
    auto odd = make_heartbeat(run_start_ms + 60'000);
    odd.upstream.instance = "odd";
    for (const auto& service : {std::string("nobody"), fleet_section_name().value}) {
        odd.upstream.service = service;
        const auto problems = announce(runtime, odd);
        ASSERT_EQ(problems.size(), 1U) << service;
        EXPECT_EQ(problems.front().path, "service");
        EXPECT_EQ(runtime.upstream_run.instance, "a");
    }
    ++heartbeat.upstream.sequence;
    EXPECT_TRUE(announce(runtime, heartbeat).empty());
    EXPECT_EQ(runtime.upstream_run.sequence, heartbeat.upstream.sequence);
}

/// Guards against members that take an upstream that has become cold again for a warm one, and
/// against a message to them for each heartbeat.
TEST(cold_upstream, is_told_to_members_once_each_time) {
    started_node node;
    auto& runtime = *node.runtime;
    runtime.control.members.has_joined = true;
    auto heartbeat = make_heartbeat(run_start_ms);
    const auto announce_cold = [&](std::uint32_t cold_ms) {
        ++heartbeat.upstream.sequence;
        heartbeat.upstream.cold_ms = cold_ms;
        (void)announce(runtime, heartbeat);
        // What is held back until the node serves is what it will tell.
        const auto& upstream = runtime.control.members.self.upstream;
        return upstream ? upstream->cold_ms : 0;
    };
    heartbeat.upstream.state = msg::upstream_state::starting;
    EXPECT_EQ(announce_cold(3'000), 3'000U);
    const auto incarnation = runtime.control.members.self.incarnation;
    EXPECT_EQ(announce_cold(2'000), 3'000U);
    EXPECT_EQ(announce_cold(0), 3'000U);
    EXPECT_EQ(runtime.control.members.self.incarnation, incarnation);
    runtime.cold_until = {};
    EXPECT_EQ(announce_cold(2'900), 2'900U);
    EXPECT_GT(runtime.control.members.self.incarnation, incarnation);
}

/// Guards against a leave that other members cannot keep, since its record does not say that it is
/// final.
TEST(leaving_upstream, is_announced_as_final) {
    started_node node;
    EXPECT_TRUE(announce(*node.runtime, make_heartbeat(run_start_ms)).empty());
    announce_leave(*node.runtime, "a");
    ASSERT_EQ(node.announced_state(), msg::upstream_state::gone);
    EXPECT_TRUE(node.runtime->control.members.self.upstream->leaves);
}

/// Guards against a leave that is confirmed to the upstream although only this process knows of it
/// (DRAIN).
TEST(leaving_upstream, is_confirmed_once_its_leave_is_stored) {
    started_node node;
    auto& runtime = *node.runtime;
    std::vector<store::kv_request> requests;
    runtime.store.execute = [&](const store::kv_request& request) {
        if (store::is_issued_from(store::leave_request_base, request.id)) {
            requests.push_back(request);
        }
    };
    const auto respond = [&](decltype(store::kv_response::outcome) outcome) {
        const store::kv_response response{.id = requests.back().id, .outcome = std::move(outcome)};
        step(runtime, [&](instant now, control::actions& actions) {
            control::on_store_response(runtime.control, response, now, actions);
        });
    };
    EXPECT_TRUE(announce(runtime, make_heartbeat(run_start_ms)).empty());
    announce_leave(runtime, "a");
    std::vector<bool> answers;
    const auto ask = [&] {
        when_confirmable(runtime, [&](bool is_confirmed) { answers.push_back(is_confirmed); });
    };
    ask();
    EXPECT_TRUE(answers.empty());
    runtime.waiting_confirmations.back().announced_at -= seconds{1};
    tick(runtime);
    EXPECT_EQ(answers, std::vector<bool>{false});
    EXPECT_EQ(runtime.unconfirmed_leaves, 1U);

    ask();
    ASSERT_EQ(requests.size(), 1U);
    respond(store::kv_entries{.revision = 7, .entries = {}});
    ASSERT_EQ(requests.size(), 2U);
    EXPECT_EQ(answers.size(), 1U);
    respond(store::kv_transaction_done{.revision = 8, .succeeded = true});
    EXPECT_EQ(answers, (std::vector<bool>{false, true}));
}

} // namespace
} // namespace cyclamenhatch::node

#include "distribution/distribution.h"
#include "distribution/peers.h"
#include "distribution/transfer.h"
#include "membership/record_merge.h"
#include "model/validation.h"

#include <algorithm>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace cyclamenhatch::distribution {
namespace {

constexpr milliseconds tick{100};
const instant start = from_unix_ms(1'000'000);

section_ptr make_section(const std::string& name, const std::string& owner,
                         const std::string& route_service) {
    section part;
    part.service = {
        .name = service_id{name}, .owner = owner_id{owner}, .version = version_id{"v1"}};
    part.versions.push_back({.name = version_id{"v1"}, .service = service_id{name}});
    part.routes.push_back(
        {.name = route_id{"all"}, .service = service_id{route_service}, .path_prefix = "/" + name});
    return make_stored_section(part);
}

/// Version V has services s0..s(V % 3), each owned by "owner<V>" where it changed last.
snapshot_ptr make_version(std::uint64_t version) {
    std::vector<section_ptr> parts;
    for (std::uint64_t i = 0; i <= version % 3; ++i) {
        const auto name = "s" + std::to_string(i);
        parts.push_back(make_section(name, "owner" + std::to_string(version / (i + 1)), name));
    }
    return std::get<snapshot_ptr>(build_snapshot(config_version{version}, parts,
                                                 {operation_id{"op" + std::to_string(version)}}));
}

/// The next version of `base` with a route to a service that does not exist, digests in order.
snapshot make_dangling(const snapshot& base) {
    auto bad = base;
    ++bad.version.value;
    bad.sections[service_id{"bad"}] = make_section("bad", "owner", "absent");
    bad.digest = compute_head_digest(bad.version, bad.sections);
    return bad;
}

std::string node_name(std::size_t index) {
    return "n" + std::to_string(index);
}

/// Nodes that know each other, and messages between them that wait to be delivered.
struct fleet {
    std::vector<membership::table> members;
    std::vector<state> nodes;
    std::vector<std::pair<std::size_t, incoming>> waiting;
    std::vector<log_event> logs;
    std::vector<config_version> seen;
    /// Nodes that messages don't reach when all is delivered.
    std::set<std::size_t> deaf;
    random_source random;
    instant now = start;

    fleet(std::size_t count, std::uint64_t seed) : random(seed) {
        for (std::size_t i = 0; i < count; ++i) {
            msg::member_record_msg self;
            self.node = node_name(i);
            self.data_centre = i % 2 == 0 ? "milan" : "como";
            members.push_back(membership::make_table({}, self, {}, now));
            members.back().has_joined = true;
        }
        for (auto& table : members) {
            for (const auto& other : members) {
                membership::merge_record(table, other.self, membership::record_source::page, now);
            }
        }
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(make_state({}, now));
        }
        seen.resize(count);
    }

    void send(std::size_t from, actions& wanted) {
        for (auto& each : wanted.sends) {
            waiting.emplace_back(std::stoul(each.to.value.substr(1)),
                                 incoming{node_id{node_name(from)}, std::move(each.message)});
        }
        std::move(wanted.logs.begin(), wanted.logs.end(), std::back_inserter(logs));
        check(from);
    }

    void offer_to(std::size_t to, const snapshot_ptr& found) {
        actions wanted;
        offer(nodes[to], members[to], found, now, random, wanted);
        send(to, wanted);
    }

    void deliver(std::size_t to, const incoming& message) {
        actions wanted;
        on_message(nodes[to], members[to], message, now, random, wanted);
        send(to, wanted);
    }

    void tick_all() {
        now += tick;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            actions wanted;
            on_tick(nodes[i], members[i], now, random, wanted);
            send(i, wanted);
        }
    }

    /// Delivers all that waits, and what follows from it.
    void settle() {
        for (int rounds = 0; rounds < 50 && !waiting.empty(); ++rounds) {
            for (const auto& [to, message] : std::exchange(waiting, {})) {
                if (!deaf.contains(to)) {
                    deliver(to, message);
                }
            }
        }
    }

    /// What must hold of a node after every step.
    void check(std::size_t index) {
        const auto& held = nodes[index].held;
        const auto version = held ? held->version : config_version{};
        RC_ASSERT(version >= seen[index]);
        seen[index] = version;
        if (!held) {
            RC_ASSERT(!is_ready(nodes[index]));
            return;
        }
        std::vector<const section*> parts;
        for (const auto& [name, part] : held->sections) {
            parts.push_back(&part->content);
        }
        RC_ASSERT(validate_sections(parts).empty());
        RC_ASSERT(held->digest == make_version(version.value)->digest);
    }
};

std::size_t count_logs(const fleet& all, const std::string& name) {
    return static_cast<std::size_t>(
        std::count_if(all.logs.begin(), all.logs.end(),
                      [&](const log_event& each) { return each.name == name; }));
}

/// Any order, duplication, loss and crossing, bad senders and restarts; then messages flow.
RC_GTEST_PROP(distribution_property, never_falls_never_dangles_and_converges, ()) {
    constexpr std::size_t count = 5;
    fleet all(count, *rc::gen::arbitrary<std::uint32_t>());
    const auto any_node = rc::gen::inRange<std::size_t>(0, count);
    std::uint64_t newest = 0;
    const auto steps = *rc::gen::inRange(20, 120);
    for (int i = 0; i < steps; ++i) {
        const auto kind = *rc::gen::inRange(0, 10);
        if (kind == 0) {
            all.offer_to(*any_node, make_version(++newest));
        } else if (kind == 1) {
            all.offer_to(*any_node, make_version(*rc::gen::inRange<std::uint64_t>(0, newest + 1)));
        } else if (kind == 2) {
            all.tick_all();
        } else if (kind == 3) {
            const auto restarted = *any_node;
            all.nodes[restarted] = make_state({}, all.now);
            all.seen[restarted] = {};
        } else if (kind == 4 && all.nodes[0].held) {
            const auto& held = *all.nodes[0].held;
            all.waiting.emplace_back(
                *any_node, incoming{node_id{"n0"}, make_delta(held, make_dangling(held))});
        } else if (!all.waiting.empty()) {
            const auto position = *rc::gen::inRange<std::size_t>(0, all.waiting.size());
            const auto [to, message] = all.waiting[position];
            const bool is_repeated = kind == 5;
            const bool is_lost = kind == 6;
            if (!is_repeated) {
                all.waiting.erase(all.waiting.begin() + static_cast<std::ptrdiff_t>(position));
            }
            if (!is_lost) {
                all.deliver(to, message);
            }
        }
    }
    all.offer_to(0, make_version(newest));
    for (int i = 0; i < 100; ++i) {
        all.settle();
        all.tick_all();
    }
    for (const auto& each : all.nodes) {
        RC_ASSERT(each.held != nullptr);
        RC_ASSERT(each.held->version.value >= newest);
        RC_ASSERT(is_ready(each));
    }
}

struct bad_row {
    const char* name;
    void (*spoil)(msg::config_delta_msg&);
    bool is_rejected;
};

class bad_delta : public testing::TestWithParam<bad_row> {};

TEST_P(bad_delta, is_never_held_in_part) {
    fleet all(2, 1);
    all.offer_to(1, make_version(1));
    const auto before = all.nodes[1].held;
    auto delta = make_delta(*make_version(1), *make_version(2));
    GetParam().spoil(delta);
    for (int i = 0; i < 2; ++i) {
        all.nodes[1].pull = {.is_in_flight = true, .target = node_id{"n0"}, .sent = all.now};
        all.deliver(1, {node_id{"n0"}, delta});
    }
    EXPECT_EQ(all.nodes[1].held, before);
    EXPECT_EQ(count_logs(all, "config_rejected"), GetParam().is_rejected ? 1U : 0U);
    EXPECT_EQ(all.nodes[1].reporting.rejected.has_value(), GetParam().is_rejected);
    all.deliver(1, {node_id{"n0"}, make_delta(*make_version(1), *make_version(3))});
    // The delta above it waited for its base.
    EXPECT_EQ(all.nodes[1].held->version.value, GetParam().is_rejected ? 3U : 4U);
}

INSTANTIATE_TEST_SUITE_P(
    table, bad_delta,
    testing::Values(
        bad_row{"damaged_body", [](auto& delta) { delta.changed.front()->body.pop_back(); }, true},
        bad_row{"empty_body", [](auto& delta) { delta.changed.front()->body.clear(); }, true},
        bad_row{"other_service", [](auto& delta) { delta.changed.front()->service = "x"; }, true},
        bad_row{"wrong_digest", [](auto& delta) { delta.digest = "00"; }, true},
        bad_row{"section_left_out", [](auto& delta) { delta.changed.pop_back(); }, true},
        bad_row{"dangling",
                [](auto& delta) {
                    delta = make_delta(*make_version(1), make_dangling(*make_version(1)));
                },
                true},
        bad_row{"base_not_held",
                [](auto& delta) { delta = make_delta(*make_version(3), *make_version(4)); },
                false}),
    [](const auto& row) { return row.param.name; });

TEST(distribution, bad_versions_cause_no_loop_of_pulls) {
    fleet all(2, 1);
    all.offer_to(1, make_version(1));
    all.nodes[1].needs_refresh = false;
    const auto delta = make_delta(*make_version(1), make_dangling(*make_version(1)));
    all.deliver(1, {node_id{"n0"}, delta});
    std::size_t pulls = 0;
    for (int i = 0; i < 200; ++i) {
        all.waiting.clear();
        all.deliver(1, {node_id{"n0"}, msg::config_notice_msg{{}, delta.version, delta.digest}});
        all.tick_all();
        pulls += static_cast<std::size_t>(
            std::count_if(all.waiting.begin(), all.waiting.end(), [](const auto& each) {
                return each.first == 0 &&
                       std::holds_alternative<msg::config_pull_msg>(each.second.message);
            }));
    }
    EXPECT_EQ(pulls, 0U);
}

TEST(distribution, says_once_that_the_store_has_fallen_behind) {
    fleet all(1, 1);
    all.offer_to(0, make_version(5));
    for (int i = 0; i < 3; ++i) {
        all.offer_to(0, make_version(3));
    }
    EXPECT_EQ(all.nodes[0].held->version.value, 5U);
    EXPECT_EQ(count_logs(all, "store_head_behind"), 1U);
}

TEST(distribution, keeps_its_own_of_two_configurations_of_one_version) {
    fleet all(2, 1);
    all.offer_to(0, make_version(1));
    const auto before = all.nodes[0].held;
    const auto other = std::get<snapshot_ptr>(build_snapshot(config_version{1}, {}, {}));
    all.offer_to(0, other);
    all.deliver(0, {node_id{"n1"}, make_notice(other)});
    EXPECT_EQ(all.nodes[0].held, before);
    EXPECT_EQ(count_logs(all, "config_conflict"), 1U);
}

TEST(distribution, serves_a_bounded_number_of_whole_configurations) {
    fleet all(2, 1);
    all.offer_to(0, make_version(1));
    all.waiting.clear();
    for (int i = 0; i < 6; ++i) {
        all.deliver(0, {node_id{"n1"}, msg::config_pull_msg{}});
    }
    const auto turned_away = std::count_if(all.waiting.begin(), all.waiting.end(), [](auto& each) {
        const auto* answer = std::get_if<msg::config_snapshot_msg>(&each.second.message);
        return answer != nullptr && answer->retry_after_ms > 0 && answer->sections.empty();
    });
    EXPECT_EQ(turned_away, 2);
}

TEST(distribution, is_not_ready_after_a_pause_until_it_has_compared) {
    fleet all(3, 1);
    all.offer_to(0, make_version(1));
    for (int i = 0; i < 40; ++i) {
        all.settle();
        all.tick_all();
    }
    ASSERT_TRUE(is_ready(all.nodes[2]));
    on_pause(all.nodes[2], all.now);
    EXPECT_FALSE(is_ready(all.nodes[2]));
    for (int i = 0; i < 10; ++i) {
        all.tick_all();
        all.waiting.clear(); // Nobody answers.
    }
    EXPECT_FALSE(is_ready(all.nodes[2]));
    for (int i = 0; i < 10; ++i) {
        all.settle();
        all.tick_all();
    }
    EXPECT_TRUE(is_ready(all.nodes[2]));
}

TEST(distribution, knows_a_version_in_force_only_when_all_hold_it) {
    fleet all(4, 1);
    all.offer_to(0, make_version(1));
    const auto is_in_force = [&] {
        const auto& known = all.nodes[0].progress.front();
        return known.in_force != instant{};
    };
    all.deaf = {3};
    for (int i = 0; i < 40; ++i) {
        all.tick_all();
        all.settle();
        EXPECT_FALSE(is_in_force());
    }
    all.deaf.clear();
    for (int i = 0; i < 60; ++i) {
        all.tick_all();
        all.settle();
    }
    EXPECT_TRUE(is_in_force());
    EXPECT_EQ(all.nodes[0].progress.front().nodes, 4U);
}

TEST(distribution, counts_what_it_hands_out_and_what_arrives_in_vain) {
    fleet all(2, 1);
    all.offer_to(0, make_version(1));
    all.offer_to(1, make_version(1));
    all.waiting.clear();
    all.offer_to(0, make_version(2));
    const auto delta = make_delta(*make_version(1), *make_version(2));
    std::size_t bodies = 0;
    for (const auto& each : delta.changed) {
        bodies += each->body.size();
    }
    EXPECT_EQ(all.nodes[0].counts.delta_messages, 1U);
    EXPECT_GE(all.nodes[0].counts.delta_bytes, bodies);
    all.settle();
    EXPECT_EQ(all.nodes[1].counts.deltas_needed, 1U);
    EXPECT_EQ(all.nodes[1].counts.deltas_not_needed, 0U);
    all.deliver(1, {node_id{"n0"}, delta});
    EXPECT_EQ(all.nodes[1].counts.deltas_not_needed, 1U);
    all.deliver(1, {node_id{"n0"}, make_pull(make_version(1))});
    all.deliver(1, {node_id{"n0"}, msg::config_pull_msg{}});
    EXPECT_EQ(all.nodes[1].counts.delta_messages, 1U);
    EXPECT_EQ(all.nodes[1].counts.snapshot_messages, 1U);
    EXPECT_GT(all.nodes[1].counts.snapshot_bytes, bodies);
}

RC_GTEST_PROP(peers_property, each_member_is_the_target_of_another, ()) {
    fleet all(*rc::gen::inRange<std::size_t>(3, 40), 1);
    std::set<std::string> reached;
    for (const auto& table : all.members) {
        const auto targets = push_targets(table, 1, 0);
        for (const auto* each : targets) {
            reached.insert(each->node);
        }
        RC_ASSERT(push_targets(table, 4, 2).size() <= 6U);
    }
    // A data centre with a single member has nobody to push to.
    RC_ASSERT(reached.size() + 1 >= all.members.size());
}

} // namespace
} // namespace cyclamenhatch::distribution

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

/// Version V has services s0 to s(V % 3); service si has the owner "owner<V / (i + 1)>".
snapshot_ptr make_version(std::uint64_t version) {
    std::vector<section_ptr> parts;
    for (std::uint64_t i = 0; i <= version % 3; ++i) {
        const auto name = "s" + std::to_string(i);
        parts.push_back(make_section(name, "owner" + std::to_string(version / (i + 1)), name));
    }
    return std::get<snapshot_ptr>(build_snapshot(config_version{version}, parts,
                                                 {operation_id{"op" + std::to_string(version)}}));
}

/// The next version of `base`, with correct digests and a route to a service that does not exist.
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

/// Nodes that know each other, and undelivered messages between them.
struct fleet {
    std::vector<membership::table> members;
    std::vector<state> nodes;
    std::vector<std::pair<std::size_t, incoming>> undelivered;
    std::vector<log_event> logs;
    std::vector<config_version> highest_seen;
    /// Nodes to which settle delivers no messages.
    std::set<std::size_t> unreachable;
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
        highest_seen.resize(count);
    }

    void send(std::size_t sender, actions& out) {
        for (auto& message : out.sends) {
            undelivered.emplace_back(
                std::stoul(message.to.value.substr(1)),
                incoming{node_id{node_name(sender)}, std::move(message.message)});
        }
        std::move(out.logs.begin(), out.logs.end(), std::back_inserter(logs));
        check(sender);
    }

    void offer_to(std::size_t receiver, const snapshot_ptr& config) {
        actions out;
        offer_config(nodes[receiver], members[receiver], config, now, random, out);
        send(receiver, out);
    }

    void deliver(std::size_t receiver, const incoming& message) {
        actions out;
        on_message(nodes[receiver], members[receiver], message, now, random, out);
        send(receiver, out);
    }

    void tick_all() {
        now += tick;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            actions out;
            on_tick(nodes[i], members[i], now, random, out);
            send(i, out);
        }
    }

    /// Delivers all undelivered messages and those sent in response, in at most 50 rounds.
    void settle() {
        for (int rounds = 0; rounds < 50 && !undelivered.empty(); ++rounds) {
            for (const auto& [receiver, message] : std::exchange(undelivered, {})) {
                if (!unreachable.contains(receiver)) {
                    deliver(receiver, message);
                }
            }
        }
    }

    /// Checks the invariants of a node: its version never decreases, and what it holds is complete
    /// and valid.
    void check(std::size_t index) {
        const auto& config = nodes[index].config;
        const auto version = config ? config->version : config_version{};
        RC_ASSERT(version >= highest_seen[index]);
        highest_seen[index] = version;
        if (!config) {
            RC_ASSERT(!is_ready(nodes[index]));
            return;
        }
        std::vector<const section*> parts;
        for (const auto& [name, part] : config->sections) {
            parts.push_back(&part->content);
        }
        RC_ASSERT(validate_sections(parts).empty());
        RC_ASSERT(config->digest == make_version(version.value)->digest);
    }
};

std::size_t count_logs(const fleet& all, const std::string& name) {
    return static_cast<std::size_t>(
        std::count_if(all.logs.begin(), all.logs.end(),
                      [&](const log_event& event) { return event.name == name; }));
}

/// Messages are reordered, duplicated and lost, senders are faulty and nodes restart; after that
/// all messages are delivered and every node must hold the newest version.
RC_GTEST_PROP(distribution_property, holds_only_valid_increasing_versions_and_converges, ()) {
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
            all.highest_seen[restarted] = {};
        } else if (kind == 4 && all.nodes[0].config) {
            const auto& base = *all.nodes[0].config;
            all.undelivered.emplace_back(
                *any_node, incoming{node_id{"n0"}, make_delta(base, make_dangling(base))});
        } else if (!all.undelivered.empty()) {
            const auto position = *rc::gen::inRange<std::size_t>(0, all.undelivered.size());
            const auto [receiver, message] = all.undelivered[position];
            const bool is_repeated = kind == 5;
            const bool is_lost = kind == 6;
            if (!is_repeated) {
                all.undelivered.erase(all.undelivered.begin() +
                                      static_cast<std::ptrdiff_t>(position));
            }
            if (!is_lost) {
                all.deliver(receiver, message);
            }
        }
    }
    all.offer_to(0, make_version(newest));
    for (int i = 0; i < 100; ++i) {
        all.settle();
        all.tick_all();
    }
    for (const auto& node : all.nodes) {
        RC_ASSERT(node.config != nullptr);
        RC_ASSERT(node.config->version.value >= newest);
        RC_ASSERT(is_ready(node));
    }
}

struct bad_row {
    const char* name;
    void (*corrupt)(msg::config_delta_msg&);
    bool is_rejected;
};

class bad_delta : public testing::TestWithParam<bad_row> {};

TEST_P(bad_delta, is_never_held_in_part) {
    fleet all(2, 1);
    all.offer_to(1, make_version(1));
    const auto before = all.nodes[1].config;
    auto delta = make_delta(*make_version(1), *make_version(2));
    GetParam().corrupt(delta);
    for (int i = 0; i < 2; ++i) {
        all.nodes[1].pull = {.is_in_flight = true, .target = node_id{"n0"}, .sent = all.now};
        all.deliver(1, {node_id{"n0"}, delta});
    }
    EXPECT_EQ(all.nodes[1].config, before);
    EXPECT_EQ(count_logs(all, "config_rejected"), GetParam().is_rejected ? 1U : 0U);
    EXPECT_EQ(all.nodes[1].reporting.rejected.has_value(), GetParam().is_rejected);
    all.deliver(1, {node_id{"n0"}, make_delta(*make_version(1), *make_version(3))});
    // With base_not_held, the delta from 3 to 4 was pending until its base arrived.
    EXPECT_EQ(all.nodes[1].config->version.value, GetParam().is_rejected ? 3U : 4U);
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
        all.undelivered.clear();
        all.deliver(1, {node_id{"n0"}, msg::config_notice_msg{{}, delta.version, delta.digest}});
        all.tick_all();
        pulls += static_cast<std::size_t>(
            std::count_if(all.undelivered.begin(), all.undelivered.end(), [](const auto& entry) {
                return entry.first == 0 &&
                       std::holds_alternative<msg::config_pull_msg>(entry.second.message);
            }));
    }
    EXPECT_EQ(pulls, 0U);
}

TEST(distribution, logs_a_lower_head_of_the_store_once) {
    fleet all(1, 1);
    all.offer_to(0, make_version(5));
    for (int i = 0; i < 3; ++i) {
        all.offer_to(0, make_version(3));
    }
    EXPECT_EQ(all.nodes[0].config->version.value, 5U);
    EXPECT_EQ(count_logs(all, "store_head_behind"), 1U);
}

TEST(distribution, keeps_the_held_configuration_on_a_version_conflict) {
    fleet all(2, 1);
    all.offer_to(0, make_version(1));
    const auto before = all.nodes[0].config;
    const auto other = std::get<snapshot_ptr>(build_snapshot(config_version{1}, {}, {}));
    all.offer_to(0, other);
    all.deliver(0, {node_id{"n1"}, make_notice(other)});
    EXPECT_EQ(all.nodes[0].config, before);
    EXPECT_EQ(count_logs(all, "config_conflict"), 1U);
}

TEST(distribution, serves_a_bounded_number_of_whole_configurations) {
    fleet all(2, 1);
    all.offer_to(0, make_version(1));
    all.undelivered.clear();
    for (int i = 0; i < 6; ++i) {
        all.deliver(0, {node_id{"n1"}, msg::config_pull_msg{}});
    }
    const auto deferred =
        std::count_if(all.undelivered.begin(), all.undelivered.end(), [](auto& entry) {
            const auto* answer = std::get_if<msg::config_snapshot_msg>(&entry.second.message);
            return answer != nullptr && answer->retry_after_ms > 0 && answer->sections.empty();
        });
    EXPECT_EQ(deferred, 2);
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
        all.undelivered.clear(); // Nobody answers.
    }
    EXPECT_FALSE(is_ready(all.nodes[2]));
    for (int i = 0; i < 10; ++i) {
        all.settle();
        all.tick_all();
    }
    EXPECT_TRUE(is_ready(all.nodes[2]));
}

TEST(distribution, reports_a_version_in_force_only_when_all_hold_it) {
    fleet all(4, 1);
    all.offer_to(0, make_version(1));
    const auto is_in_force = [&] {
        const auto& progress = all.nodes[0].progress.front();
        return progress.in_force_at != instant{};
    };
    all.unreachable = {3};
    for (int i = 0; i < 40; ++i) {
        all.tick_all();
        all.settle();
        EXPECT_FALSE(is_in_force());
    }
    all.unreachable.clear();
    for (int i = 0; i < 60; ++i) {
        all.tick_all();
        all.settle();
    }
    EXPECT_TRUE(is_in_force());
    EXPECT_EQ(all.nodes[0].progress.front().nodes, 4U);
}

TEST(distribution, counts_sent_messages_and_unneeded_deltas) {
    fleet all(2, 1);
    all.offer_to(0, make_version(1));
    all.offer_to(1, make_version(1));
    all.undelivered.clear();
    all.offer_to(0, make_version(2));
    const auto delta = make_delta(*make_version(1), *make_version(2));
    std::size_t bodies = 0;
    for (const auto& blob : delta.changed) {
        bodies += blob->body.size();
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
        for (const auto* target : targets) {
            reached.insert(target->node);
        }
        RC_ASSERT(push_targets(table, 4, 2).size() <= 6U);
    }
    // A data centre with a single member has no local push target.
    RC_ASSERT(reached.size() + 1 >= all.members.size());
}

} // namespace
} // namespace cyclamenhatch::distribution

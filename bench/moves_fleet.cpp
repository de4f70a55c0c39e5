#include "bench/moves_fleet.h"

#include <algorithm>
#include <cstdio>

namespace cyclamenhatch::bench {

namespace {

constexpr milliseconds tick{100};
constexpr milliseconds end_grace{60000};
constexpr double loss = 0.01;
constexpr std::size_t lying_host = 0;
constexpr milliseconds store_delay{10};

std::string node_name(std::size_t host) {
    return "n" + std::to_string(host);
}

std::size_t host_of(const node_id& node) {
    return static_cast<std::size_t>(std::stoul(node.value.substr(1)));
}

milliseconds draw(random_source& random, int lowest, int highest) {
    return milliseconds(std::uniform_int_distribution<int>(lowest, highest)(random));
}

msg::member_record_msg make_record(const sim_fleet& self, std::size_t host) {
    msg::member_record_msg record;
    record.node = node_name(host);
    record.data_centre = "dc" + std::to_string(self.calls.hosts[host].data_centre);
    record.region = self.calls.hosts[host].data_centre == 2 ? "b" : "a";
    record.ip = "127.0.0.1";
    record.link_port = static_cast<std::uint16_t>(7400 + host);
    record.incarnation = 1;
    record.upstream = std::make_unique<msg::upstream_record_msg>();
    record.upstream->service = "layouts";
    record.upstream->version = self.calls.hosts[host].is_new ? "v2" : "v1";
    record.upstream->state = msg::upstream_state::ready;
    record.upstream->slots = 16;
    return record;
}

membership::table make_table(const sim_fleet& self, std::size_t host) {
    auto member_table = membership::make_table({}, make_record(self, host), {}, self.now);
    for (std::size_t other = 0; other < sim_nodes; ++other) {
        if (other != host) {
            member_table.members[node_id(node_name(other))] = {.record = make_record(self, other),
                                                               .since = self.now};
        }
    }
    return member_table;
}

section make_section() {
    section content;
    content.service = {.name = service_id("layouts"),
                       .owner = owner_id("layouts-team"),
                       .version = version_id("v1")};
    for (int i = 0; i < 3; ++i) {
        content.routes.push_back({.name = route_id("r" + std::to_string(i)),
                                  .service = content.service.name,
                                  .path_prefix = "/r" + std::to_string(i)});
    }
    content.versions = {{.name = version_id("v1"), .service = content.service.name},
                        {.name = version_id("v2"), .service = content.service.name}};
    content.moves.push_back({.name = move_id("m"),
                             .service = content.service.name,
                             .old_version = version_id("v1"),
                             .new_version = version_id("v2"),
                             .deadline = move_deadline(),
                             .bake = bake_length});
    return content;
}

snapshot_ptr make_head(std::uint64_t version, section content) {
    auto built = build_snapshot({version}, {make_stored_section(std::move(content))}, {});
    return std::get<snapshot_ptr>(built);
}

void handle(sim_fleet& self, std::size_t host, moves::actions actions);

void deliver_config(sim_fleet& self, std::size_t host) {
    if (!self.calls.hosts[host].is_up) {
        return;
    }
    moves::actions actions;
    moves::on_config(self.nodes[host], self.tables[host], self.store.head, self.now, actions);
    handle(self, host, std::move(actions));
}

void write_ending(sim_fleet& self, const store::move_close& close) {
    section content = self.store.head->sections.begin()->second->content;
    move& open = content.moves.front();
    if (!self.store.is_up || open.ending) {
        return;
    }
    open.ending = close.ending;
    if (close.ending.outcome == move_outcome::done) {
        content.service.version = open.new_version;
    }
    ++self.store.endings;
    self.store.head = make_head(self.store.head->version.value + 1, std::move(content));
    for (std::size_t host = 0; host < sim_nodes; ++host) {
        schedule(self, self.now + draw(self.random, 50, 800),
                 [&self, host] { deliver_config(self, host); });
    }
}

void send(sim_fleet& self, std::size_t sender, outgoing message) {
    ++self.messages;
    const std::size_t receiver = host_of(message.to);
    if (sender == lying_host && self.setup.fault == environment_fault::lying_node) {
        message = falsify(std::move(message));
    }
    if (std::uniform_real_distribution<double>(0, 1)(self.random) < loss) {
        return;
    }
    auto delivered = std::make_shared<incoming>(
        incoming{.from = node_id(node_name(sender)), .message = std::move(message.message)});
    schedule(self, self.now + draw(self.random, 1, 5), [&self, sender, receiver, delivered] {
        if (!self.calls.hosts[sender].is_up || !is_reachable(self.calls, sender, receiver)) {
            return;
        }
        moves::actions actions;
        moves::on_message(self.nodes[receiver], self.tables[receiver], *delivered, self.now,
                          self.random, actions);
        handle(self, receiver, std::move(actions));
    });
}

void handle(sim_fleet& self, std::size_t host, moves::actions actions) {
    for (const auto& event : actions.logs) {
        if (self.setup.is_traced) {
            std::printf("t=%.2f node=%zu %s\n",
                        std::chrono::duration<double>(self.now - move_begin()).count(), host,
                        to_line(event).c_str());
        }
    }
    for (auto& message : actions.sends) {
        send(self, host, std::move(message));
    }
    for (const auto& close : actions.closes) {
        schedule(self, self.now + store_delay, [&self, close] { write_ending(self, close); });
    }
}

std::uint32_t share_of(const sim_fleet& self, std::size_t host) {
    const auto shares = moves::version_shares(self.nodes[host], self.now);
    if (!shares.empty()) {
        return shares.begin()->second.permille;
    }
    const auto& config = self.nodes[host].config;
    const bool is_on_new =
        config && config->sections.begin()->second->content.service.version.value == "v2";
    return is_on_new ? 1000 : 0;
}

/// Records when any node first knows of a veto that takes the move back.
void record_veto(sim_fleet& self, std::size_t host) {
    if (self.first_veto_at != instant{}) {
        return;
    }
    for (const auto& [key, record] : self.nodes[host].records) {
        if (moves::find_veto(record) != nullptr) {
            self.first_veto_at = self.now;
        }
    }
}

void tick_host(sim_fleet& self, std::size_t host) {
    schedule(self, self.now + tick, [&self, host] { tick_host(self, host); });
    if (!self.calls.hosts[host].is_up) {
        return;
    }
    moves::add_samples(self.nodes[host], take_ended_calls(self.calls, host, self.now), self.now);
    moves::actions actions;
    moves::on_tick(self.nodes[host], self.tables[host], self.now, self.random, actions);
    handle(self, host, std::move(actions));
    record_veto(self, host);
    const std::uint32_t permille = share_of(self, host);
    if (permille >= 1000 && self.calls.full_since == instant{}) {
        self.calls.full_since = self.now;
    }
    simulate_calls(self.calls, host, permille, tick, self.now, self.random);
}

bool is_over(const sim_fleet& self) {
    if (self.now > move_deadline() + end_grace) {
        return true;
    }
    for (std::size_t host = 0; host < sim_nodes; ++host) {
        if (self.calls.hosts[host].is_up && !self.nodes[host].open.empty()) {
            return false;
        }
    }
    return self.store.endings > 0;
}

void start_host(sim_fleet& self, std::size_t host) {
    self.nodes[host] = moves::make_state({}, self.now);
    self.tables[host] = make_table(self, host);
    for (std::size_t other = 0; other < sim_nodes; ++other) {
        if (!self.calls.hosts[other].is_up) {
            set_member_state(self, host, other, msg::liveness::dead, msg::upstream_state::ready);
        }
    }
    deliver_config(self, host);
}

} // namespace

instant move_begin() {
    return from_unix_ms(1'800'000'000'000);
}

instant move_deadline() {
    return move_begin() + move_length;
}

void schedule(sim_fleet& self, instant time, std::function<void()> action) {
    self.events.push({.time = time, .order = self.next_order++, .action = std::move(action)});
}

void set_member_state(sim_fleet& self, std::size_t observer, std::size_t host,
                      msg::liveness liveness, msg::upstream_state state) {
    membership::table& table = self.tables[observer];
    const bool is_usable = liveness == msg::liveness::alive && state == msg::upstream_state::ready;
    self.calls.views[observer][host].is_ready = is_usable;
    if (observer == host) {
        table.self.upstream->state = state;
    } else {
        auto& record = table.members[node_id(node_name(host))].record;
        record.state = liveness;
        record.upstream->state = state;
    }
    ++table.generation;
}

void kill_host(sim_fleet& self, std::size_t host, milliseconds downtime) {
    if (!self.calls.hosts[host].is_up) {
        return;
    }
    self.calls.hosts[host].is_up = false;
    self.calls.pending[host] = {};
    for (std::size_t observer = 0; observer < sim_nodes; ++observer) {
        schedule(self, self.now + draw(self.random, 3000, 4500), [&self, observer, host] {
            if (!self.calls.hosts[host].is_up) {
                set_member_state(self, observer, host, msg::liveness::dead,
                                 msg::upstream_state::ready);
            }
        });
    }
    schedule(self, self.now + downtime, [&self, host] {
        constexpr seconds cold_time{3};
        self.calls.hosts[host].is_up = true;
        self.calls.hosts[host].cold_until = self.now + cold_time;
        start_host(self, host);
        for (std::size_t observer = 0; observer < sim_nodes; ++observer) {
            schedule(self, self.now + draw(self.random, 100, 1000), [&self, observer, host] {
                set_member_state(self, observer, host, msg::liveness::alive,
                                 msg::upstream_state::ready);
            });
        }
    });
}

std::unique_ptr<sim_fleet> make_fleet(const scenario& setup) {
    auto fleet = std::make_unique<sim_fleet>();
    fleet->setup = setup;
    fleet->now = move_begin();
    fleet->random.seed(setup.seed * 7919 + 13);
    fleet->calls = make_traffic(setup, fleet->now);
    fleet->store.head = make_head(1, make_section());
    for (std::size_t host = 0; host < sim_nodes; ++host) {
        start_host(*fleet, host);
        schedule(*fleet, fleet->now + milliseconds(5 * host),
                 [self = fleet.get(), host] { tick_host(*self, host); });
    }
    plan_fault(*fleet);
    return fleet;
}

void run_fleet(sim_fleet& self) {
    while (!self.events.empty() && !is_over(self)) {
        // Runs all events of one instant before the next check of is_over, which is costly.
        const instant time = self.events.top().time;
        while (!self.events.empty() && self.events.top().time == time) {
            const auto action = self.events.top().action;
            self.events.pop();
            self.now = time;
            action();
        }
    }
}

} // namespace cyclamenhatch::bench

#include "scenarios/cluster.h"

#include "model/validation.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace cyclamenhatch::scenarios {
namespace {

constexpr milliseconds time_step{1};
constexpr int tick_ms = 100;
constexpr int second_ms = 1000;
/// How long messages to a paused process are buffered: link.silence_timeout_ms.
constexpr milliseconds silence_timeout{3000};
constexpr std::uint16_t link_port = 7400;
constexpr double ticks_per_s = 10;

std::int64_t elapsed_ms(const cluster& sim) {
    return std::chrono::duration_cast<milliseconds>(sim.now - sim.start).count();
}

const char* outcome_name(const store::write_reply& reply) {
    if (std::holds_alternative<store::write_accepted>(reply.outcome)) {
        return "accepted";
    }
    if (std::holds_alternative<store::write_not_run>(reply.outcome)) {
        return "not_run";
    }
    if (const auto* refused = std::get_if<store::change_refused>(&reply.outcome)) {
        return refused->kind == store::refusal_kind::invalid ? "invalid" : "conflict";
    }
    return "unknown";
}

void send_store_request(cluster& sim, const host& sender, const store::kv_request& request) {
    const bool is_read = std::holds_alternative<store::kv_range>(request.operation) ||
                         std::holds_alternative<store::kv_watch>(request.operation);
    ++(is_read ? sim.reads : sim.writes);
    fakes::send(sim.store, sender.name, request, sim.now);
}

void send_all(cluster& sim, std::size_t sender, std::vector<outgoing>& sends) {
    const node_id sender_id{sim.hosts[sender].name};
    for (auto& output : sends) {
        const auto address_match = sim.host_by_address.find(output.address);
        const auto name_match = sim.host_by_name.find(output.to.value);
        const bool is_quarantine =
            std::holds_alternative<msg::quarantine_state_msg>(output.message);
        auto& random = is_quarantine ? sim.quarantine_random : sim.random;
        if (address_match != sim.host_by_address.end()) {
            send(sim.net, sender, address_match->second, {sender_id, std::move(output.message)},
                 sim.now, random);
        } else if (name_match != sim.host_by_name.end()) {
            send(sim.net, sender, name_match->second, {sender_id, std::move(output.message)},
                 sim.now, random);
        }
    }
}

void add_violation(cluster& sim, const host& node, const std::string& problem) {
    sim.violations.push_back(std::to_string(elapsed_ms(sim)) + " ms: " + node.name + ": " +
                             problem);
}

void check_configuration(cluster& sim, host& node) {
    const auto& held = node.process->distribution.config;
    if (held == node.last_checked) {
        return;
    }
    if (!held || (node.last_checked && held->version <= node.last_checked->version)) {
        add_violation(sim, node, "the version of the configuration decreased");
    }
    node.last_checked = held;
    if (!held) {
        return;
    }
    std::vector<const section*> sections;
    for (const auto& [name, entry] : held->sections) {
        sections.push_back(&entry->content);
    }
    if (!validate_sections(sections).empty() ||
        compute_head_digest(held->version, held->sections) != held->digest) {
        add_violation(sim, node, "the configuration is invalid");
    }
}

void check_ready(cluster& sim, host& node) {
    if (!distribution::is_ready(node.process->distribution)) {
        return;
    }
    const auto& held = node.process->distribution.config;
    if (!held) {
        add_violation(sim, node, "ready without a configuration");
        return;
    }
    if (held->version < node.highest_ready) {
        add_violation(sim, node, "ready with a lower version than an earlier one of this host");
    }
    node.highest_ready = std::max(node.highest_ready, held->version);
}

void deliver(cluster& sim, std::size_t index, const incoming& message) {
    auto& receiver = sim.hosts[index];
    if (!receiver.process) {
        return;
    }
    if (receiver.is_paused) {
        // After the timeout the senders have closed their links, so later messages are lost.
        if (sim.now - receiver.paused_at < silence_timeout) {
            receiver.buffered_messages.push_back(message);
        }
        return;
    }
    step_node(sim, index, [&](control::state& self, control::actions& actions) {
        control::on_message(self, message, sim.now, actions);
    });
}

void deliver_response(cluster& sim, std::size_t index, const store::kv_response& response) {
    auto& receiver = sim.hosts[index];
    if (receiver.is_paused) {
        receiver.buffered_responses.push_back(response);
    } else if (receiver.process) {
        step_node(sim, index, [&](control::state& self, control::actions& actions) {
            control::on_store_response(self, response, sim.now, actions);
        });
    }
}

/// Records the calls of one tick through one node, divided over versions by the shares of its
/// moves.
void make_calls(cluster& sim, control::state& self) {
    for (const auto& load : sim.calls) {
        const auto& held = self.distribution.config;
        if (!held || !held->sections.contains(load.service)) {
            continue;
        }
        const auto& content = held->sections.at(load.service)->content;
        const auto shares = moves::version_shares(self.moves, sim.now);
        const auto share = shares.find(load.service);
        std::vector<call::call_sample> samples;
        // Rounded at random so that rates below one call per tick are right on average.
        const auto fraction = static_cast<double>(sim.random() % 1000) / 1000;
        const auto count = static_cast<int>(load.calls_per_s / ticks_per_s + fraction);
        for (int i = 0; i < count && !content.routes.empty(); ++i) {
            const bool is_new =
                share != shares.end() && sim.random() % 1000 < share->second.permille;
            const auto version = is_new ? share->second.new_version : content.service.version;
            const auto errors = load.error_shares.find(version);
            const bool is_error = errors != load.error_shares.end() &&
                                  static_cast<double>(sim.random() % 1000) < errors->second * 1000;
            samples.push_back({.service = load.service,
                               .route = content.routes.front().name,
                               .version = version,
                               .data_centre = data_centre_id{self.members.self.data_centre},
                               .kind = is_error ? call::sample_kind::error : call::sample_kind::ok,
                               .latency = load.latency});
        }
        control::record_samples(self, samples, sim.now);
    }
}

void tick_node(cluster& sim, std::size_t index) {
    auto& node = sim.hosts[index];
    if (!node.process || node.is_paused) {
        return;
    }
    step_node(sim, index, [&](control::state& self, control::actions& actions) {
        if (control::is_ready(self)) {
            make_calls(sim, self);
        }
        control::on_tick(self, sim.now, actions);
    });
}

void finish_second(cluster& sim) {
    sim.peak_reads = std::max(sim.peak_reads, std::exchange(sim.reads, 0));
    sim.peak_writes = std::max(sim.peak_writes, std::exchange(sim.writes, 0));
    std::fill(sim.net.snapshots.begin(), sim.net.snapshots.end(), 0);
}

void add_matching(const cluster& sim, const std::string& item, std::vector<std::size_t>& indexes) {
    const auto colon = item.find(':');
    const auto parity = colon == std::string::npos ? "" : item.substr(0, colon);
    const auto name = colon == std::string::npos ? item : item.substr(colon + 1);
    std::size_t match_count = 0;
    for (std::size_t i = 0; i < sim.hosts.size(); ++i) {
        const auto& candidate = sim.hosts[i];
        if (name != "all" && name != candidate.name && name != candidate.place.data_centre &&
            name != candidate.place.region) {
            continue;
        }
        const bool is_even = match_count++ % 2 == 0;
        if (parity.empty() || (parity == "even") == is_even) {
            indexes.push_back(i);
        }
    }
}

} // namespace

cluster make_cluster(std::uint64_t seed) {
    cluster sim;
    sim.random.seed(seed);
    sim.quarantine_random.seed(seed + 1);
    sim.start = from_unix_ms(1'800'000'000'000);
    sim.now = sim.start;
    sim.counters_reset_at = sim.start;
    sim.settings.identity = std::make_unique<msg::identity_settings_msg>();
    sim.settings.listen = std::make_unique<msg::listen_settings_msg>();
    sim.settings.cluster = std::make_unique<msg::cluster_settings_msg>();
    sim.settings.store = std::make_unique<msg::store_settings_msg>();
    sim.settings.admin = std::make_unique<msg::admin_settings_msg>();
    sim.settings.membership = std::make_unique<msg::membership_settings_msg>();
    sim.settings.distribution = std::make_unique<msg::distribution_settings_msg>();
    sim.settings.call = std::make_unique<msg::call_settings_msg>();
    sim.settings.move = std::make_unique<msg::move_settings_msg>();
    sim.settings.link = std::make_unique<msg::link_settings_msg>();
    sim.settings.process = std::make_unique<msg::process_settings_msg>();
    return sim;
}

void add_host(cluster& sim, const std::string& name, const location& place) {
    const auto index = sim.hosts.size();
    const auto ip = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
    sim.hosts.push_back({.name = name, .place = place, .address = {.ip = ip, .port = link_port}});
    sim.host_by_address[sim.hosts.back().address] = index;
    sim.host_by_name[name] = index;
    sim.net.places.push_back(place);
    sim.net.bytes_sent.push_back(0);
    sim.net.snapshots.push_back(0);
}

void start_process(cluster& sim, std::size_t index) {
    auto& node = sim.hosts[index];
    auto settings = sim.settings;
    settings.identity->node = node.name;
    settings.identity->region = node.place.region;
    settings.identity->data_centre = node.place.data_centre;
    settings.listen->ip = node.address.ip;
    settings.listen->link_port = node.address.port;
    node.process =
        std::make_unique<control::state>(control::make_state(settings, sim.random(), sim.now));
    node.is_paused = false;
    node.last_checked = nullptr;
}

void stop_process(cluster& sim, std::size_t index) {
    auto& node = sim.hosts[index];
    node.process.reset();
    node.is_paused = false;
    node.buffered_messages.clear();
    node.buffered_responses.clear();
    std::erase_if(sim.store.watches,
                  [&](const fakes::active_watch& watch) { return watch.client == node.name; });
    std::erase_if(sim.store.answers,
                  [&](const fakes::store_delivery& answer) { return answer.client == node.name; });
}

void resume_process(cluster& sim, std::size_t index) {
    auto& node = sim.hosts[index];
    node.is_paused = false;
    // Buffered messages are handled before the next tick, as in a real process that was stopped.
    for (const auto& message : std::exchange(node.buffered_messages, {})) {
        deliver(sim, index, message);
    }
    for (const auto& response : std::exchange(node.buffered_responses, {})) {
        deliver_response(sim, index, response);
    }
    tick_node(sim, index);
}

void step_node(cluster& sim, std::size_t index,
               const std::function<void(control::state&, control::actions&)>& step) {
    auto& node = sim.hosts[index];
    control::actions actions;
    step(*node.process, actions);
    send_all(sim, index, actions.sends);
    for (const auto& request : actions.requests) {
        send_store_request(sim, node, request);
    }
    for (const auto& reply : actions.replies) {
        sim.replies[reply.operation.value] = outcome_name(reply);
    }
    for (const auto& event : actions.logs) {
        ++node.logs[event.name];
    }
    check_configuration(sim, node);
    check_ready(sim, node);
}

void advance(cluster& sim) {
    sim.now += time_step;
    for (delivery due; take_due(sim.net, sim.now, due);) {
        deliver(sim, due.receiver, due.message);
    }
    const auto elapsed = elapsed_ms(sim);
    for (const auto& answer : fakes::advance(sim.store, sim.now)) {
        deliver_response(sim, sim.host_by_name.at(answer.client), answer.response);
    }
    for (std::size_t i = 0; i < sim.hosts.size(); ++i) {
        // The ticks of the nodes are staggered, as those of real processes are.
        if ((elapsed + static_cast<std::int64_t>(i) * 37) % tick_ms == 0) {
            tick_node(sim, i);
        }
    }
    if (elapsed % second_ms == 0) {
        finish_second(sim);
    }
}

std::vector<std::size_t> find_hosts(const cluster& sim, const std::string& group) {
    std::vector<std::size_t> indexes;
    std::istringstream items(group);
    for (std::string item; std::getline(items, item, ',');) {
        const auto count_before = indexes.size();
        add_matching(sim, item, indexes);
        if (indexes.size() == count_before) {
            throw std::invalid_argument("no host matches \"" + item + "\"");
        }
    }
    return indexes;
}

} // namespace cyclamenhatch::scenarios

#include "scenarios/cluster.h"

#include "model/validation.h"

#include <algorithm>
#include <sstream>
#include <stdexcept>

namespace cyclamenhatch::scenarios {
namespace {

constexpr milliseconds step_time{1};
constexpr int tick_ms = 100;
constexpr int second_ms = 1000;
constexpr milliseconds held_time{3000};
constexpr std::uint16_t link_port = 7400;
constexpr double ticks_per_s = 10;

std::int64_t elapsed_ms(const cluster& all) {
    return std::chrono::duration_cast<milliseconds>(all.now - all.start).count();
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

void request_store(cluster& all, const host& from, const store::kv_request& request) {
    const bool is_read = std::holds_alternative<store::kv_range>(request.operation) ||
                         std::holds_alternative<store::kv_watch>(request.operation);
    ++(is_read ? all.reads : all.writes);
    fakes::send(all.store, from.name, request, all.now);
}

void send_all(cluster& all, std::size_t from, std::vector<outgoing>& sends) {
    const node_id sender{all.hosts[from].name};
    for (auto& each : sends) {
        const auto by_address = all.by_address.find(each.address);
        const auto by_name = all.by_name.find(each.to.value);
        if (by_address != all.by_address.end()) {
            send(all.net, from, by_address->second, {sender, std::move(each.message)}, all.now,
                 all.random);
        } else if (by_name != all.by_name.end()) {
            send(all.net, from, by_name->second, {sender, std::move(each.message)}, all.now,
                 all.random);
        }
    }
}

void violate(cluster& all, const host& where, const std::string& what) {
    all.violations.push_back(std::to_string(elapsed_ms(all)) + " ms: " + where.name + ": " + what);
}

void check_held(cluster& all, host& checked) {
    const auto& held = checked.process->spread.held;
    if (held == checked.checked) {
        return;
    }
    if (!held || (checked.checked && held->version <= checked.checked->version)) {
        violate(all, checked, "the version held fell");
    }
    checked.checked = held;
    if (!held) {
        return;
    }
    std::vector<const section*> parts;
    for (const auto& [name, part] : held->sections) {
        parts.push_back(&part->content);
    }
    if (!validate_sections(parts).empty() ||
        compute_head_digest(held->version, held->sections) != held->digest) {
        violate(all, checked, "an invalid configuration is held");
    }
}

void check_ready(cluster& all, host& checked) {
    if (!distribution::is_ready(checked.process->spread)) {
        return;
    }
    const auto& held = checked.process->spread.held;
    if (!held) {
        violate(all, checked, "ready without a configuration");
        return;
    }
    if (held->version < checked.highest_ready) {
        violate(all, checked, "ready with a lower version than the host had before");
    }
    checked.highest_ready = std::max(checked.highest_ready, held->version);
}

void deliver(cluster& all, std::size_t to, const incoming& message) {
    auto& receiver = all.hosts[to];
    if (!receiver.process) {
        return;
    }
    if (receiver.is_paused) {
        // Later the senders have found their links silent and closed them.
        if (all.now - receiver.paused_at < held_time) {
            receiver.held_messages.push_back(message);
        }
        return;
    }
    step_node(all, to, [&](control::state& self, control::actions& wanted) {
        control::on_message(self, message, all.now, wanted);
    });
}

void answer(cluster& all, std::size_t to, const store::kv_response& response) {
    auto& receiver = all.hosts[to];
    if (receiver.is_paused) {
        receiver.held_answers.push_back(response);
    } else if (receiver.process) {
        step_node(all, to, [&](control::state& self, control::actions& wanted) {
            control::on_store_response(self, response, all.now, wanted);
        });
    }
}

/// The calls of one tick through one node, divided as its routing view says.
void make_calls(cluster& all, control::state& self) {
    for (const auto& load : all.calls) {
        const auto& held = self.spread.held;
        if (!held || !held->sections.contains(load.service)) {
            continue;
        }
        const auto& part = held->sections.at(load.service)->content;
        const auto shares = moves::shares(self.moves, all.now);
        const auto share = shares.find(load.service);
        std::vector<call::call_sample> samples;
        // Rounded at random, so that less than one call a tick comes out right on average.
        const auto fraction = static_cast<double>(all.random() % 1000) / 1000;
        const auto count = static_cast<int>(load.calls_per_s / ticks_per_s + fraction);
        for (int i = 0; i < count && !part.routes.empty(); ++i) {
            const bool is_new =
                share != shares.end() && all.random() % 1000 < share->second.permille;
            const auto version = is_new ? share->second.new_version : part.service.version;
            const auto errors = load.error_shares.find(version);
            const bool is_error = errors != load.error_shares.end() &&
                                  static_cast<double>(all.random() % 1000) < errors->second * 1000;
            samples.push_back({.service = load.service,
                               .route = part.routes.front().name,
                               .version = version,
                               .data_centre = data_centre_id{self.members.self.data_centre},
                               .kind = is_error ? call::sample_kind::error : call::sample_kind::ok,
                               .latency = load.latency});
        }
        control::record_samples(self, samples, all.now);
    }
}

void tick_node(cluster& all, std::size_t index) {
    auto& ticked = all.hosts[index];
    if (!ticked.process || ticked.is_paused) {
        return;
    }
    step_node(all, index, [&](control::state& self, control::actions& wanted) {
        if (distribution::is_ready(self.spread)) {
            make_calls(all, self);
        }
        control::on_tick(self, all.now, wanted);
    });
}

void count_store_second(cluster& all) {
    all.most_reads = std::max(all.most_reads, std::exchange(all.reads, 0));
    all.most_writes = std::max(all.most_writes, std::exchange(all.writes, 0));
    std::fill(all.net.snapshots.begin(), all.net.snapshots.end(), 0);
}

void add_matching(const cluster& all, const std::string& item, std::vector<std::size_t>& found) {
    const auto colon = item.find(':');
    const auto half = colon == std::string::npos ? "" : item.substr(0, colon);
    const auto name = colon == std::string::npos ? item : item.substr(colon + 1);
    std::size_t position = 0;
    for (std::size_t i = 0; i < all.hosts.size(); ++i) {
        const auto& each = all.hosts[i];
        if (name != "all" && name != each.name && name != each.place.data_centre &&
            name != each.place.region) {
            continue;
        }
        const bool is_even = position++ % 2 == 0;
        if (half.empty() || (half == "even") == is_even) {
            found.push_back(i);
        }
    }
}

} // namespace

cluster make_cluster(std::uint64_t seed) {
    cluster all;
    all.random.seed(seed);
    all.start = from_unix_ms(1'800'000'000'000);
    all.now = all.start;
    all.counted_from = all.start;
    all.settings.identity = std::make_unique<msg::identity_settings_msg>();
    all.settings.listen = std::make_unique<msg::listen_settings_msg>();
    all.settings.cluster = std::make_unique<msg::cluster_settings_msg>();
    all.settings.store = std::make_unique<msg::store_settings_msg>();
    all.settings.admin = std::make_unique<msg::admin_settings_msg>();
    all.settings.membership = std::make_unique<msg::membership_settings_msg>();
    all.settings.distribution = std::make_unique<msg::distribution_settings_msg>();
    all.settings.call = std::make_unique<msg::call_settings_msg>();
    all.settings.move = std::make_unique<msg::move_settings_msg>();
    all.settings.link = std::make_unique<msg::link_settings_msg>();
    all.settings.process = std::make_unique<msg::process_settings_msg>();
    return all;
}

void add_host(cluster& all, const std::string& name, const location& place) {
    const auto index = all.hosts.size();
    const auto ip = "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1);
    all.hosts.push_back({.name = name, .place = place, .address = {.ip = ip, .port = link_port}});
    all.by_address[all.hosts.back().address] = index;
    all.by_name[name] = index;
    all.net.places.push_back(place);
    all.net.bytes_sent.push_back(0);
    all.net.snapshots.push_back(0);
}

void start_process(cluster& all, std::size_t index) {
    auto& started = all.hosts[index];
    auto settings = all.settings;
    settings.identity->node = started.name;
    settings.identity->region = started.place.region;
    settings.identity->data_centre = started.place.data_centre;
    settings.listen->ip = started.address.ip;
    settings.listen->link_port = started.address.port;
    started.process =
        std::make_unique<control::state>(control::make_state(settings, all.random(), all.now));
    started.is_paused = false;
    started.checked = nullptr;
}

void stop_process(cluster& all, std::size_t index) {
    auto& stopped = all.hosts[index];
    stopped.process.reset();
    stopped.is_paused = false;
    stopped.held_messages.clear();
    stopped.held_answers.clear();
    std::erase_if(all.store.watches,
                  [&](const fakes::held_watch& each) { return each.client == stopped.name; });
    std::erase_if(all.store.answers,
                  [&](const fakes::store_delivery& each) { return each.client == stopped.name; });
}

void resume_process(cluster& all, std::size_t index) {
    auto& resumed = all.hosts[index];
    resumed.is_paused = false;
    // What waited in the buffers is handled before the process's own timer runs.
    for (const auto& each : std::exchange(resumed.held_messages, {})) {
        deliver(all, index, each);
    }
    for (const auto& each : std::exchange(resumed.held_answers, {})) {
        answer(all, index, each);
    }
    tick_node(all, index);
}

void step_node(cluster& all, std::size_t index,
               const std::function<void(control::state&, control::actions&)>& step) {
    auto& stepped = all.hosts[index];
    control::actions wanted;
    step(*stepped.process, wanted);
    send_all(all, index, wanted.sends);
    for (const auto& request : wanted.requests) {
        request_store(all, stepped, request);
    }
    for (const auto& reply : wanted.replies) {
        all.replies[reply.operation.value] = outcome_name(reply);
    }
    for (const auto& event : wanted.logs) {
        ++stepped.logs[event.name];
    }
    check_held(all, stepped);
    check_ready(all, stepped);
}

void advance(cluster& all) {
    all.now += step_time;
    for (delivery due; take_due(all.net, all.now, due);) {
        deliver(all, due.to, due.message);
    }
    const auto elapsed = elapsed_ms(all);
    for (const auto& each : fakes::advance(all.store, all.now)) {
        answer(all, all.by_name.at(each.client), each.response);
    }
    for (std::size_t i = 0; i < all.hosts.size(); ++i) {
        // Nodes tick at different times, as processes do.
        if ((elapsed + static_cast<std::int64_t>(i) * 37) % tick_ms == 0) {
            tick_node(all, i);
        }
    }
    if (elapsed % second_ms == 0) {
        count_store_second(all);
    }
}

std::vector<std::size_t> find_hosts(const cluster& all, const std::string& group) {
    std::vector<std::size_t> found;
    std::istringstream items(group);
    for (std::string each; std::getline(items, each, ',');) {
        const auto before = found.size();
        add_matching(all, each, found);
        if (found.size() == before) {
            throw std::invalid_argument("no host is in \"" + each + "\"");
        }
    }
    return found;
}

} // namespace cyclamenhatch::scenarios

#include "scenarios/commands.h"

#include "scenarios/changes.h"

#include "distribution/transfer.h"
#include "store/head_codec.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <numeric>
#include <stdexcept>

namespace cyclamenhatch::scenarios {
namespace {

using handler = std::function<void(cluster&, const words&)>;

constexpr seconds write_deadline{5};
/// How long a silent link stays open before pings detect it: link.silence_timeout_ms.
constexpr milliseconds silence_duration{3000};

std::uint32_t parse_number(const std::string& text) {
    return static_cast<std::uint32_t>(std::stoul(text));
}

/// "nodes a 4 west": adds hosts a1 to a4 in data centre a of region west.
void add_nodes(cluster& sim, const words& args) {
    for (std::uint32_t i = 1; i <= parse_number(args.at(2)); ++i) {
        add_host(sim, args[1] + std::to_string(i), {.data_centre = args[1], .region = args.at(3)});
    }
}

void set_setting(cluster& sim, const words& args) {
    auto& distribution = *sim.settings.distribution;
    auto& members = *sim.settings.membership;
    const std::map<std::string, std::uint32_t*> fields{
        {"push_peers", &distribution.push_peers},
        {"push_peers_across", &distribution.push_peers_across},
        {"exchange_interval_ms", &distribution.exchange_interval_ms},
        {"watchers_per_data_centre", &distribution.watchers_per_data_centre},
        {"concurrent_snapshots", &distribution.concurrent_snapshots},
        {"report_interval_ms", &distribution.report_interval_ms},
        {"probe_interval_ms", &members.probe_interval_ms},
        {"suspicion_ms", &members.suspicion_ms},
        {"indirect_probes", &members.indirect_probes},
        {"updates_per_message", &members.updates_per_message},
        {"tombstone_s", &members.tombstone_s},
        {"pause_ms", &members.pause_ms},
        {"store_reads_per_s", &sim.settings.store->reads_per_s},
        {"contact_lease_s", &sim.settings.store->contact_lease_s},
    };
    *fields.at(args.at(1)) = parse_number(args.at(2));
}

/// "contacts a1 b1": adds the addresses of hosts to the contacts in the settings of every node.
void set_contacts(cluster& sim, const words& args) {
    for (std::size_t i = 1; i < args.size(); ++i) {
        for (const auto index : find_hosts(sim, args[i])) {
            const auto& address = sim.hosts[index].address;
            sim.settings.cluster->contacts.push_back(address.ip + ":" +
                                                     std::to_string(address.port));
        }
    }
}

/// "latency within 0.25ms between 1ms across 30ms jitter 2ms".
void set_latency(cluster& sim, const words& args) {
    const std::map<std::string, microseconds*> fields{{"within", &sim.net.delays.within},
                                                      {"between", &sim.net.delays.between},
                                                      {"across", &sim.net.delays.across},
                                                      {"jitter", &sim.net.delays.jitter}};
    for (std::size_t i = 1; i + 1 < args.size(); i += 2) {
        *fields.at(args[i]) = parse_duration(args[i + 1]);
    }
}

handler for_hosts(void (*action)(cluster&, std::size_t)) {
    return [action](cluster& sim, const words& args) {
        for (const auto index : find_hosts(sim, args.at(1))) {
            action(sim, index);
        }
    };
}

void pause_process(cluster& sim, std::size_t index) {
    sim.hosts[index].is_paused = sim.hosts[index].process != nullptr;
    sim.hosts[index].paused_at = sim.now;
}

void leave_cluster(cluster& sim, std::size_t index) {
    step_node(sim, index, [&](control::state& self, control::actions& actions) {
        control::leave(self, sim.now, actions);
    });
}

/// Calls `action` for each ordered pair of hosts between the two groups of "a|b".
void for_pairs(const cluster& sim, const std::string& text,
               const std::function<void(std::size_t, std::size_t)>& action) {
    const auto bar = text.find('|');
    for (const auto left : find_hosts(sim, text.substr(0, bar))) {
        for (const auto right : find_hosts(sim, text.substr(bar + 1))) {
            if (left != right) {
                action(left, right);
                action(right, left);
            }
        }
    }
}

void cut_links(cluster& sim, const words& args) {
    for_pairs(sim, args.at(1),
              [&](auto sender, auto receiver) { sim.net.cuts.emplace(sender, receiver); });
}

void silence_links(cluster& sim, const words& args) {
    for_pairs(sim, args.at(1), [&](auto sender, auto receiver) {
        sim.net.silences.push_back({{sender, receiver}, sim.now + silence_duration});
    });
}

void set_store(cluster& sim, const words& args) {
    auto& faults = sim.store.faults;
    const std::map<std::string, std::function<void()>> commands{
        {"down", [&] { fakes::set_down(sim.store, true, sim.now); }},
        {"up",
         [&] {
             fakes::set_down(sim.store, false, sim.now);
             faults = {};
         }},
        {"silent", [&] { faults.is_silent = true; }},
        {"slow",
         [&] { faults.request_delay = faults.answer_delay = parse_duration(args.at(2)) / 2; }},
        {"lose_answers", [&] { faults.loses_answers = true; }},
        {"save", [&] { sim.saved_stores["backup"] = fakes::save(sim.store); }},
        {"restore", [&] { fakes::restore(sim.store, sim.saved_stores.at("backup"), sim.now); }},
        {"compact", [&] { fakes::compact(sim.store); }},
        {"lapse", [&] { fakes::lapse_leases(sim.store, sim.now); }},
        {"close_watches", [&] { fakes::close_watches(sim.store, sim.now); }},
    };
    commands.at(args.at(1))();
}

/// "write NODE OPERATION KIND ...".
void submit_write(cluster& sim, const words& args) {
    const operation_id operation{args.at(2)};
    for (const auto index : find_hosts(sim, args.at(1))) {
        step_node(sim, index, [&](control::state& self, control::actions& actions) {
            control::submit_write(self,
                                  {.operation = operation,
                                   .requested_change = make_change(sim, args),
                                   .deadline = sim.now + write_deadline},
                                  sim.now, actions);
        });
    }
}

/// "upstream NODES SERVICE VERSION STATE".
void announce_upstream(cluster& sim, const words& args) {
    msg::upstream_record_msg upstream;
    upstream.service = args.at(2);
    upstream.version = args.at(3);
    upstream.slots = 12;
    for (int state = 0; state <= static_cast<int>(msg::upstream_state::MAX); ++state) {
        if (args.at(4) == msg::EnumNameupstream_state(static_cast<msg::upstream_state>(state))) {
            upstream.state = static_cast<msg::upstream_state>(state);
        }
    }
    for (const auto index : find_hosts(sim, args.at(1))) {
        step_node(sim, index, [&](control::state& self, control::actions& actions) {
            control::set_upstream(self, upstream, sim.now, actions);
        });
    }
}

/// A section whose route refers to a service that does not exist.
section_ptr make_dangling_section() {
    section content;
    content.service = {
        .name = service_id{"bad"}, .owner = owner_id{"owner"}, .version = version_id{"v1"}};
    content.versions.push_back({.name = version_id{"v1"}, .service = content.service.name});
    content.routes.push_back(
        {.name = route_id{"lost"}, .service = service_id{"absent"}, .path_prefix = "/lost"});
    return make_stored_section(content);
}

/// Returns the configuration `base` with the next version number and the dangling section added.
snapshot make_dangling_snapshot(const snapshot& base) {
    auto dangling = base;
    dangling.version.value += 1;
    const auto section = make_dangling_section();
    dangling.sections[section->content.service.name] = section;
    dangling.digest = compute_head_digest(dangling.version, dangling.sections);
    return dangling;
}

/// "inject FROM TO dangling|corrupt|old": sends a message that a faulty node might send.
void inject_message(cluster& sim, const words& args) {
    const auto sender = find_hosts(sim, args.at(1)).front();
    for (const auto receiver : find_hosts(sim, args.at(2))) {
        const auto& held = *sim.hosts[receiver].process->distribution.config;
        peer_message message;
        if (args.at(3) == "old") {
            const auto old_snapshot = snapshot{.version = config_version{held.version.value - 1}};
            message = distribution::make_snapshot_message(old_snapshot, {});
        } else {
            auto delta = distribution::make_delta(held, make_dangling_snapshot(held));
            if (args[3] == "corrupt") {
                delta.changed.front()->body.resize(7);
            }
            message = std::move(delta);
        }
        send(sim.net, sender, receiver, {node_id{sim.hosts[sender].name}, std::move(message)},
             sim.now, sim.random);
    }
}

/// "store_bad": advances the head of the store to a version with a dangling route.
void write_bad_head(cluster& sim, const words& /*args*/) {
    const std::string prefix = "/cyclamenhatch/";
    const auto key = store::head_key(prefix);
    auto head = std::get<store::stored_head>(store::decode_head(sim.store.entries.at(key).value));
    const auto section = make_dangling_section();
    head.version.value += 1;
    head.entries[section->content.service.name] = section->digest;
    ++sim.store.revision;
    fakes::write_key(sim.store, {store::section_key(prefix, section->digest), section->encoded},
                     sim.now);
    fakes::write_key(sim.store, {key, store::encode_head(head)}, sim.now);
}

/// "calls SERVICE RATE VERSION=ERRORSHARE...": sets the calls per second through each ready node
/// and the share (0 to 1) of the calls of each version that fail.
void set_calls(cluster& sim, const words& args) {
    traffic load{.service = service_id{args.at(1)}, .calls_per_s = std::stod(args.at(2))};
    for (std::size_t i = 3; i < args.size(); ++i) {
        const auto separator = args[i].find('=');
        load.error_shares[version_id{args[i].substr(0, separator)}] =
            std::stod(args[i].substr(separator + 1));
    }
    std::erase_if(sim.calls, [&](const auto& other) { return other.service == load.service; });
    sim.calls.push_back(load);
}

void reset_counters(cluster& sim, const words& /*args*/) {
    sim.reads = sim.writes = sim.peak_reads = sim.peak_writes = 0;
    std::fill(sim.net.bytes_sent.begin(), sim.net.bytes_sent.end(), 0);
    sim.net.messages = 0;
    sim.counters_reset_at = sim.now;
}

/// "report NAME": prints rates since the counters were reset, for design notes.
void print_report(cluster& sim, const words& args) {
    const std::chrono::duration<double> elapsed = sim.now - sim.counters_reset_at;
    const auto& bytes = sim.net.bytes_sent;
    const auto sum = std::accumulate(bytes.begin(), bytes.end(), 0.0);
    const auto per_node_s = static_cast<double>(bytes.size()) * elapsed.count();
    std::cout << "report=" << args.at(1) << " nodes=" << bytes.size()
              << " seconds=" << elapsed.count()
              << " messages_per_node_s=" << static_cast<double>(sim.net.messages) / per_node_s
              << " bytes_per_node_s=" << sum / per_node_s << " busiest_bytes_s="
              << static_cast<double>(*std::max_element(bytes.begin(), bytes.end())) /
                     elapsed.count()
              << " store_reads_s=" << sim.peak_reads << " store_writes_s=" << sim.peak_writes
              << "\n";
}

double seconds_between(instant begin, instant end) {
    return std::chrono::duration<double>(end - begin).count();
}

void print_percentiles(const std::string& name, std::vector<double> times) {
    std::sort(times.begin(), times.end());
    if (!times.empty()) {
        std::cout << " " << name << "_p50_s=" << times[times.size() / 2] << " " << name
                  << "_p99_s=" << times[times.size() * 99 / 100] << " " << name
                  << "_max_s=" << times.back();
    }
}

/// "report_version V": prints how long after the reset of the counters the nodes held version V and
/// knew it to be in force.
void print_version_report(cluster& sim, const words& args) {
    std::vector<double> held;
    std::vector<double> in_force;
    for (const auto& node : sim.hosts) {
        if (!node.process) {
            continue;
        }
        for (const auto& progress : node.process->distribution.progress) {
            if (progress.version.value != parse_number(args.at(1))) {
                continue;
            }
            held.push_back(seconds_between(sim.counters_reset_at, progress.accepted_at));
            if (progress.in_force_at != instant{}) {
                in_force.push_back(seconds_between(sim.counters_reset_at, progress.in_force_at));
            }
        }
    }
    std::cout << "version=" << args.at(1) << " held_on=" << held.size();
    print_percentiles("held", held);
    std::cout << " known_in_force_on=" << in_force.size();
    print_percentiles("in_force", in_force);
    std::cout << "\n";
}

const std::map<std::string, handler>& handlers() {
    static const std::map<std::string, handler> by_name{
        {"nodes", add_nodes},
        {"set", set_setting},
        {"contacts", set_contacts},
        {"latency", set_latency},
        {"start", for_hosts(start_process)},
        {"kill", for_hosts(stop_process)},
        {"pause", for_hosts(pause_process)},
        {"resume", for_hosts(resume_process)},
        {"leave", for_hosts(leave_cluster)},
        {"cut", cut_links},
        {"silent", silence_links},
        {"block",
         [](cluster& sim, const words& args) {
             sim.net.blocked_kinds.insert(std::next(args.begin()), args.end());
         }},
        {"heal", [](cluster& sim, const words& /*args*/) { sim.net.cuts.clear(); }},
        {"loss", [](cluster& sim,
                    const words& args) { sim.net.loss_permille = parse_number(args.at(1)) * 10; }},
        {"store", set_store},
        {"store_bad", write_bad_head},
        {"write", submit_write},
        {"upstream", announce_upstream},
        {"inject", inject_message},
        {"calls", set_calls},
        {"reset_counters", reset_counters},
        {"report", print_report},
        {"report_version", print_version_report},
        {"report_replies",
         [](cluster& sim, const words& /*args*/) {
             for (const auto& [operation, outcome] : sim.replies) {
                 std::cout << "operation=" << operation << " outcome=" << outcome << "\n";
             }
         }},
    };
    return by_name;
}

} // namespace

void run_command(cluster& sim, const words& command) {
    const auto match = handlers().find(command.front());
    if (match == handlers().end()) {
        throw std::invalid_argument("unknown command \"" + command.front() + "\"");
    }
    match->second(sim, command);
}

} // namespace cyclamenhatch::scenarios

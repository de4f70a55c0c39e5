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
/// How long a silent link lasts before pings find it: link.silence_timeout_ms.
constexpr milliseconds silence_time{3000};

std::uint32_t number(const std::string& text) {
    return static_cast<std::uint32_t>(std::stoul(text));
}

/// "nodes a 4 west": a1 to a4 in data centre a of region west.
void add_nodes(cluster& all, const words& at) {
    for (std::uint32_t i = 1; i <= number(at.at(2)); ++i) {
        add_host(all, at[1] + std::to_string(i), {.data_centre = at[1], .region = at.at(3)});
    }
}

void set_setting(cluster& all, const words& at) {
    auto& spread = *all.settings.distribution;
    auto& members = *all.settings.membership;
    const std::map<std::string, std::uint32_t*> known{
        {"push_peers", &spread.push_peers},
        {"push_peers_across", &spread.push_peers_across},
        {"exchange_interval_ms", &spread.exchange_interval_ms},
        {"watchers_per_data_centre", &spread.watchers_per_data_centre},
        {"concurrent_snapshots", &spread.concurrent_snapshots},
        {"report_interval_ms", &spread.report_interval_ms},
        {"probe_interval_ms", &members.probe_interval_ms},
        {"suspicion_ms", &members.suspicion_ms},
        {"indirect_probes", &members.indirect_probes},
        {"updates_per_message", &members.updates_per_message},
        {"tombstone_s", &members.tombstone_s},
        {"pause_ms", &members.pause_ms},
        {"store_reads_per_s", &all.settings.store->reads_per_s},
        {"contact_lease_s", &all.settings.store->contact_lease_s},
    };
    *known.at(at.at(1)) = number(at.at(2));
}

/// "contacts a1 b1": addresses that stand in the settings of every node.
void set_contacts(cluster& all, const words& at) {
    for (std::size_t i = 1; i < at.size(); ++i) {
        for (const auto index : find_hosts(all, at[i])) {
            const auto& address = all.hosts[index].address;
            all.settings.cluster->contacts.push_back(address.ip + ":" +
                                                     std::to_string(address.port));
        }
    }
}

/// "latency within 0.25ms between 1ms across 30ms jitter 2ms".
void set_latency(cluster& all, const words& at) {
    const std::map<std::string, microseconds*> known{{"within", &all.net.delays.within},
                                                     {"between", &all.net.delays.between},
                                                     {"across", &all.net.delays.across},
                                                     {"jitter", &all.net.delays.jitter}};
    for (std::size_t i = 1; i + 1 < at.size(); i += 2) {
        *known.at(at[i]) = read_duration(at[i + 1]);
    }
}

handler for_hosts(void (*each)(cluster&, std::size_t)) {
    return [each](cluster& all, const words& at) {
        for (const auto index : find_hosts(all, at.at(1))) {
            each(all, index);
        }
    };
}

void pause_process(cluster& all, std::size_t index) {
    all.hosts[index].is_paused = all.hosts[index].process != nullptr;
    all.hosts[index].paused_at = all.now;
}

void leave_cluster(cluster& all, std::size_t index) {
    step_node(all, index, [&](control::state& self, control::actions& wanted) {
        control::leave(self, all.now, wanted);
    });
}

/// Calls `act` for each ordered pair of hosts between the two groups of "a|b".
void for_pairs(const cluster& all, const std::string& text,
               const std::function<void(std::size_t, std::size_t)>& act) {
    const auto bar = text.find('|');
    for (const auto left : find_hosts(all, text.substr(0, bar))) {
        for (const auto right : find_hosts(all, text.substr(bar + 1))) {
            if (left != right) {
                act(left, right);
                act(right, left);
            }
        }
    }
}

void cut(cluster& all, const words& at) {
    for_pairs(all, at.at(1), [&](auto from, auto to) { all.net.cuts.emplace(from, to); });
}

void silence(cluster& all, const words& at) {
    for_pairs(all, at.at(1), [&](auto from, auto to) {
        all.net.silences.push_back({{from, to}, all.now + silence_time});
    });
}

void set_store(cluster& all, const words& at) {
    auto& faults = all.store.faults;
    const std::map<std::string, std::function<void()>> known{
        {"down", [&] { fakes::set_down(all.store, true, all.now); }},
        {"up",
         [&] {
             fakes::set_down(all.store, false, all.now);
             faults = {};
         }},
        {"silent", [&] { faults.is_silent = true; }},
        {"slow", [&] { faults.request_delay = faults.answer_delay = read_duration(at.at(2)) / 2; }},
        {"lose_answers", [&] { faults.loses_answers = true; }},
        {"save", [&] { all.saved["backup"] = fakes::save(all.store); }},
        {"restore", [&] { fakes::restore(all.store, all.saved.at("backup"), all.now); }},
        {"compact", [&] { fakes::compact(all.store); }},
        {"lapse", [&] { fakes::lapse_leases(all.store, all.now); }},
        {"close_watches", [&] { fakes::close_watches(all.store, all.now); }},
    };
    known.at(at.at(1))();
}

/// "write NODE OPERATION KIND ...".
void write(cluster& all, const words& at) {
    const operation_id operation{at.at(2)};
    for (const auto index : find_hosts(all, at.at(1))) {
        step_node(all, index, [&](control::state& self, control::actions& wanted) {
            control::submit_write(self,
                                  {.operation = operation,
                                   .requested_change = make_change(all, at),
                                   .deadline = all.now + write_deadline},
                                  all.now, wanted);
        });
    }
}

/// "upstream NODES SERVICE VERSION STATE".
void announce(cluster& all, const words& at) {
    msg::upstream_record_msg upstream;
    upstream.service = at.at(2);
    upstream.version = at.at(3);
    upstream.slots = 12;
    for (int state = 0; state <= static_cast<int>(msg::upstream_state::MAX); ++state) {
        if (at.at(4) == msg::EnumNameupstream_state(static_cast<msg::upstream_state>(state))) {
            upstream.state = static_cast<msg::upstream_state>(state);
        }
    }
    for (const auto index : find_hosts(all, at.at(1))) {
        step_node(all, index, [&](control::state& self, control::actions& wanted) {
            control::set_upstream(self, upstream, all.now, wanted);
        });
    }
}

/// A section whose route refers to a service that does not exist.
section_ptr make_dangling_section() {
    section part;
    part.service = {
        .name = service_id{"bad"}, .owner = owner_id{"owner"}, .version = version_id{"v1"}};
    part.versions.push_back({.name = version_id{"v1"}, .service = part.service.name});
    part.routes.push_back(
        {.name = route_id{"lost"}, .service = service_id{"absent"}, .path_prefix = "/lost"});
    return make_stored_section(part);
}

/// What the next version of a node's configuration would be with the dangling section in it.
snapshot make_dangling_snapshot(const snapshot& base) {
    auto bad = base;
    bad.version.value += 1;
    const auto part = make_dangling_section();
    bad.sections[part->content.service.name] = part;
    bad.digest = compute_head_digest(bad.version, bad.sections);
    return bad;
}

/// "inject FROM TO dangling|corrupt|old": a message that a broken node might send.
void inject(cluster& all, const words& at) {
    const auto sender = find_hosts(all, at.at(1)).front();
    for (const auto to : find_hosts(all, at.at(2))) {
        const auto& held = *all.hosts[to].process->distribution.held;
        peer_message message;
        if (at.at(3) == "old") {
            const auto past = snapshot{.version = config_version{held.version.value - 1}};
            message = distribution::make_snapshot_message(past, {});
        } else {
            auto delta = distribution::make_delta(held, make_dangling_snapshot(held));
            if (at[3] == "corrupt") {
                delta.changed.front()->body.resize(7);
            }
            message = std::move(delta);
        }
        send(all.net, sender, to, {node_id{all.hosts[sender].name}, std::move(message)}, all.now,
             all.random);
    }
}

/// "store_bad": the head of the store moves to a version with a dangling route.
void write_bad_head(cluster& all, const words& /*at*/) {
    const std::string prefix = "/cyclamenhatch/";
    const auto key = store::head_key(prefix);
    auto head = std::get<store::stored_head>(store::decode_head(all.store.entries.at(key).value));
    const auto part = make_dangling_section();
    head.version.value += 1;
    head.entries[part->content.service.name] = part->digest;
    ++all.store.revision;
    fakes::write_key(all.store, {store::section_key(prefix, part->digest), part->encoded}, all.now);
    fakes::write_key(all.store, {key, store::encode_head(head)}, all.now);
}

/// "calls SERVICE RATE VERSION=ERRORSHARE...": calls a second through each ready node.
void set_calls(cluster& all, const words& at) {
    traffic load{.service = service_id{at.at(1)}, .calls_per_s = std::stod(at.at(2))};
    for (std::size_t i = 3; i < at.size(); ++i) {
        const auto equals = at[i].find('=');
        load.error_shares[version_id{at[i].substr(0, equals)}] =
            std::stod(at[i].substr(equals + 1));
    }
    std::erase_if(all.calls, [&](const auto& each) { return each.service == load.service; });
    all.calls.push_back(load);
}

void reset_counters(cluster& all, const words& /*at*/) {
    all.reads = all.writes = all.most_reads = all.most_writes = 0;
    std::fill(all.net.bytes_sent.begin(), all.net.bytes_sent.end(), 0);
    all.net.messages = 0;
    all.counted_from = all.now;
}

/// "report TEXT": prints the counters since they were reset, for design notes.
void report(cluster& all, const words& at) {
    const std::chrono::duration<double> counted = all.now - all.counted_from;
    const auto& bytes = all.net.bytes_sent;
    const auto sum = std::accumulate(bytes.begin(), bytes.end(), 0.0);
    const auto per_node_s = static_cast<double>(bytes.size()) * counted.count();
    std::cout << "report=" << at.at(1) << " nodes=" << bytes.size()
              << " seconds=" << counted.count()
              << " messages_per_node_s=" << static_cast<double>(all.net.messages) / per_node_s
              << " bytes_per_node_s=" << sum / per_node_s << " busiest_bytes_s="
              << static_cast<double>(*std::max_element(bytes.begin(), bytes.end())) /
                     counted.count()
              << " store_reads_s=" << all.most_reads << " store_writes_s=" << all.most_writes
              << "\n";
}

double seconds_since(instant from, instant to) {
    return std::chrono::duration<double>(to - from).count();
}

void print_percentiles(const std::string& name, std::vector<double> times) {
    std::sort(times.begin(), times.end());
    if (!times.empty()) {
        std::cout << " " << name << "_p50_s=" << times[times.size() / 2] << " " << name
                  << "_p99_s=" << times[times.size() * 99 / 100] << " " << name
                  << "_max_s=" << times.back();
    }
}

/// "report_version V": when nodes held it and knew it in force, since the counters were reset.
void report_version(cluster& all, const words& at) {
    std::vector<double> held;
    std::vector<double> in_force;
    for (const auto& each : all.hosts) {
        if (!each.process) {
            continue;
        }
        for (const auto& progress : each.process->distribution.progress) {
            if (progress.version.value != number(at.at(1))) {
                continue;
            }
            held.push_back(seconds_since(all.counted_from, progress.accepted_at));
            if (progress.in_force_at != instant{}) {
                in_force.push_back(seconds_since(all.counted_from, progress.in_force_at));
            }
        }
    }
    std::cout << "version=" << at.at(1) << " held_on=" << held.size();
    print_percentiles("held", held);
    std::cout << " known_in_force_on=" << in_force.size();
    print_percentiles("in_force", in_force);
    std::cout << "\n";
}

const std::map<std::string, handler>& handlers() {
    static const std::map<std::string, handler> known{
        {"nodes", add_nodes},
        {"set", set_setting},
        {"contacts", set_contacts},
        {"latency", set_latency},
        {"start", for_hosts(start_process)},
        {"kill", for_hosts(stop_process)},
        {"pause", for_hosts(pause_process)},
        {"resume", for_hosts(resume_process)},
        {"leave", for_hosts(leave_cluster)},
        {"cut", cut},
        {"silent", silence},
        {"block",
         [](cluster& all, const words& at) {
             all.net.blocked_kinds.insert(std::next(at.begin()), at.end());
         }},
        {"heal", [](cluster& all, const words& /*at*/) { all.net.cuts.clear(); }},
        {"loss",
         [](cluster& all, const words& at) { all.net.loss_permille = number(at.at(1)) * 10; }},
        {"store", set_store},
        {"store_bad", write_bad_head},
        {"write", write},
        {"upstream", announce},
        {"inject", inject},
        {"calls", set_calls},
        {"reset_counters", reset_counters},
        {"report", report},
        {"report_version", report_version},
        {"report_replies",
         [](cluster& all, const words& /*at*/) {
             for (const auto& [operation, outcome] : all.replies) {
                 std::cout << "operation=" << operation << " outcome=" << outcome << "\n";
             }
         }},
    };
    return known;
}

} // namespace

void run_command(cluster& all, const words& command) {
    const auto found = handlers().find(command.front());
    if (found == handlers().end()) {
        throw std::invalid_argument("no command is called \"" + command.front() + "\"");
    }
    found->second(all, command);
}

} // namespace cyclamenhatch::scenarios

#include "distribution/in_force.h"

#include "distribution/peers.h"
#include "membership/duty.h"
#include "membership/record_merge.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace cyclamenhatch::distribution {
namespace {

constexpr seconds report_heartbeat{2};
constexpr seconds report_jitter{1};
/// A summary is sent once more after a change, in case that one was lost, then as a heartbeat.
constexpr seconds summary_repeat{1};
constexpr seconds summary_heartbeat{5};
/// A new aggregator waits for the reports of its data centre.
constexpr seconds aggregator_grace{1};
constexpr std::size_t laggard_limit = 8;
constexpr std::size_t rejection_limit = 8;
constexpr std::size_t relay_peers = 2;
constexpr std::size_t relay_peers_across = 1;

/// Works out the aggregator and the live data centres again when the member table has changed.
void follow_members(state& self, const step& now) {
    auto& reporting = self.reporting;
    if (reporting.generation == now.members.generation) {
        return;
    }
    reporting.generation = now.members.generation;
    const data_centre_id own{now.members.self.data_centre};
    const auto holders = membership::duty_holders(now.members, "in-force", 1, own);
    const auto aggregator = holders.empty() ? node_id{} : holders.front();
    if (aggregator != reporting.aggregator) {
        reporting.aggregator = aggregator;
        reporting.aggregating_since = now.now;
        reporting.reports.clear();
        reporting.is_report_due = true;
    }
    std::set<std::string> live;
    for (const auto* record : membership::live_records(now.members)) {
        live.insert(record->data_centre);
    }
    reporting.live_data_centres.clear();
    for (const auto& each : live) {
        reporting.live_data_centres.emplace_back(each);
    }
}

msg::rejected_version_msg to_message(const rejection& from) {
    msg::rejected_version_msg to;
    to.node = from.node.value;
    to.version = from.version.value;
    to.findings = from.findings;
    return to;
}

rejection from_message(const msg::rejected_version_msg& from) {
    return {.node = node_id{from.node},
            .version = config_version{from.version},
            .findings = from.findings};
}

void send_report(state& self, const step& now) {
    auto& reporting = self.reporting;
    if (!reporting.is_report_due && now.now < reporting.next_report) {
        return;
    }
    reporting.is_report_due = false;
    reporting.next_report = now.now + report_heartbeat + jitter(now.random, report_jitter);
    const auto version = self.held ? self.held->version : config_version{};
    const node_id own{now.members.self.node};
    if (reporting.aggregator == own) {
        reporting.reports[own] = {
            .version = version, .rejected = reporting.rejected, .heard = now.now};
        return;
    }
    if (reporting.aggregator.empty()) {
        return;
    }
    msg::in_force_report_msg report;
    report.node = own.value;
    report.version = version.value;
    if (reporting.rejected) {
        report.rejected =
            std::make_unique<msg::rejected_version_msg>(to_message(*reporting.rejected));
    }
    now.wanted.sends.push_back(send_to(now.members, reporting.aggregator, std::move(report)));
}

/// The version that each live member of the data centre has reported; 0 when it has not.
std::vector<std::pair<config_version, node_id>> reported_versions(const state& self,
                                                                  const step& now) {
    std::vector<std::pair<config_version, node_id>> versions;
    for (const auto* record : membership::live_records(now.members)) {
        if (record->data_centre != now.members.self.data_centre) {
            continue;
        }
        const node_id node{record->node};
        const auto report = self.reporting.reports.find(node);
        const bool is_known = report != self.reporting.reports.end();
        versions.emplace_back(is_known ? report->second.version : config_version{}, node);
    }
    return versions;
}

/// Combines the reports, without a sequence.
data_centre_status combine(const state& self, const step& now) {
    auto versions = reported_versions(self, now);
    std::sort(versions.begin(), versions.end());
    data_centre_status status{.data_centre = data_centre_id{now.members.self.data_centre},
                              .aggregator = node_id{now.members.self.node},
                              .nodes = static_cast<std::uint32_t>(versions.size()),
                              .heard = now.now};
    if (versions.empty()) {
        return status;
    }
    status.lowest = versions.front().first;
    status.newest = versions.back().first;
    for (const auto& [version, node] : versions) {
        if (version == status.newest) {
            ++status.nodes_at_newest;
        } else if (status.laggards.size() < laggard_limit) {
            status.laggards.push_back(node);
        }
        const auto report = self.reporting.reports.find(node);
        if (report != self.reporting.reports.end() && report->second.rejected &&
            status.rejections.size() < rejection_limit) {
            status.rejections.push_back(*report->second.rejected);
        }
    }
    return status;
}

auto comparable(const data_centre_status& status) {
    std::vector<std::pair<node_id, config_version>> rejected;
    for (const auto& each : status.rejections) {
        rejected.emplace_back(each.node, each.version);
    }
    return std::make_tuple(status.lowest, status.newest, status.nodes, status.nodes_at_newest,
                           status.laggards, status.aggregator, rejected);
}

msg::in_force_summary_msg to_message(const data_centre_status& from) {
    msg::in_force_summary_msg to;
    to.data_centre = from.data_centre.value;
    to.aggregator = from.aggregator.value;
    to.sequence = from.sequence;
    to.lowest = from.lowest.value;
    to.nodes = from.nodes;
    to.newest = from.newest.value;
    to.nodes_at_newest = from.nodes_at_newest;
    for (const auto& each : from.laggards) {
        to.laggards.push_back(each.value);
    }
    for (const auto& each : from.rejections) {
        to.rejected.push_back(std::make_unique<msg::rejected_version_msg>(to_message(each)));
    }
    return to;
}

data_centre_status from_message(const msg::in_force_summary_msg& from, instant now) {
    data_centre_status to{.data_centre = data_centre_id{from.data_centre},
                          .aggregator = node_id{from.aggregator},
                          .sequence = from.sequence,
                          .lowest = config_version{from.lowest},
                          .newest = config_version{from.newest},
                          .nodes = from.nodes,
                          .nodes_at_newest = from.nodes_at_newest,
                          .heard = now};
    for (const auto& each : from.laggards) {
        to.laggards.emplace_back(each);
    }
    for (const auto& each : from.rejected) {
        if (each) {
            to.rejections.push_back(from_message(*each));
        }
    }
    return to;
}

void relay(const msg::in_force_summary_msg& summary, const node_id& from, const step& now) {
    for (const auto* target : push_targets(now.members, relay_peers, relay_peers_across)) {
        if (target->node != from.value) {
            now.wanted.sends.push_back(send_to(*target, summary));
        }
    }
}

/// The slowest node of each version that is not in force yet.
void note_slowest(state& self, const data_centre_status& status) {
    if (status.laggards.empty()) {
        return;
    }
    for (auto& each : self.progress) {
        if (each.in_force == instant{} && status.lowest < each.version) {
            each.slowest = status.laggards.front();
        }
    }
}

void store_status(state& self, data_centre_status status) {
    note_slowest(self, status);
    const auto name = status.data_centre;
    self.data_centres[name] = std::move(status);
}

void summarise(state& self, const step& now) {
    auto& reporting = self.reporting;
    const bool is_own = reporting.aggregator.value == now.members.self.node;
    if (!is_own || now.now - reporting.aggregating_since < aggregator_grace) {
        return;
    }
    auto status = combine(self, now);
    const auto& known = self.data_centres[status.data_centre];
    const bool is_changed = comparable(status) != comparable(known);
    const milliseconds interval{self.settings.report_interval_ms};
    const bool is_due = is_changed ? now.now - reporting.last_summary >= interval
                                   : now.now >= reporting.next_summary;
    if (!is_due) {
        return;
    }
    reporting.last_summary = now.now;
    reporting.next_summary = now.now + (is_changed ? summary_repeat : summary_heartbeat);
    const auto clock = static_cast<std::uint64_t>(to_unix_ms(now.now));
    status.sequence = std::max(clock, known.sequence + 1);
    const auto message = to_message(status);
    store_status(self, std::move(status));
    relay(message, {}, now);
}

/// The lowest version over all live data centres, and the nodes they have.
std::pair<config_version, std::uint32_t> lowest_everywhere(const state& self) {
    config_version lowest{~std::uint64_t{0}};
    std::uint32_t nodes = 0;
    for (const auto& each : self.reporting.live_data_centres) {
        const auto status = self.data_centres.find(each);
        if (status == self.data_centres.end() || status->second.sequence == 0) {
            return {config_version{}, 0};
        }
        lowest = std::min(lowest, status->second.lowest);
        nodes += status->second.nodes;
    }
    return {lowest, nodes};
}

/// The aggregator of the data centre whose summary came last.
node_id last_aggregator(const state& self) {
    const auto last = std::max_element(
        self.data_centres.begin(), self.data_centres.end(),
        [](const auto& left, const auto& right) { return left.second.heard < right.second.heard; });
    return last == self.data_centres.end() ? node_id{} : last->second.aggregator;
}

void note_in_force(state& self, const step& now) {
    const auto [lowest, nodes] = lowest_everywhere(self);
    if (nodes == 0) {
        return;
    }
    for (auto& each : self.progress) {
        if (each.in_force != instant{} || each.version > lowest) {
            continue;
        }
        each.in_force = now.now;
        each.nodes = nodes;
        if (each.slowest.empty()) {
            each.slowest = last_aggregator(self);
        }
        const auto took = std::chrono::duration_cast<milliseconds>(now.now - each.accepted);
        now.wanted.logs.push_back({.name = "config_in_force",
                                   .fields = {{"version", std::to_string(each.version.value)},
                                              {"nodes", std::to_string(nodes)},
                                              {"ms", std::to_string(took.count())},
                                              {"slowest", each.slowest.value}}});
    }
}

} // namespace

void tick_in_force(state& self, const step& now) {
    follow_members(self, now);
    send_report(self, now);
    summarise(self, now);
    note_in_force(self, now);
}

void on_report(state& self, const node_id& from, const msg::in_force_report_msg& report,
               instant now) {
    node_report heard{.version = config_version{report.version}, .heard = now};
    if (report.rejected) {
        heard.rejected = from_message(*report.rejected);
    }
    self.reporting.reports[from] = std::move(heard);
}

void on_summary(state& self, const node_id& from, const msg::in_force_summary_msg& summary,
                const step& now) {
    const auto known = self.data_centres.find(data_centre_id{summary.data_centre});
    if (known != self.data_centres.end() && known->second.sequence >= summary.sequence) {
        return;
    }
    store_status(self, from_message(summary, now.now));
    note_in_force(self, now);
    relay(summary, from, now);
}

} // namespace cyclamenhatch::distribution

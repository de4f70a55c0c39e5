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
/// After a change the summary is sent again once, in case it was lost, then as a heartbeat.
constexpr seconds summary_repeat{1};
constexpr seconds summary_heartbeat{5};
/// Time that a new aggregator waits for reports before its first summary.
constexpr seconds aggregator_grace{1};
constexpr std::size_t laggard_limit = 8;
constexpr std::size_t rejection_limit = 8;
constexpr std::size_t relay_peers = 2;
constexpr std::size_t relay_peers_across = 1;

/// Recomputes the aggregator and the live data centres when the member table has changed.
void update_aggregator(state& self, const step_context& context) {
    auto& reporting = self.reporting;
    if (reporting.generation == context.members.generation) {
        return;
    }
    reporting.generation = context.members.generation;
    const data_centre_id own{context.members.self.data_centre};
    const auto holders = membership::duty_holders(context.members, "in-force", 1, own);
    const auto aggregator = holders.empty() ? node_id{} : holders.front();
    if (aggregator != reporting.aggregator) {
        reporting.aggregator = aggregator;
        reporting.aggregating_since = context.now;
        reporting.reports.clear();
        reporting.is_report_due = true;
    }
    std::set<std::string> live;
    for (const auto* record : membership::live_records(context.members)) {
        live.insert(record->data_centre);
    }
    reporting.live_data_centres.clear();
    for (const auto& data_centre : live) {
        reporting.live_data_centres.emplace_back(data_centre);
    }
}

msg::rejected_version_msg to_message(const rejection& source) {
    msg::rejected_version_msg message;
    message.node = source.node.value;
    message.version = source.version.value;
    message.findings = source.findings;
    return message;
}

rejection from_message(const msg::rejected_version_msg& message) {
    return {.node = node_id{message.node},
            .version = config_version{message.version},
            .findings = message.findings};
}

void send_report(state& self, const step_context& context) {
    auto& reporting = self.reporting;
    if (!reporting.is_report_due && context.now < reporting.next_report) {
        return;
    }
    reporting.is_report_due = false;
    reporting.next_report = context.now + report_heartbeat + jitter(context.random, report_jitter);
    const auto version = self.config ? self.config->version : config_version{};
    const node_id own{context.members.self.node};
    if (reporting.aggregator == own) {
        reporting.reports[own] = {
            .version = version, .rejected = reporting.rejected, .received_at = context.now};
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
    context.out.sends.push_back(
        make_outgoing(context.members, reporting.aggregator, std::move(report)));
}

/// The version reported by each live member of this data centre; 0 if it has not reported.
std::vector<std::pair<config_version, node_id>> reported_versions(const state& self,
                                                                  const step_context& context) {
    std::vector<std::pair<config_version, node_id>> versions;
    for (const auto* record : membership::live_records(context.members)) {
        if (record->data_centre != context.members.self.data_centre) {
            continue;
        }
        const node_id node{record->node};
        const auto report = self.reporting.reports.find(node);
        const bool is_known = report != self.reporting.reports.end();
        versions.emplace_back(is_known ? report->second.version : config_version{}, node);
    }
    return versions;
}

/// Combines the reports into a status; its sequence is not set.
data_centre_status combine(const state& self, const step_context& context) {
    auto versions = reported_versions(self, context);
    std::sort(versions.begin(), versions.end());
    data_centre_status status{.data_centre = data_centre_id{context.members.self.data_centre},
                              .aggregator = node_id{context.members.self.node},
                              .nodes = static_cast<std::uint32_t>(versions.size()),
                              .received_at = context.now};
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

auto comparison_key(const data_centre_status& status) {
    std::vector<std::pair<node_id, config_version>> rejected;
    for (const auto& item : status.rejections) {
        rejected.emplace_back(item.node, item.version);
    }
    return std::make_tuple(status.lowest, status.newest, status.nodes, status.nodes_at_newest,
                           status.laggards, status.aggregator, rejected);
}

msg::in_force_summary_msg to_message(const data_centre_status& source) {
    msg::in_force_summary_msg message;
    message.data_centre = source.data_centre.value;
    message.aggregator = source.aggregator.value;
    message.sequence = source.sequence;
    message.lowest = source.lowest.value;
    message.nodes = source.nodes;
    message.newest = source.newest.value;
    message.nodes_at_newest = source.nodes_at_newest;
    for (const auto& laggard : source.laggards) {
        message.laggards.push_back(laggard.value);
    }
    for (const auto& item : source.rejections) {
        message.rejected.push_back(std::make_unique<msg::rejected_version_msg>(to_message(item)));
    }
    return message;
}

data_centre_status from_message(const msg::in_force_summary_msg& message, instant now) {
    data_centre_status status{.data_centre = data_centre_id{message.data_centre},
                              .aggregator = node_id{message.aggregator},
                              .sequence = message.sequence,
                              .lowest = config_version{message.lowest},
                              .newest = config_version{message.newest},
                              .nodes = message.nodes,
                              .nodes_at_newest = message.nodes_at_newest,
                              .received_at = now};
    for (const auto& laggard : message.laggards) {
        status.laggards.emplace_back(laggard);
    }
    for (const auto& item : message.rejected) {
        if (item) {
            status.rejections.push_back(from_message(*item));
        }
    }
    return status;
}

void relay(const msg::in_force_summary_msg& summary, const node_id& sender,
           const step_context& context) {
    for (const auto* receiver : push_targets(context.members, relay_peers, relay_peers_across)) {
        if (receiver->node != sender.value) {
            context.out.sends.push_back(make_outgoing(*receiver, summary));
        }
    }
}

/// Records the slowest node for each version that is not in force yet.
void note_slowest(state& self, const data_centre_status& status) {
    if (status.laggards.empty()) {
        return;
    }
    for (auto& progress : self.progress) {
        if (progress.in_force_at == instant{} && status.lowest < progress.version) {
            progress.slowest = status.laggards.front();
        }
    }
}

void store_status(state& self, data_centre_status status) {
    note_slowest(self, status);
    const auto name = status.data_centre;
    self.data_centres[name] = std::move(status);
}

void summarise(state& self, const step_context& context) {
    auto& reporting = self.reporting;
    const bool is_own = reporting.aggregator.value == context.members.self.node;
    if (!is_own || context.now - reporting.aggregating_since < aggregator_grace) {
        return;
    }
    auto status = combine(self, context);
    const auto& previous = self.data_centres[status.data_centre];
    const bool is_changed = comparison_key(status) != comparison_key(previous);
    const milliseconds interval{self.settings.report_interval_ms};
    const bool is_due = is_changed ? context.now - reporting.last_summary >= interval
                                   : context.now >= reporting.next_summary;
    if (!is_due) {
        return;
    }
    reporting.last_summary = context.now;
    reporting.next_summary = context.now + (is_changed ? summary_repeat : summary_heartbeat);
    const auto clock = static_cast<std::uint64_t>(to_unix_ms(context.now));
    status.sequence = std::max(clock, previous.sequence + 1);
    const auto message = to_message(status);
    store_status(self, std::move(status));
    relay(message, {}, context);
}

/// The lowest version held in any live data centre, and the number of nodes in all of them. Both
/// are 0 when a summary is missing.
std::pair<config_version, std::uint32_t> lowest_live_version(const state& self) {
    config_version lowest{~std::uint64_t{0}};
    std::uint32_t nodes = 0;
    for (const auto& data_centre : self.reporting.live_data_centres) {
        const auto status = self.data_centres.find(data_centre);
        if (status == self.data_centres.end() || status->second.sequence == 0) {
            return {config_version{}, 0};
        }
        lowest = std::min(lowest, status->second.lowest);
        nodes += status->second.nodes;
    }
    return {lowest, nodes};
}

/// The aggregator of the data centre whose summary arrived last.
node_id last_aggregator(const state& self) {
    const auto last =
        std::max_element(self.data_centres.begin(), self.data_centres.end(),
                         [](const auto& left, const auto& right) {
                             return left.second.received_at < right.second.received_at;
                         });
    return last == self.data_centres.end() ? node_id{} : last->second.aggregator;
}

void note_in_force(state& self, const step_context& context) {
    const auto [lowest, nodes] = lowest_live_version(self);
    if (nodes == 0) {
        return;
    }
    for (auto& progress : self.progress) {
        if (progress.in_force_at != instant{} || progress.version > lowest) {
            continue;
        }
        progress.in_force_at = context.now;
        progress.nodes = nodes;
        if (progress.slowest.empty()) {
            progress.slowest = last_aggregator(self);
        }
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(context.now - progress.accepted_at);
        context.out.logs.push_back({.name = "config_in_force",
                                    .fields = {{"version", std::to_string(progress.version.value)},
                                               {"nodes", std::to_string(nodes)},
                                               {"ms", std::to_string(elapsed.count())},
                                               {"slowest", progress.slowest.value}}});
    }
}

} // namespace

void tick_in_force(state& self, const step_context& context) {
    update_aggregator(self, context);
    send_report(self, context);
    summarise(self, context);
    note_in_force(self, context);
}

void on_report(state& self, const node_id& sender, const msg::in_force_report_msg& report,
               instant now) {
    node_report received{.version = config_version{report.version}, .received_at = now};
    if (report.rejected) {
        received.rejected = from_message(*report.rejected);
    }
    self.reporting.reports[sender] = std::move(received);
}

void on_summary(state& self, const node_id& sender, const msg::in_force_summary_msg& summary,
                const step_context& context) {
    const auto it = self.data_centres.find(data_centre_id{summary.data_centre});
    if (it != self.data_centres.end() && it->second.sequence >= summary.sequence) {
        return;
    }
    store_status(self, from_message(summary, context.now));
    note_in_force(self, context);
    relay(summary, sender, context);
}

} // namespace cyclamenhatch::distribution

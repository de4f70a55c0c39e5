#include "node/state_document.h"

#include "clock/process_clock.h"
#include "membership/duty.h"
#include "node/quarantine_document.h"

#include <algorithm>

namespace cyclamenhatch::node {
namespace {

constexpr std::size_t max_members = 2000;
constexpr std::size_t max_links = 200;
constexpr std::size_t max_versions = 20;
constexpr std::size_t max_suspects = 100;
constexpr std::size_t max_workspaces = 1000;

document number(std::uint64_t value) {
    return static_cast<std::int64_t>(value);
}

document text_list(const std::vector<std::string>& texts) {
    document::array items;
    for (const auto& text : texts) {
        items.emplace_back(text);
    }
    return items;
}

std::vector<std::string> names(const std::vector<node_id>& nodes) {
    std::vector<std::string> texts;
    texts.reserve(nodes.size());
    for (const auto& node : nodes) {
        texts.push_back(node.value);
    }
    return texts;
}

document describe_upstream(const msg::member_record_msg& record) {
    if (!record.upstream) {
        return {};
    }
    return document::table{{"service", record.upstream->service},
                           {"version", record.upstream->version},
                           {"state", msg::EnumNameupstream_state(record.upstream->state)},
                           {"slots", number(record.upstream->slots)}};
}

document describe_member(const msg::member_record_msg& record) {
    return document::table{{"node", record.node},
                           {"region", record.region},
                           {"data_centre", record.data_centre},
                           {"address", record.ip + ":" + std::to_string(record.link_port)},
                           {"incarnation", number(record.incarnation)},
                           {"state", msg::EnumNameliveness(record.state)},
                           {"upstream", describe_upstream(record)}};
}

document describe_members(const membership::table& members) {
    document::array items{describe_member(members.self)};
    for (const auto& [name, member] : members.members) {
        if (items.size() == max_members) {
            break;
        }
        items.push_back(describe_member(member.record));
    }
    return items;
}

document describe_evacuated(const control::state& state) {
    document::array evacuated;
    for (const auto& [name, since] : state.evacuated_since) {
        evacuated.push_back(
            document::table{{"data_centre", name.value}, {"since", format_rfc3339(since)}});
    }
    return evacuated;
}

document describe_configuration(const control::state& state) {
    const auto& config = state.distribution.config;
    document::array services;
    if (config) {
        for (const auto& [name, section] : config->sections) {
            services.push_back(document::table{{"service", name.value},
                                               {"digest", section->digest.value},
                                               {"bytes", number(section->encoded.size())}});
        }
    }
    return document::table{{"version", number(config ? config->version.value : 0)},
                           {"digest", config ? config->digest.value : ""},
                           {"is_ready", distribution::is_ready(state.distribution)},
                           {"evacuated", describe_evacuated(state)},
                           {"sections", std::move(services)}};
}

document describe_rejections(const std::vector<distribution::rejection>& rejections) {
    document::array items;
    for (const auto& rejection : rejections) {
        items.push_back(document::table{{"node", rejection.node.value},
                                        {"version", number(rejection.version.value)},
                                        {"findings", text_list(rejection.findings)}});
    }
    return items;
}

document describe_data_centres(const distribution::state& spread) {
    document::array items;
    for (const auto& [name, summary] : spread.data_centres) {
        items.push_back(document::table{{"data_centre", name.value},
                                        {"aggregator", summary.aggregator.value},
                                        {"nodes", number(summary.nodes)},
                                        {"lowest", number(summary.lowest.value)},
                                        {"newest", number(summary.newest.value)},
                                        {"nodes_at_newest", number(summary.nodes_at_newest)},
                                        {"laggards", text_list(names(summary.laggards))},
                                        {"rejections", describe_rejections(summary.rejections)}});
    }
    return items;
}

document describe_progress(const distribution::state& spread) {
    document::array items;
    const auto& all = spread.progress;
    const auto skipped = all.size() > max_versions ? all.size() - max_versions : 0;
    for (auto it = all.begin() + static_cast<std::ptrdiff_t>(skipped); it != all.end(); ++it) {
        const bool is_in_force = it->in_force_at != instant{};
        items.push_back(
            document::table{{"version", number(it->version.value)},
                            {"accepted", format_rfc3339(it->accepted_at)},
                            {"in_force", is_in_force ? format_rfc3339(it->in_force_at) : ""},
                            {"nodes", number(it->nodes)},
                            {"slowest", it->slowest.value}});
    }
    return items;
}

document describe_move(const moves::move_status& status) {
    return document::table{{"service", status.key.service.value},
                           {"move", status.key.name.value},
                           {"attempt", number(status.key.attempt)},
                           {"from", status.old_version.value},
                           {"to", status.new_version.value},
                           {"deadline", format_rfc3339(status.deadline)},
                           {"phase", status.phase},
                           {"stage", number(status.stage)},
                           {"permille", number(status.permille)},
                           {"calls_on_new", number(status.calls_on_new)},
                           {"errors_on_new", number(status.errors_on_new)},
                           {"veto_reason", status.veto_reason},
                           {"is_controller", status.is_controller}};
}

document describe_moves(const control::state& state, instant now) {
    document::array items;
    for (const auto& status : moves::list_status(state.moves, now)) {
        items.push_back(describe_move(status));
    }
    return items;
}

bool is_store_down(const control::state& state) {
    return state.operator_reader ? state.operator_reader->service.is_down
                                 : state.reader.service.is_down;
}

bool is_watching_store(const control::state& state) {
    return state.operator_reader ? state.operator_reader->watch.id != 0 : state.reader.is_watching;
}

document describe_store(const node_runtime& node) {
    const auto counts = node.store.counts();
    return document::table{
        {"is_down", is_store_down(node.control)}, {"is_watching", is_watching_store(node.control)},
        {"reads", number(counts.reads)},          {"writes", number(counts.writes)},
        {"watches", number(counts.watches)},      {"not_run", number(counts.not_run)},
        {"unknown", number(counts.unknown)}};
}

document describe_links(const node_runtime& node) {
    document::array items;
    for (const auto& link : wire::list_links(*node.links, max_links)) {
        items.push_back(
            document::table{{"peer", link.peer.value},
                            {"address", link.address.ip + ":" + std::to_string(link.address.port)},
                            {"is_established", link.is_established},
                            {"is_dialled", link.is_dialled},
                            {"age_ms", number(link.age_ms)},
                            {"last_received_ms", number(link.last_received_ms)},
                            {"queued_bytes", number(link.queued_bytes)}});
    }
    return items;
}

document describe_counters(const wire::link_counters& counts) {
    document::table bytes_sent;
    for (std::size_t kind = 0; kind < counts.bytes_sent.size(); ++kind) {
        bytes_sent.push_back(
            {std::string(wire::traffic_name(kind)), number(counts.bytes_sent.at(kind))});
    }
    document::table links_closed;
    for (std::size_t cause = 0; cause < counts.links_closed.size(); ++cause) {
        links_closed.push_back(
            {std::string(wire::cause_name(cause)), number(counts.links_closed.at(cause))});
    }
    return document::table{{"control_bytes_sent", number(counts.control_bytes_sent)},
                           {"control_bytes_received", number(counts.control_bytes_received)},
                           {"call_bytes_sent", number(counts.call_bytes_sent)},
                           {"call_bytes_received", number(counts.call_bytes_received)},
                           {"messages_sent", number(counts.messages_sent)},
                           {"messages_received", number(counts.messages_received)},
                           {"messages_undelivered", number(counts.messages_undelivered)},
                           {"calls_withdrawn", number(counts.calls_withdrawn)},
                           {"links_opened", number(counts.links_opened)},
                           {"links_silent", number(counts.links_silent)},
                           {"links_refused", number(counts.links_refused)},
                           {"frames_broken", number(counts.frames_broken)},
                           {"bytes_sent", std::move(bytes_sent)},
                           {"links_closed", std::move(links_closed)}};
}

document describe_transfers(const distribution::transfer_counts& counts) {
    return document::table{{"delta_messages", number(counts.delta_messages)},
                           {"delta_bytes", number(counts.delta_bytes)},
                           {"snapshot_messages", number(counts.snapshot_messages)},
                           {"snapshot_bytes", number(counts.snapshot_bytes)},
                           {"pull_messages", number(counts.pull_messages)},
                           {"pull_bytes", number(counts.pull_bytes)},
                           {"deltas_needed", number(counts.deltas_needed)},
                           {"deltas_not_needed", number(counts.deltas_not_needed)},
                           {"deltas_missed", number(counts.deltas_missed)}};
}

/// The allowances that this node keeps. `left` is what it can lend now.
document describe_allowances(const allowance::keeper_state& keeper, instant now) {
    document::array items;
    for (const auto& [name, item] : keeper.kept) {
        if (items.size() == max_workspaces) {
            break;
        }
        items.push_back(document::table{{"workspace", name.value},
                                        {"kept_by", keeper.self.value},
                                        {"calls_per_s", item.stated.calls_per_s},
                                        {"burst", item.stated.burst},
                                        {"left", item.tokens},
                                        {"backlog", item.backlog},
                                        {"asked", number(item.asked)},
                                        {"lent", number(item.lent)},
                                        {"is_taking_over", now < item.full_rate_at},
                                        {"reachable_share", keeper.reachable_share}});
    }
    return items;
}

document describe_duties(const control::state& state) {
    const data_centre_id own{state.settings.identity->data_centre};
    document::array duties;
    if (distribution::is_store_watcher(state.distribution, state.members)) {
        duties.emplace_back("store-watcher");
    }
    if (membership::has_duty(state.members, "in-force", 1, own)) {
        duties.emplace_back("in-force");
    }
    if (membership::has_duty(state.members, "contact", 2, own)) {
        duties.emplace_back("contact");
    }
    return duties;
}

void add_line(std::string& text, const char* name, std::uint64_t value) {
    text += std::string("cyclamenhatch_") + name + " " + std::to_string(value) + "\n";
}

void add_links(std::string& text, const wire::link_counters& links) {
    add_line(text, "control_bytes_sent_total", links.control_bytes_sent);
    add_line(text, "control_bytes_received_total", links.control_bytes_received);
    add_line(text, "call_bytes_sent_total", links.call_bytes_sent);
    add_line(text, "call_bytes_received_total", links.call_bytes_received);
    add_line(text, "links_silent_total", links.links_silent);
    add_line(text, "links_refused_total", links.links_refused);
    add_line(text, "frames_broken_total", links.frames_broken);
    for (std::size_t kind = 0; kind < links.bytes_sent.size(); ++kind) {
        const auto name =
            "link_bytes_sent_total{kind=\"" + std::string(wire::traffic_name(kind)) + "\"}";
        add_line(text, name.c_str(), links.bytes_sent.at(kind));
    }
    for (std::size_t cause = 0; cause < links.links_closed.size(); ++cause) {
        const auto name =
            "links_closed_total{cause=\"" + std::string(wire::cause_name(cause)) + "\"}";
        add_line(text, name.c_str(), links.links_closed.at(cause));
    }
}

void add_transfers(std::string& text, const distribution::transfer_counts& counts) {
    add_line(text, "config_delta_messages_sent_total", counts.delta_messages);
    add_line(text, "config_delta_bytes_sent_total", counts.delta_bytes);
    add_line(text, "config_snapshot_messages_sent_total", counts.snapshot_messages);
    add_line(text, "config_snapshot_bytes_sent_total", counts.snapshot_bytes);
    add_line(text, "config_pull_messages_sent_total", counts.pull_messages);
    add_line(text, "config_pull_bytes_sent_total", counts.pull_bytes);
    add_line(text, "config_deltas_needed_total", counts.deltas_needed);
    add_line(text, "config_deltas_not_needed_total", counts.deltas_not_needed);
    add_line(text, "config_deltas_missed_total", counts.deltas_missed);
}

void add_quarantine(std::string& text, const quarantine::state& known, instant now) {
    add_line(text, "suspected_requests", known.view ? known.view->size() : 0);
    add_line(text, "held_requests", quarantine::count_held(known, now));
    add_line(text, "upstream_crashes_witnessed_total", known.counts.crashes);
    add_line(text, "request_holds_total", known.counts.holds);
    add_line(text, "requests_cleared_total", known.counts.cleared);
}

} // namespace

document dump_state(node_runtime& node) {
    document::table contents;
    {
        const std::lock_guard<std::mutex> guard(node.control_lock);
        const auto now = current_time();
        const auto& state = node.control;
        contents = {{"node", node.settings.identity->node},
                    {"release", CYCLAMENHATCH_VERSION},
                    {"time", format_rfc3339(now)},
                    {"started", format_rfc3339(state.started)},
                    {"is_leaving", state.is_leaving},
                    {"pauses", number(state.members.pauses)},
                    {"configuration", describe_configuration(state)},
                    {"data_centres", describe_data_centres(state.distribution)},
                    {"progress", describe_progress(state.distribution)},
                    {"transfers", describe_transfers(state.distribution.counts)},
                    {"moves", describe_moves(state, now)},
                    {"quarantine", describe_quarantine(state.quarantine, now, max_suspects)},
                    {"kept_allowances", describe_allowances(state.allowances, now)},
                    {"duties", describe_duties(state)},
                    {"store", describe_store(node)},
                    {"members", describe_members(state.members)}};
    }
    contents.push_back({"links", describe_links(node)});
    contents.push_back({"counters", describe_counters(wire::counters(*node.links))});
    contents.push_back({"calls", edge::dump(*node.calls)});
    return contents;
}

document describe_fleet(node_runtime& node) {
    const std::lock_guard<std::mutex> guard(node.control_lock);
    const auto now = current_time();
    const auto& state = node.control;
    const auto live = membership::live_records(state.members);
    const auto suspects =
        std::count_if(live.begin(), live.end(), [](const msg::member_record_msg* record) {
            return record->state == msg::liveness::suspect;
        });
    return document::table{
        {"node", node.settings.identity->node},
        {"time", format_rfc3339(now)},
        {"version",
         number(state.distribution.config ? state.distribution.config->version.value : 0)},
        {"is_ready", control::is_ready(state)},
        {"evacuated", describe_evacuated(state)},
        {"live_nodes", number(live.size())},
        {"suspect_nodes", static_cast<std::int64_t>(suspects)},
        {"data_centres", describe_data_centres(state.distribution)},
        {"moves", describe_moves(state, now)},
        {"store_is_down", is_store_down(state)},
        {"progress", describe_progress(state.distribution)}};
}

std::string metrics_text(node_runtime& node) {
    std::string text;
    {
        const std::lock_guard<std::mutex> guard(node.control_lock);
        const auto& state = node.control;
        add_line(text, "config_version",
                 state.distribution.config ? state.distribution.config->version.value : 0);
        add_line(text, "evacuated_data_centres", state.evacuated_since.size());
        add_line(text, "is_ready", control::is_ready(state) ? 1 : 0);
        add_line(text, "live_nodes", membership::live_records(state.members).size());
        add_line(text, "store_is_down", is_store_down(state) ? 1 : 0);
        add_line(text, "move_cut_routes", moves::count_cut_routes(state.moves));
        add_line(text, "store_handovers_total", state.store_handovers);
        add_line(text, "process_pauses_total", state.members.pauses);
        add_line(text, "unconfirmed_leaves_total", node.unconfirmed_leaves);
        add_transfers(text, state.distribution.counts);
        add_quarantine(text, state.quarantine, current_time());
    }
    add_line(text, "loop_lag_ms", static_cast<std::uint64_t>(node.loop_lag_ms.load()));
    add_links(text, wire::counters(*node.links));
    const auto kv = node.store.counts();
    add_line(text, "store_reads_total", kv.reads);
    add_line(text, "store_writes_total", kv.writes);
    add_line(text, "store_not_run_total", kv.not_run);
    add_line(text, "store_unknown_total", kv.unknown);
    return text + edge::metrics_text(*node.calls);
}

} // namespace cyclamenhatch::node

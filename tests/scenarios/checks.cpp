#include "scenarios/commands.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <stdexcept>

namespace cyclamenhatch::scenarios {
namespace {

/// What keeps an expectation from holding on one node; empty when it holds.
using node_check = std::function<std::string(const cluster&, const host&, const words&)>;
using cluster_check = std::function<std::string(const cluster&, const words&)>;

std::uint64_t number(const std::string& text) {
    return std::stoull(text);
}

std::string compare(std::uint64_t actual, std::uint64_t wanted) {
    return actual == wanted ? "" : "is " + std::to_string(actual);
}

std::uint64_t held_version(const host& node) {
    const auto& held = node.process->distribution.held;
    return held ? held->version.value : 0;
}

const distribution::version_progress* find_progress(const host& node, std::uint64_t version) {
    const auto& all = node.process->distribution.progress;
    const auto found = std::find_if(
        all.begin(), all.end(), [&](const auto& each) { return each.version.value == version; });
    return found == all.end() ? nullptr : &*found;
}

bool is_in_force(const host& node, std::uint64_t version) {
    const auto* progress = find_progress(node, version);
    return progress != nullptr && progress->in_force_at != instant{};
}

std::string check_laggard(const cluster& all, const host& node, const words& at) {
    const auto& suspect = all.hosts[find_hosts(all, at.at(1)).front()];
    const auto& statuses = node.process->distribution.data_centres;
    const auto status = statuses.find(data_centre_id{suspect.place.data_centre});
    if (status == statuses.end()) {
        return "no summary is known";
    }
    const auto& named = status->second.laggards;
    const bool is_named = std::any_of(named.begin(), named.end(), [&](const node_id& each) {
        return each.value == suspect.name;
    });
    return is_named ? "" : "it is not named";
}

std::string check_rejected(const cluster& /*all*/, const host& node, const words& at) {
    for (const auto& [name, status] : node.process->distribution.data_centres) {
        for (const auto& each : status.rejections) {
            if (each.node.value == at.at(1) && each.version.value == number(at.at(2)) &&
                !each.findings.empty()) {
                return "";
            }
        }
    }
    return "no such rejection is known";
}

std::string check_upstream(const cluster& /*all*/, const host& node, const words& at) {
    const auto* record = membership::find_record(node.process->members, node_id{at.at(1)});
    if (record == nullptr || !record->upstream) {
        return "it is not known";
    }
    const std::string state = msg::EnumNameupstream_state(record->upstream->state);
    return state == at.at(2) ? "" : "is " + state;
}

std::string check_absent(const cluster& all, const host& node, const words& at) {
    for (const auto* record : membership::live_records(node.process->members)) {
        for (const auto index : find_hosts(all, at.at(1))) {
            if (record->node == all.hosts[index].name) {
                return record->node + " counts as live";
            }
        }
    }
    return "";
}

std::string check_move(const cluster& /*all*/, const host& node, const words& at) {
    const auto& held = node.process->distribution.held;
    if (!held || !held->sections.contains(service_id{at.at(1)})) {
        return "the service is not held";
    }
    for (const auto& each : held->sections.at(service_id{at[1]})->content.moves) {
        if (each.name.value == at.at(2)) {
            const auto* outcome = !each.ending                                 ? "open"
                                  : each.ending->outcome == move_outcome::done ? "done"
                                                                               : "taken_back";
            return outcome == at.at(3) ? "" : std::string("is ") + outcome;
        }
    }
    return "the move is not held";
}

/// "share SERVICE above|below PERMILLE".
std::string check_share(const cluster& all, const host& node, const words& at) {
    const auto shares = moves::version_shares(node.process->moves, all.now);
    const auto share = shares.find(service_id{at.at(1)});
    const auto permille = share == shares.end() ? 0U : share->second.permille;
    const bool holds =
        at.at(2) == "above" ? permille > number(at.at(3)) : permille < number(at.at(3));
    return holds ? "" : "is " + std::to_string(permille);
}

std::string check_service(const cluster& /*all*/, const host& node, const words& at) {
    const auto& held = node.process->distribution.held;
    const service_id name{at.at(1)};
    const bool is_held = held && held->sections.contains(name);
    const auto version = is_held ? held->sections.at(name)->content.service.version.value : "none";
    return version == at.at(2) ? "" : "is " + version;
}

std::size_t count_logs(const host& node, const std::string& event) {
    const auto found = node.logs.find(event);
    return found == node.logs.end() ? 0 : found->second;
}

const std::map<std::string, node_check>& node_checks() {
    static const std::map<std::string, node_check> known{
        {"held", [](const cluster&, const host& node,
                    const words& at) { return compare(held_version(node), number(at.at(1))); }},
        {"held_at_least",
         [](const cluster&, const host& node, const words& at) {
             return held_version(node) >= number(at.at(1)) ? ""
                                                           : compare(held_version(node), ~0ULL);
         }},
        {"ready",
         [](const cluster&, const host& node, const words&) -> std::string {
             return distribution::is_ready(node.process->distribution) ? "" : "is not";
         }},
        {"unready",
         [](const cluster&, const host& node, const words&) -> std::string {
             return distribution::is_ready(node.process->distribution) ? "is ready" : "";
         }},
        {"in_force",
         [](const cluster&, const host& node, const words& at) -> std::string {
             return is_in_force(node, number(at.at(1))) ? "" : "is not known to be";
         }},
        {"not_in_force",
         [](const cluster&, const host& node, const words& at) -> std::string {
             return is_in_force(node, number(at.at(1))) ? "is in force" : "";
         }},
        {"members",
         [](const cluster&, const host& node, const words& at) {
             return compare(membership::live_records(node.process->members).size(),
                            number(at.at(1)));
         }},
        {"members_at_least",
         [](const cluster&, const host& node, const words& at) {
             const auto count = membership::live_records(node.process->members).size();
             return count >= number(at.at(1)) ? "" : compare(count, ~0ULL);
         }},
        {"alive",
         [](const cluster&, const host& node, const words& at) {
             const auto records = membership::live_records(node.process->members);
             const auto alive = std::count_if(records.begin(), records.end(), [](const auto* each) {
                 return each->state == msg::liveness::alive;
             });
             return compare(static_cast<std::uint64_t>(alive), number(at.at(1)));
         }},
        {"pauses",
         [](const cluster&, const host& node, const words& at) {
             return compare(node.process->members.pauses, number(at.at(1)));
         }},
        {"logged",
         [](const cluster&, const host& node, const words& at) -> std::string {
             return count_logs(node, at.at(1)) > 0 ? "" : "is not";
         }},
        {"never_logged",
         [](const cluster&, const host& node, const words& at) -> std::string {
             return count_logs(node, at.at(1)) == 0 ? "" : "is";
         }},
        {"laggard", check_laggard},
        {"rejected", check_rejected},
        {"upstream", check_upstream},
        {"absent", check_absent},
        {"move", check_move},
        {"share", check_share},
        {"service", check_service},
    };
    return known;
}

std::string check_reply(const cluster& all, const words& at) {
    const auto found = all.replies.find(at.at(1));
    const auto outcome = found == all.replies.end() ? "none" : found->second;
    return outcome == at.at(2) ? "" : "is " + outcome;
}

std::string at_most(std::uint64_t actual, const std::string& limit) {
    return actual <= number(limit) ? "" : "is " + std::to_string(actual);
}

/// Bytes sent by the busiest host in a second, averaged since the counters were reset.
std::string check_bytes(const cluster& all, const words& at) {
    const std::chrono::duration<double> counted = all.now - all.counted_from;
    const auto most = *std::max_element(all.net.bytes_sent.begin(), all.net.bytes_sent.end());
    return at_most(static_cast<std::uint64_t>(static_cast<double>(most) / counted.count()),
                   at.at(1));
}

const std::map<std::string, cluster_check>& cluster_checks() {
    static const std::map<std::string, cluster_check> known{
        {"reply", check_reply},
        {"bytes_at_most", check_bytes},
        {"store_reads_at_most",
         [](const cluster& all, const words& at) {
             return at_most(std::max(all.most_reads, all.reads), at.at(1));
         }},
        {"store_writes_at_most",
         [](const cluster& all, const words& at) {
             return at_most(std::max(all.most_writes, all.writes), at.at(1));
         }},
        {"snapshots_at_most",
         [](const cluster& all, const words& at) {
             return at_most(all.net.most_snapshots, at.at(1));
         }},
        {"watches",
         [](const cluster& all, const words& at) {
             return compare(all.store.watches.size(), number(at.at(1)));
         }},
    };
    return known;
}

} // namespace

std::string check_expectation(const cluster& all, const words& expectation) {
    const auto whole = cluster_checks().find(expectation.front());
    if (whole != cluster_checks().end()) {
        return whole->second(all, expectation);
    }
    const auto found = node_checks().find(expectation.front());
    if (found == node_checks().end()) {
        throw std::invalid_argument("no expectation is called \"" + expectation.front() + "\"");
    }
    const auto on = std::find(expectation.begin(), expectation.end(), "on");
    const auto group = on == expectation.end() ? "all" : *std::next(on);
    std::size_t checked = 0;
    for (const auto index : find_hosts(all, group)) {
        const auto& node = all.hosts[index];
        if (!node.process || node.is_paused) {
            continue;
        }
        ++checked;
        if (const auto problem = found->second(all, node, expectation); !problem.empty()) {
            return node.name + ": " + problem;
        }
    }
    return checked == 0 ? "no process runs in \"" + group + "\"" : "";
}

} // namespace cyclamenhatch::scenarios

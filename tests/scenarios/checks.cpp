#include "scenarios/commands.h"

#include <algorithm>
#include <functional>
#include <optional>
#include <set>
#include <stdexcept>

namespace cyclamenhatch::scenarios {
namespace {

/// Returns why an expectation does not hold on a node, or an empty string when it holds.
using node_check = std::function<std::string(const cluster&, const host&, const words&)>;
/// Returns why an expectation does not hold for the whole cluster, or an empty string when it
/// holds.
using cluster_check = std::function<std::string(const cluster&, const words&)>;

std::uint64_t parse_number(const std::string& text) {
    return std::stoull(text);
}

std::string check_equal(std::uint64_t actual, std::uint64_t expected) {
    return actual == expected ? "" : "is " + std::to_string(actual);
}

std::uint64_t held_version(const host& node) {
    const auto& held = node.process->distribution.config;
    return held ? held->version.value : 0;
}

const distribution::version_progress* find_progress(const host& node, std::uint64_t version) {
    const auto& progress = node.process->distribution.progress;
    const auto match = std::find_if(progress.begin(), progress.end(), [&](const auto& candidate) {
        return candidate.version.value == version;
    });
    return match == progress.end() ? nullptr : &*match;
}

bool is_in_force(const host& node, std::uint64_t version) {
    const auto* progress = find_progress(node, version);
    return progress != nullptr && progress->in_force_at != instant{};
}

std::string check_laggard(const cluster& sim, const host& node, const words& args) {
    const auto& suspect = sim.hosts[find_hosts(sim, args.at(1)).front()];
    const auto& statuses = node.process->distribution.data_centres;
    const auto status = statuses.find(data_centre_id{suspect.place.data_centre});
    if (status == statuses.end()) {
        return "it has no summary of the data centre";
    }
    const auto& laggards = status->second.laggards;
    const bool is_named =
        std::any_of(laggards.begin(), laggards.end(),
                    [&](const node_id& laggard) { return laggard.value == suspect.name; });
    return is_named ? "" : "the host is not among the laggards";
}

std::string check_rejected(const cluster& /*sim*/, const host& node, const words& args) {
    for (const auto& [name, status] : node.process->distribution.data_centres) {
        for (const auto& rejection : status.rejections) {
            if (rejection.node.value == args.at(1) &&
                rejection.version.value == parse_number(args.at(2)) &&
                !rejection.findings.empty()) {
                return "";
            }
        }
    }
    return "it knows of no such rejection";
}

std::string check_upstream(const cluster& /*sim*/, const host& node, const words& args) {
    const auto* record = membership::find_record(node.process->members, node_id{args.at(1)});
    if (record == nullptr || !record->upstream) {
        return "it knows of no such upstream";
    }
    const std::string state = msg::EnumNameupstream_state(record->upstream->state);
    return state == args.at(2) ? "" : "is " + state;
}

std::string check_absent(const cluster& sim, const host& node, const words& args) {
    for (const auto* record : membership::live_records(node.process->members)) {
        for (const auto index : find_hosts(sim, args.at(1))) {
            if (record->node == sim.hosts[index].name) {
                return record->node + " is in the table of live members";
            }
        }
    }
    return "";
}

std::string check_move(const cluster& /*sim*/, const host& node, const words& args) {
    const auto& held = node.process->distribution.config;
    if (!held || !held->sections.contains(service_id{args.at(1)})) {
        return "the service is not in the configuration";
    }
    for (const auto& move : held->sections.at(service_id{args[1]})->content.moves) {
        if (move.name.value == args.at(2)) {
            const auto* outcome = !move.ending                                 ? "open"
                                  : move.ending->outcome == move_outcome::done ? "done"
                                                                               : "taken_back";
            return outcome == args.at(3) ? "" : std::string("is ") + outcome;
        }
    }
    return "the move is not in the configuration";
}

/// "share SERVICE above|below PERMILLE": the share of the new version in a move of the service.
std::string check_share(const cluster& sim, const host& node, const words& args) {
    const auto shares = moves::version_shares(node.process->moves, sim.now);
    const auto share = shares.find(service_id{args.at(1)});
    const auto permille = share == shares.end() ? 0U : share->second.permille;
    const bool holds = args.at(2) == "above" ? permille > parse_number(args.at(3))
                                             : permille < parse_number(args.at(3));
    return holds ? "" : "is " + std::to_string(permille);
}

std::string check_service(const cluster& /*sim*/, const host& node, const words& args) {
    const auto& held = node.process->distribution.config;
    const service_id name{args.at(1)};
    const bool is_held = held && held->sections.contains(name);
    const auto version = is_held ? held->sections.at(name)->content.service.version.value : "none";
    return version == args.at(2) ? "" : "is " + version;
}

std::size_t count_logs(const host& node, const std::string& event) {
    const auto match = node.logs.find(event);
    return match == node.logs.end() ? 0 : match->second;
}

const std::map<std::string, node_check>& node_checks() {
    static const std::map<std::string, node_check> by_name{
        {"held",
         [](const cluster&, const host& node, const words& args) {
             return check_equal(held_version(node), parse_number(args.at(1)));
         }},
        {"held_at_least",
         [](const cluster&, const host& node, const words& args) {
             return held_version(node) >= parse_number(args.at(1))
                        ? ""
                        : check_equal(held_version(node), ~0ULL);
         }},
        {"ready",
         [](const cluster&, const host& node, const words&) -> std::string {
             return control::is_ready(*node.process) ? "" : "is not";
         }},
        {"unready",
         [](const cluster&, const host& node, const words&) -> std::string {
             return control::is_ready(*node.process) ? "is ready" : "";
         }},
        {"in_force",
         [](const cluster&, const host& node, const words& args) -> std::string {
             return is_in_force(node, parse_number(args.at(1))) ? ""
                                                                : "is not known to be in force";
         }},
        {"not_in_force",
         [](const cluster&, const host& node, const words& args) -> std::string {
             return is_in_force(node, parse_number(args.at(1))) ? "is in force" : "";
         }},
        {"members",
         [](const cluster&, const host& node, const words& args) {
             return check_equal(membership::live_records(node.process->members).size(),
                                parse_number(args.at(1)));
         }},
        {"members_at_least",
         [](const cluster&, const host& node, const words& args) {
             const auto count = membership::live_records(node.process->members).size();
             return count >= parse_number(args.at(1)) ? "" : check_equal(count, ~0ULL);
         }},
        {"alive",
         [](const cluster&, const host& node, const words& args) {
             const auto records = membership::live_records(node.process->members);
             const auto alive =
                 std::count_if(records.begin(), records.end(), [](const auto* record) {
                     return record->state == msg::liveness::alive;
                 });
             return check_equal(static_cast<std::uint64_t>(alive), parse_number(args.at(1)));
         }},
        {"pauses",
         [](const cluster&, const host& node, const words& args) {
             return check_equal(node.process->members.pauses, parse_number(args.at(1)));
         }},
        {"logged",
         [](const cluster&, const host& node, const words& args) -> std::string {
             return count_logs(node, args.at(1)) > 0 ? "" : "is not";
         }},
        {"never_logged",
         [](const cluster&, const host& node, const words& args) -> std::string {
             return count_logs(node, args.at(1)) == 0 ? "" : "is";
         }},
        {"laggard", check_laggard},
        {"rejected", check_rejected},
        {"upstream", check_upstream},
        {"absent", check_absent},
        {"move", check_move},
        {"share", check_share},
        {"service", check_service},
    };
    return by_name;
}

std::string check_reply(const cluster& sim, const words& args) {
    const auto match = sim.replies.find(args.at(1));
    const auto outcome = match == sim.replies.end() ? "none" : match->second;
    return outcome == args.at(2) ? "" : "is " + outcome;
}

std::string check_at_most(std::uint64_t actual, const std::string& limit) {
    return actual <= parse_number(limit) ? "" : "is " + std::to_string(actual);
}

/// Checks the bytes per second sent by the busiest host, averaged since the counters were reset.
std::string check_bytes(const cluster& sim, const words& args) {
    const std::chrono::duration<double> elapsed = sim.now - sim.counters_reset_at;
    const auto busiest = *std::max_element(sim.net.bytes_sent.begin(), sim.net.bytes_sent.end());
    return check_at_most(static_cast<std::uint64_t>(static_cast<double>(busiest) / elapsed.count()),
                         args.at(1));
}

const std::map<std::string, cluster_check>& cluster_checks() {
    static const std::map<std::string, cluster_check> by_name{
        {"reply", check_reply},
        {"bytes_at_most", check_bytes},
        {"store_reads_at_most",
         [](const cluster& sim, const words& args) {
             return check_at_most(std::max(sim.peak_reads, sim.reads), args.at(1));
         }},
        {"store_writes_at_most",
         [](const cluster& sim, const words& args) {
             return check_at_most(std::max(sim.peak_writes, sim.writes), args.at(1));
         }},
        {"snapshots_at_most",
         [](const cluster& sim, const words& args) {
             return check_at_most(sim.net.peak_snapshots, args.at(1));
         }},
        {"watches",
         [](const cluster& sim, const words& args) {
             return check_equal(sim.store.watches.size(), parse_number(args.at(1)));
         }},
    };
    return by_name;
}

} // namespace

std::string check_expectation(const cluster& sim, const words& expectation) {
    const auto cluster_match = cluster_checks().find(expectation.front());
    if (cluster_match != cluster_checks().end()) {
        return cluster_match->second(sim, expectation);
    }
    const auto node_match = node_checks().find(expectation.front());
    if (node_match == node_checks().end()) {
        throw std::invalid_argument("unknown expectation \"" + expectation.front() + "\"");
    }
    const auto group_word = std::find(expectation.begin(), expectation.end(), "on");
    const auto group = group_word == expectation.end() ? "all" : *std::next(group_word);
    std::size_t checked = 0;
    for (const auto index : find_hosts(sim, group)) {
        const auto& node = sim.hosts[index];
        if (!node.process || node.is_paused) {
            continue;
        }
        ++checked;
        if (const auto problem = node_match->second(sim, node, expectation); !problem.empty()) {
            return node.name + ": " + problem;
        }
    }
    return checked == 0 ? "no running process in \"" + group + "\"" : "";
}

} // namespace cyclamenhatch::scenarios

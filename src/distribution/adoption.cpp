#include "distribution/adoption.h"

#include "distribution/counting.h"
#include "distribution/peers.h"
#include "distribution/transfer.h"
#include "membership/updates.h"

#include <algorithm>

namespace cyclamenhatch::distribution {
namespace {

constexpr std::size_t history_limit = 8;
constexpr std::size_t progress_limit = 128;
/// Versions that were jumped over are listed as progress up to this many.
constexpr std::uint64_t skipped_limit = 32;
constexpr std::size_t refused_limit = 32;
constexpr seconds refusal_memory{30};
constexpr std::size_t reported_findings = 4;
constexpr std::size_t finding_length = 300;
/// Random members that are told of a new version beside those it is pushed to.
constexpr std::size_t lazy_notices = 3;

void note_progress(state& self, const snapshot_ptr& before, const snapshot& held, instant now) {
    if (before && held.version.value - before->version.value <= skipped_limit) {
        for (auto skipped = before->version.value + 1; skipped < held.version.value; ++skipped) {
            self.progress.push_back({.version = config_version{skipped}, .accepted = now});
        }
    }
    self.progress.push_back(
        {.version = held.version, .accepted = now, .operations = held.operations});
    if (self.progress.size() > progress_limit) {
        const auto excess = self.progress.size() - progress_limit;
        self.progress.erase(self.progress.begin(),
                            self.progress.begin() + static_cast<std::ptrdiff_t>(excess));
    }
}

/// Pushes the change from `before` on: as it came, when it started there, since it is known to lead
/// to what is held; else made anew.
void push_delta(state& self, const snapshot& before, const origin& source, const step& now) {
    const bool is_passed_on =
        source.delta != nullptr && source.delta->base_version == before.version.value;
    const auto delta = is_passed_on ? *source.delta : make_delta(before, *self.held);
    for (const auto* target :
         push_targets(now.members, self.settings.push_peers, self.settings.push_peers_across)) {
        if (target->node != source.from.value) {
            send_counted(self, send_to(*target, delta), now);
        }
    }
}

void send_notices(const state& self, const node_id& from, const step& now) {
    for (const auto* target : membership::choose_members(now.members, lazy_notices, now.random)) {
        if (target->node != from.value) {
            now.wanted.sends.push_back(send_to(*target, make_notice(self.held)));
        }
    }
}

void apply_stashed(state& self, const node_id& from, const step& now) {
    std::erase_if(self.stashed, [&](const msg::config_delta_msg& each) {
        return each.version <= self.held->version.value;
    });
    const auto next = std::find_if(self.stashed.begin(), self.stashed.end(),
                                   [&](const msg::config_delta_msg& each) {
                                       return each.base_version <= self.held->version.value;
                                   });
    if (next == self.stashed.end()) {
        return;
    }
    const auto delta = *next;
    self.stashed.erase(next);
    const auto applied = apply_delta(*self.held, delta);
    if (const auto* found = std::get_if<snapshot_ptr>(&applied)) {
        ++self.counts.deltas_needed;
        adopt(self, *found, {from, payload_bytes(delta), &delta}, now);
    }
}

std::vector<std::string> describe(const findings& found) {
    std::vector<std::string> lines;
    for (const auto& each : found) {
        if (lines.size() == reported_findings) {
            break;
        }
        lines.push_back(to_string(each).substr(0, finding_length));
    }
    return lines;
}

} // namespace

bool is_newer(const state& self, config_version version) {
    return !self.held || version > self.held->version;
}

bool adopt(state& self, const snapshot_ptr& found, const origin& source, const step& now) {
    const auto& from = source.from;
    if (!found || !is_newer(self, found->version)) {
        return false;
    }
    const auto before = self.held;
    self.held = found;
    self.history.push_back(found);
    if (self.history.size() > history_limit) {
        self.history.erase(self.history.begin());
    }
    note_progress(self, before, *found, now.now);
    self.needs_whole_sections = false;
    self.reporting.is_report_due = true;
    if (self.reporting.rejected && self.reporting.rejected->version <= found->version) {
        self.reporting.rejected.reset();
    }
    now.wanted.logs.push_back({.name = "config_held",
                               .fields = {{"version", std::to_string(found->version.value)},
                                          {"from", from.empty() ? "store" : from.value},
                                          {"bytes", std::to_string(source.bytes)}}});
    if (before) {
        push_delta(self, *before, source, now);
    }
    // A newcomer that was served by a member has no news for others.
    if (before || from.empty()) {
        send_notices(self, from, now);
    }
    apply_stashed(self, from, now);
    return true;
}

void refuse(state& self, config_version version, const digest_id& digest, const findings& found,
            const node_id& from, const membership::table& members, instant now, actions& wanted) {
    const bool is_repeated = is_refused(self, version, digest);
    if (self.refused.size() >= refused_limit) {
        self.refused.erase(self.refused.begin());
    }
    self.refused.push_back({.version = version, .digest = digest, .at = now});
    if (self.newest.version == version) {
        self.newest = {};
    }
    if (is_repeated) {
        return;
    }
    const auto lines = describe(found);
    self.reporting.rejected =
        rejection{.node = node_id{members.self.node}, .version = version, .findings = lines};
    self.reporting.is_report_due = true;
    wanted.logs.push_back({.level = log_level::error,
                           .name = "config_rejected",
                           .fields = {{"version", std::to_string(version.value)},
                                      {"digest", digest.value},
                                      {"from", from.empty() ? "store" : from.value},
                                      {"findings", std::to_string(found.size())},
                                      {"first", lines.empty() ? "" : lines.front()}}});
}

bool is_refused(const state& self, config_version version, const digest_id& digest) {
    return std::any_of(self.refused.begin(), self.refused.end(), [&](const auto& each) {
        return each.version == version && each.mismatches == 0 &&
               (digest.empty() || each.digest == digest);
    });
}

void forget_refusals(state& self, instant now) {
    std::erase_if(self.refused,
                  [&](const refused_version& each) { return now - each.at >= refusal_memory; });
}

void log_conflict(state& self, const digest_id& other, const node_id& from, actions& wanted) {
    if (self.logged_conflict == other) {
        return;
    }
    self.logged_conflict = other;
    wanted.logs.push_back({.level = log_level::error,
                           .name = "config_conflict",
                           .fields = {{"version", std::to_string(self.held->version.value)},
                                      {"held", self.held->digest.value},
                                      {"other", other.value},
                                      {"from", from.empty() ? "store" : from.value}}});
}

} // namespace cyclamenhatch::distribution

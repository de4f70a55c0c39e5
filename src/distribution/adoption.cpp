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
/// Skipped versions are recorded as progress only if there are at most this many.
constexpr std::uint64_t skipped_version_limit = 32;
constexpr std::size_t refusal_limit = 32;
constexpr seconds refusal_memory{30};
constexpr std::size_t reported_finding_limit = 4;
constexpr std::size_t finding_length_limit = 300;
/// Random members that get a notice of a new version, in addition to the push targets.
constexpr std::size_t notice_fan_out = 3;

void note_progress(state& self, const snapshot_ptr& before, const snapshot& accepted, instant now) {
    if (before && accepted.version.value - before->version.value <= skipped_version_limit) {
        for (auto skipped = before->version.value + 1; skipped < accepted.version.value;
             ++skipped) {
            self.progress.push_back({.version = config_version{skipped}, .accepted_at = now});
        }
    }
    self.progress.push_back(
        {.version = accepted.version, .accepted_at = now, .operations = accepted.operations});
    if (self.progress.size() > progress_limit) {
        const auto excess = self.progress.size() - progress_limit;
        self.progress.erase(self.progress.begin(),
                            self.progress.begin() + static_cast<std::ptrdiff_t>(excess));
    }
}

/// Pushes the change since `before`. A received delta with that base is forwarded unchanged, since
/// it is known to produce the held configuration; otherwise a new delta is made.
void push_delta(state& self, const snapshot& before, const origin& source,
                const step_context& context) {
    const bool is_forwarded =
        source.delta != nullptr && source.delta->base_version == before.version.value;
    const auto delta = is_forwarded ? *source.delta : make_delta(before, *self.config);
    for (const auto* receiver :
         push_targets(context.members, self.settings.push_peers, self.settings.push_peers_across)) {
        if (receiver->node != source.sender.value) {
            send_counted(self, make_outgoing(*receiver, delta), context);
        }
    }
}

void send_notices(const state& self, const node_id& sender, const step_context& context) {
    for (const auto* receiver :
         membership::choose_members(context.members, notice_fan_out, context.random)) {
        if (receiver->node != sender.value) {
            context.out.sends.push_back(make_outgoing(*receiver, make_notice(self.config)));
        }
    }
}

void apply_pending_delta(state& self, const node_id& sender, const step_context& context) {
    std::erase_if(self.pending_deltas, [&](const msg::config_delta_msg& delta) {
        return delta.version <= self.config->version.value;
    });
    const auto next = std::find_if(self.pending_deltas.begin(), self.pending_deltas.end(),
                                   [&](const msg::config_delta_msg& delta) {
                                       return delta.base_version <= self.config->version.value;
                                   });
    if (next == self.pending_deltas.end()) {
        return;
    }
    const auto delta = *next;
    self.pending_deltas.erase(next);
    const auto applied = apply_delta(*self.config, delta);
    if (const auto* config = std::get_if<snapshot_ptr>(&applied)) {
        ++self.counts.deltas_needed;
        adopt(self, *config, {sender, payload_bytes(delta), &delta}, context);
    }
}

std::vector<std::string> describe(const findings& problems) {
    std::vector<std::string> lines;
    for (const auto& finding : problems) {
        if (lines.size() == reported_finding_limit) {
            break;
        }
        lines.push_back(to_string(finding).substr(0, finding_length_limit));
    }
    return lines;
}

} // namespace

bool is_newer(const state& self, config_version version) {
    return !self.config || version > self.config->version;
}

bool adopt(state& self, const snapshot_ptr& config, const origin& source,
           const step_context& context) {
    const auto& sender = source.sender;
    if (!config || !is_newer(self, config->version)) {
        return false;
    }
    const auto before = self.config;
    self.config = config;
    self.history.push_back(config);
    if (self.history.size() > history_limit) {
        self.history.erase(self.history.begin());
    }
    note_progress(self, before, *config, context.now);
    self.needs_whole_sections = false;
    self.reporting.is_report_due = true;
    if (self.reporting.rejected && self.reporting.rejected->version <= config->version) {
        self.reporting.rejected.reset();
    }
    context.out.logs.push_back({.name = "config_held",
                                .fields = {{"version", std::to_string(config->version.value)},
                                           {"from", sender.empty() ? "store" : sender.value},
                                           {"bytes", std::to_string(source.bytes)}}});
    if (before) {
        push_delta(self, *before, source, context);
    }
    // The first configuration, when it comes from a member, is not news to others.
    if (before || sender.empty()) {
        send_notices(self, sender, context);
    }
    apply_pending_delta(self, sender, context);
    return true;
}

void refuse(state& self, config_version version, const digest_id& digest, const findings& problems,
            const node_id& sender, const membership::table& members, instant now, actions& out) {
    const bool is_repeated = is_refused(self, version, digest);
    if (self.refused.size() >= refusal_limit) {
        self.refused.erase(self.refused.begin());
    }
    self.refused.push_back({.version = version, .digest = digest, .refused_at = now});
    if (self.newest.version == version) {
        self.newest = {};
    }
    if (is_repeated) {
        return;
    }
    const auto lines = describe(problems);
    self.reporting.rejected =
        rejection{.node = node_id{members.self.node}, .version = version, .findings = lines};
    self.reporting.is_report_due = true;
    out.logs.push_back({.level = log_level::error,
                        .name = "config_rejected",
                        .fields = {{"version", std::to_string(version.value)},
                                   {"digest", digest.value},
                                   {"from", sender.empty() ? "store" : sender.value},
                                   {"findings", std::to_string(problems.size())},
                                   {"first", lines.empty() ? "" : lines.front()}}});
}

bool is_refused(const state& self, config_version version, const digest_id& digest) {
    return std::any_of(self.refused.begin(), self.refused.end(), [&](const auto& refusal) {
        return refusal.version == version && refusal.mismatches == 0 &&
               (digest.empty() || refusal.digest == digest);
    });
}

void forget_refusals(state& self, instant now) {
    std::erase_if(self.refused, [&](const refused_version& refusal) {
        return now - refusal.refused_at >= refusal_memory;
    });
}

void log_conflict(state& self, const digest_id& other, const node_id& sender, actions& out) {
    if (self.logged_conflict == other) {
        return;
    }
    self.logged_conflict = other;
    out.logs.push_back({.level = log_level::error,
                        .name = "config_conflict",
                        .fields = {{"version", std::to_string(self.config->version.value)},
                                   {"held", self.config->digest.value},
                                   {"other", other.value},
                                   {"from", sender.empty() ? "store" : sender.value}}});
}

} // namespace cyclamenhatch::distribution

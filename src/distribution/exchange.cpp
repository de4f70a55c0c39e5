#include "distribution/exchange.h"

#include "distribution/adoption.h"
#include "distribution/counting.h"
#include "distribution/peers.h"
#include "distribution/refresh.h"
#include "distribution/transfer.h"
#include "membership/updates.h"

#include <algorithm>

namespace cyclamenhatch::distribution {
namespace {

constexpr milliseconds pull_timeout{1000};
/// Wait before a pull, since a delta in transit may make it unnecessary.
constexpr milliseconds pull_delay{100};
constexpr milliseconds pull_jitter{100};
/// Pause between consecutive pulls.
constexpr milliseconds refresh_interval{200};
/// Delay of the next pull after a refusal, so that a bad version does not cause a loop of pulls.
constexpr seconds refusal_pull_delay{3};
constexpr milliseconds snapshot_window{1000};
constexpr milliseconds retry_after{300};
constexpr milliseconds retry_jitter{400};
constexpr std::size_t pending_delta_limit = 8;
/// Number of deltas with a digest mismatch after which the version is refused.
constexpr int mismatch_limit = 2;

void note_newest(state& self, const node_id& holder, config_version version,
                 const digest_id& digest, const step_context& context) {
    if (!is_newer(self, version) || is_refused(self, version, digest)) {
        return;
    }
    if (self.newest.version >= version && is_newer(self, self.newest.version)) {
        return;
    }
    const bool is_pending = is_newer(self, self.newest.version);
    self.newest = {.version = version, .digest = digest, .holder = holder};
    if (is_pending) {
        return; // A stream of new versions must not postpone the pull forever.
    }
    const auto due = context.now + pull_delay + jitter(context.random, pull_jitter);
    self.pull.not_before = std::max(self.pull.not_before, due);
}

bool needs_pull(const state& self) {
    return !self.config || self.needs_refresh || is_newer(self, self.newest.version);
}

/// The member to pull from: the holder of a newer version if known, else a random member, if
/// possible one not compared yet. Empty if there is none.
node_id choose_source(state& self, const step_context& context) {
    if (self.config && is_newer(self, self.newest.version) && !self.newest.holder.empty()) {
        // Cleared, so that the next pull asks another member if this one does not answer.
        return std::exchange(self.newest.holder, {});
    }
    node_id source;
    for (const auto* member : membership::choose_members(context.members, 4, context.random)) {
        source = node_id{member->node};
        if (!self.refresh.compared.contains(source)) {
            break;
        }
    }
    return source;
}

void tick_pull(state& self, const step_context& context) {
    auto& pull = self.pull;
    if (pull.is_in_flight && context.now - pull.sent >= pull_timeout) {
        pull.is_in_flight = false;
    }
    if (pull.is_in_flight || context.now < pull.not_before || !needs_pull(self)) {
        return;
    }
    const auto source = choose_source(self, context);
    if (source.empty()) {
        return;
    }
    pull = {.is_in_flight = true,
            .target = source,
            .sent = context.now,
            .not_before = context.now + refresh_interval + jitter(context.random, pull_jitter)};
    const auto form = self.needs_whole_sections ? section_form::whole : section_form::patched;
    send_counted(self, make_outgoing(context.members, source, make_pull(self.config, form)),
                 context);
}

void end_pull(state& self, const node_id& sender) {
    if (self.pull.is_in_flight && self.pull.target == sender) {
        self.pull.is_in_flight = false;
    }
}

void refuse_from(state& self, config_version version, const digest_id& digest,
                 const findings& problems, const node_id& sender, const step_context& context) {
    refuse(self, version, digest, problems, sender, context.members, context.now, context.out);
    self.pull.not_before = context.now + refusal_pull_delay + jitter(context.random, retry_jitter);
}

/// Handles a digest mismatch of a delta that answers a pull. It was made from exactly the held
/// configuration, so the sender is wrong. The second mismatch refuses the version.
void count_mismatch(state& self, config_version version, const digest_id& digest,
                    const node_id& sender, const step_context& context) {
    const auto earlier =
        std::find_if(self.refused.begin(), self.refused.end(), [&](const refused_version& refusal) {
            return refusal.version == version && refusal.digest == digest && refusal.mismatches > 0;
        });
    if (earlier == self.refused.end()) {
        self.refused.push_back(
            {.version = version, .digest = digest, .refused_at = context.now, .mismatches = 1});
        return;
    }
    if (++earlier->mismatches < mismatch_limit) {
        return;
    }
    self.refused.erase(earlier);
    refuse_from(self, version, digest,
                {{.path = "digest",
                  .problem = "the changes do not lead to the stated digest " + digest.value,
                  .remedy = "compare the configurations of the members that push it"}},
                sender, context);
}

/// Handles a delta with the held version as base that did not produce its digest. A mismatch with
/// patches does not show that the version is bad, since another build may encode sections
/// differently: the next pull asks for whole sections. Only a mismatch of whole sections in the
/// answer to a pull counts against the version.
void handle_mismatch(state& self, const msg::config_delta_msg& delta, bool is_answer,
                     const node_id& sender, const step_context& context) {
    if (!delta.patched.empty()) {
        self.needs_whole_sections = true;
    } else if (is_answer) {
        count_mismatch(self, config_version{delta.version}, digest_id{delta.digest}, sender,
                       context);
    }
}

/// Counts a whole configuration about to be sent. Returns false when the limit of the current
/// window is reached.
bool admit_snapshot(state& self, instant now) {
    if (now - self.snapshot_window >= snapshot_window) {
        self.snapshot_window = now;
        self.snapshots_in_window = 0;
    }
    if (self.snapshots_in_window >= self.settings.concurrent_snapshots) {
        return false;
    }
    ++self.snapshots_in_window;
    return true;
}

/// The configuration in the history with the version and digest, or null.
snapshot_ptr find_in_history(const state& self, config_version version, const std::string& digest) {
    for (const auto& past : self.history) {
        if (past->version == version && past->digest.value == digest) {
            return past;
        }
    }
    return nullptr;
}

void send_newer(state& self, const node_id& sender, const msg::config_pull_msg& request,
                const step_context& context) {
    // Version 0 may also mean that the requester holds nothing and has no base for a delta.
    const bool has_base = request.version > 0;
    const auto form = request.accepts_patches ? section_form::patched : section_form::whole;
    for (const auto& past : self.history) {
        if (has_base && past->version < self.config->version && has_sections_of(request, *past)) {
            send_counted(
                self, make_outgoing(context.members, sender, make_delta(*past, *self.config, form)),
                context);
            return;
        }
    }
    auto message = make_snapshot_message(*self.config, request);
    if (!message.sections.empty() && !admit_snapshot(self, context.now)) {
        const auto wait = retry_after + jitter(context.random, retry_jitter);
        message.sections.clear();
        message.kept.clear();
        message.retry_after_ms = static_cast<std::uint32_t>(wait.count());
    }
    send_counted(self, make_outgoing(context.members, sender, std::move(message)), context);
}

/// Compares the version and digest reported by a member with the held ones. Returns false, and does
/// nothing, when the version is newer.
bool compare_held(state& self, const node_id& sender, config_version version,
                  const std::string& digest, const step_context& context) {
    if (is_newer(self, version)) {
        return false;
    }
    if (version == self.config->version && !digest.empty() && digest != self.config->digest.value) {
        log_conflict(self, digest_id{digest}, sender, context.out);
    }
    note_compared(self, sender);
    return true;
}

void queue_delta(state& self, const msg::config_delta_msg& delta) {
    const bool is_known = std::any_of(self.pending_deltas.begin(), self.pending_deltas.end(),
                                      [&](const msg::config_delta_msg& pending) {
                                          return pending.version == delta.version &&
                                                 pending.base_version == delta.base_version;
                                      });
    if (is_known) {
        return;
    }
    if (self.pending_deltas.size() >= pending_delta_limit) {
        self.pending_deltas.erase(self.pending_deltas.begin());
    }
    self.pending_deltas.push_back(delta);
}

} // namespace

void tick_exchange(state& self, const step_context& context) {
    forget_refusals(self, context.now);
    tick_pull(self, context);
    if (context.now < self.next_exchange || self.settings.exchange_interval_ms == 0) {
        return;
    }
    const milliseconds interval{self.settings.exchange_interval_ms};
    self.next_exchange = context.now + interval * 3 / 4 + jitter(context.random, interval / 2);
    if (!self.config) {
        return;
    }
    for (const auto* peer : membership::choose_members(context.members, 1, context.random)) {
        context.out.sends.push_back(make_outgoing(*peer, make_notice(self.config)));
    }
}

void on_notice(state& self, const node_id& sender, const msg::config_notice_msg& notice,
               const step_context& context) {
    const config_version version{notice.version};
    const bool is_answer = self.pull.is_in_flight && self.pull.target == sender;
    end_pull(self, sender);
    if (notice.digest.empty()) {
        note_compared(self, sender);
        return;
    }
    if (!compare_held(self, sender, version, notice.digest, context)) {
        note_newest(self, sender, version, digest_id{notice.digest}, context);
        return;
    }
    // A notice that answers a pull was sent by a member that is behind; it pulls by itself.
    if (version == self.config->version || is_answer) {
        return;
    }
    if (const auto past = find_in_history(self, version, notice.digest)) {
        send_counted(self, make_outgoing(context.members, sender, make_delta(*past, *self.config)),
                     context);
        return;
    }
    context.out.sends.push_back(make_outgoing(context.members, sender, make_notice(self.config)));
}

void on_delta(state& self, const node_id& sender, const msg::config_delta_msg& delta,
              const step_context& context) {
    const config_version version{delta.version};
    const digest_id digest{delta.digest};
    const bool is_answer = self.pull.is_in_flight && self.pull.target == sender;
    end_pull(self, sender);
    if (self.config && compare_held(self, sender, version, delta.digest, context)) {
        ++self.counts.deltas_not_needed;
        return;
    }
    if (!self.config || delta.base_version > self.config->version.value) {
        queue_delta(self, delta);
        note_newest(self, sender, version, digest, context);
        return;
    }
    const auto applied = apply_delta(*self.config, delta);
    if (const auto* problems = std::get_if<findings>(&applied)) {
        refuse_from(self, version, digest, *problems, sender, context);
    } else if (const auto* config = std::get_if<snapshot_ptr>(&applied)) {
        ++self.counts.deltas_needed;
        adopt(self, *config, {sender, payload_bytes(delta), &delta}, context);
        note_compared(self, sender);
    } else {
        ++self.counts.deltas_missed;
        // A pushed delta with an older base may lack a change that was made and reverted since.
        if (delta.base_version == self.config->version.value) {
            handle_mismatch(self, delta, is_answer, sender, context);
        }
        note_newest(self, sender, version, digest, context);
    }
}

void on_pull(state& self, const node_id& sender, const msg::config_pull_msg& request,
             const step_context& context) {
    const config_version version{request.version};
    if (!self.config || version > self.config->version) {
        note_newest(self, sender, version, {}, context);
        context.out.sends.push_back(
            make_outgoing(context.members, sender, make_notice(self.config)));
        return;
    }
    // Version 0 in a pull may also mean that the requester holds nothing.
    if (version == self.config->version && version.value > 0) {
        context.out.sends.push_back(
            make_outgoing(context.members, sender, make_notice(self.config)));
        return;
    }
    send_newer(self, sender, request, context);
}

void on_snapshot(state& self, const node_id& sender, const msg::config_snapshot_msg& message,
                 const step_context& context) {
    const config_version version{message.version};
    const digest_id digest{message.digest};
    end_pull(self, sender);
    if (self.config && compare_held(self, sender, version, message.digest, context)) {
        return;
    }
    if (message.retry_after_ms > 0) {
        const milliseconds wait{message.retry_after_ms};
        note_newest(self, {}, version, digest, context);
        self.pull.not_before = context.now + wait / 2 + jitter(context.random, wait / 2);
        return;
    }
    const auto opened = open_snapshot(self.config, message);
    if (const auto* problems = std::get_if<findings>(&opened)) {
        refuse_from(self, version, digest, *problems, sender, context);
    } else if (const auto* config = std::get_if<snapshot_ptr>(&opened)) {
        adopt(self, *config, {sender, payload_bytes(message)}, context);
        note_compared(self, sender);
    } else {
        note_newest(self, sender, version, digest, context);
    }
}

} // namespace cyclamenhatch::distribution

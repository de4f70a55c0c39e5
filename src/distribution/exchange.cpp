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
/// Deltas that are on their way make a pull needless; wait this long for them.
constexpr milliseconds pull_delay{100};
constexpr milliseconds pull_jitter{100};
/// Pause between pulls of a node that holds nothing or refreshes.
constexpr milliseconds refresh_interval{200};
/// Pause after a refusal, so that a bad version does not cause a loop of pulls.
constexpr seconds refused_pause{3};
constexpr milliseconds snapshot_window{1000};
constexpr milliseconds retry_after{300};
constexpr milliseconds retry_jitter{400};
constexpr std::size_t stash_limit = 8;
/// Deltas that miss their digest before the version is refused.
constexpr int mismatch_limit = 2;

void note_newest(state& self, const node_id& holder, config_version version,
                 const digest_id& digest, const step& now) {
    if (!is_newer(self, version) || is_refused(self, version, digest)) {
        return;
    }
    if (self.newest.version >= version && is_newer(self, self.newest.version)) {
        return;
    }
    const bool is_pending = is_newer(self, self.newest.version);
    self.newest = {.version = version, .digest = digest, .holder = holder};
    if (is_pending) {
        return; // A stream of new versions must not put the pull off for ever.
    }
    const auto due = now.now + pull_delay + jitter(now.random, pull_jitter);
    self.pull.not_before = std::max(self.pull.not_before, due);
}

bool wants_pull(const state& self) {
    return !self.held || self.needs_refresh || is_newer(self, self.newest.version);
}

/// The holder of a newer version first; else a random member that was not compared yet.
node_id choose_source(state& self, const step& now) {
    if (self.held && is_newer(self, self.newest.version) && !self.newest.holder.empty()) {
        // Another member is asked when this one does not answer.
        return std::exchange(self.newest.holder, {});
    }
    node_id source;
    for (const auto* each : membership::choose_members(now.members, 4, now.random)) {
        source = node_id{each->node};
        if (!self.refresh.compared.contains(source)) {
            break;
        }
    }
    return source;
}

void tick_pull(state& self, const step& now) {
    auto& pull = self.pull;
    if (pull.is_in_flight && now.now - pull.sent >= pull_timeout) {
        pull.is_in_flight = false;
    }
    if (pull.is_in_flight || now.now < pull.not_before || !wants_pull(self)) {
        return;
    }
    const auto source = choose_source(self, now);
    if (source.empty()) {
        return;
    }
    pull = {.is_in_flight = true,
            .target = source,
            .sent = now.now,
            .not_before = now.now + refresh_interval + jitter(now.random, pull_jitter)};
    const auto form = self.needs_whole_sections ? section_form::whole : section_form::patched;
    send_counted(self, send_to(now.members, source, make_pull(self.held, form)), now);
}

void end_pull(state& self, const node_id& from) {
    if (self.pull.is_in_flight && self.pull.target == from) {
        self.pull.is_in_flight = false;
    }
}

void refuse_from(state& self, config_version version, const digest_id& digest,
                 const findings& found, const node_id& from, const step& now) {
    refuse(self, version, digest, found, from, now.members, now.now, now.wanted);
    self.pull.not_before = now.now + refused_pause + jitter(now.random, retry_jitter);
}

/// A delta that answers a pull, and so was made from exactly what is held, did not lead to its
/// digest: the sender is wrong. Refuses the version when that happens again.
void count_mismatch(state& self, config_version version, const digest_id& digest,
                    const node_id& from, const step& now) {
    const auto known =
        std::find_if(self.refused.begin(), self.refused.end(), [&](const refused_version& each) {
            return each.version == version && each.digest == digest && each.mismatches > 0;
        });
    if (known == self.refused.end()) {
        self.refused.push_back(
            {.version = version, .digest = digest, .at = now.now, .mismatches = 1});
        return;
    }
    if (++known->mismatches < mismatch_limit) {
        return;
    }
    self.refused.erase(known);
    refuse_from(self, version, digest,
                {{.path = "digest",
                  .problem = "the changes do not lead to the stated digest " + digest.value,
                  .remedy = "compare the configurations of the members that push it"}},
                from, now);
}

/// A delta that starts at exactly what is held did not lead to its digest. Patches that don't fit
/// prove nothing against the version, since another build may encode sections differently: whole
/// sections are asked for next, and only those, in the answer to a pull, count against it.
void note_misfit(state& self, const msg::config_delta_msg& delta, bool is_answer,
                 const node_id& from, const step& now) {
    if (!delta.patched.empty()) {
        self.needs_whole_sections = true;
    } else if (is_answer) {
        count_mismatch(self, config_version{delta.version}, digest_id{delta.digest}, from, now);
    }
}

/// Counts a whole configuration that is about to be sent; false when there are too many.
bool take_snapshot_turn(state& self, instant now) {
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
snapshot_ptr find_past(const state& self, config_version version, const std::string& digest) {
    for (const auto& each : self.history) {
        if (each->version == version && each->digest.value == digest) {
            return each;
        }
    }
    return nullptr;
}

void answer_newer(state& self, const node_id& from, const msg::config_pull_msg& asked,
                  const step& now) {
    // An asker that holds nothing looks like one with version 0 and has no base for a delta.
    const bool has_base = asked.version > 0;
    const auto form = asked.accepts_patches ? section_form::patched : section_form::whole;
    for (const auto& past : self.history) {
        if (has_base && past->version < self.held->version && has_sections_of(asked, *past)) {
            send_counted(self, send_to(now.members, from, make_delta(*past, *self.held, form)),
                         now);
            return;
        }
    }
    auto message = make_snapshot_message(*self.held, asked);
    if (!message.sections.empty() && !take_snapshot_turn(self, now.now)) {
        const auto wait = retry_after + jitter(now.random, retry_jitter);
        message.sections.clear();
        message.kept.clear();
        message.retry_after_ms = static_cast<std::uint32_t>(wait.count());
    }
    send_counted(self, send_to(now.members, from, std::move(message)), now);
}

/// Compares what a member says it holds, when that is not newer. Returns whether it was not.
bool compare_held(state& self, const node_id& from, config_version version,
                  const std::string& digest, const step& now) {
    if (is_newer(self, version)) {
        return false;
    }
    if (version == self.held->version && !digest.empty() && digest != self.held->digest.value) {
        log_conflict(self, digest_id{digest}, from, now.wanted);
    }
    note_compared(self, from);
    return true;
}

void stash(state& self, const msg::config_delta_msg& delta) {
    const bool is_known = std::any_of(
        self.stashed.begin(), self.stashed.end(), [&](const msg::config_delta_msg& each) {
            return each.version == delta.version && each.base_version == delta.base_version;
        });
    if (is_known) {
        return;
    }
    if (self.stashed.size() >= stash_limit) {
        self.stashed.erase(self.stashed.begin());
    }
    self.stashed.push_back(delta);
}

} // namespace

void tick_exchange(state& self, const step& now) {
    forget_refusals(self, now.now);
    tick_pull(self, now);
    if (now.now < self.next_exchange || self.settings.exchange_interval_ms == 0) {
        return;
    }
    const milliseconds interval{self.settings.exchange_interval_ms};
    self.next_exchange = now.now + interval * 3 / 4 + jitter(now.random, interval / 2);
    if (!self.held) {
        return;
    }
    for (const auto* peer : membership::choose_members(now.members, 1, now.random)) {
        now.wanted.sends.push_back(send_to(*peer, make_notice(self.held)));
    }
}

void on_notice(state& self, const node_id& from, const msg::config_notice_msg& notice,
               const step& now) {
    const config_version version{notice.version};
    const bool is_answer = self.pull.is_in_flight && self.pull.target == from;
    end_pull(self, from);
    if (notice.digest.empty()) {
        note_compared(self, from);
        return;
    }
    if (!compare_held(self, from, version, notice.digest, now)) {
        note_newest(self, from, version, digest_id{notice.digest}, now);
        return;
    }
    // The answer to a pull says that the sender is behind; it pulls by itself.
    if (version == self.held->version || is_answer) {
        return;
    }
    if (const auto past = find_past(self, version, notice.digest)) {
        send_counted(self, send_to(now.members, from, make_delta(*past, *self.held)), now);
        return;
    }
    now.wanted.sends.push_back(send_to(now.members, from, make_notice(self.held)));
}

void on_delta(state& self, const node_id& from, const msg::config_delta_msg& delta,
              const step& now) {
    const config_version version{delta.version};
    const digest_id digest{delta.digest};
    const bool is_answer = self.pull.is_in_flight && self.pull.target == from;
    end_pull(self, from);
    if (self.held && compare_held(self, from, version, delta.digest, now)) {
        ++self.counts.deltas_not_needed;
        return;
    }
    if (!self.held || delta.base_version > self.held->version.value) {
        stash(self, delta);
        note_newest(self, from, version, digest, now);
        return;
    }
    const auto applied = apply_delta(*self.held, delta);
    if (const auto* found = std::get_if<findings>(&applied)) {
        refuse_from(self, version, digest, *found, from, now);
    } else if (const auto* built = std::get_if<snapshot_ptr>(&applied)) {
        ++self.counts.deltas_needed;
        adopt(self, *built, {from, payload_bytes(delta), &delta}, now);
        note_compared(self, from);
    } else {
        ++self.counts.deltas_missed;
        // A pushed delta may start below what is held and miss a change that was taken back.
        if (delta.base_version == self.held->version.value) {
            note_misfit(self, delta, is_answer, from, now);
        }
        note_newest(self, from, version, digest, now);
    }
}

void on_pull(state& self, const node_id& from, const msg::config_pull_msg& asked, const step& now) {
    const config_version version{asked.version};
    if (!self.held || version > self.held->version) {
        note_newest(self, from, version, {}, now);
        now.wanted.sends.push_back(send_to(now.members, from, make_notice(self.held)));
        return;
    }
    // Version 0 in a pull may also mean that the asker holds nothing.
    if (version == self.held->version && version.value > 0) {
        now.wanted.sends.push_back(send_to(now.members, from, make_notice(self.held)));
        return;
    }
    answer_newer(self, from, asked, now);
}

void on_snapshot(state& self, const node_id& from, const msg::config_snapshot_msg& message,
                 const step& now) {
    const config_version version{message.version};
    const digest_id digest{message.digest};
    end_pull(self, from);
    if (self.held && compare_held(self, from, version, message.digest, now)) {
        return;
    }
    if (message.retry_after_ms > 0) {
        const milliseconds wait{message.retry_after_ms};
        note_newest(self, {}, version, digest, now);
        self.pull.not_before = now.now + wait / 2 + jitter(now.random, wait / 2);
        return;
    }
    const auto opened = open_snapshot(self.held, message);
    if (const auto* found = std::get_if<findings>(&opened)) {
        refuse_from(self, version, digest, *found, from, now);
    } else if (const auto* built = std::get_if<snapshot_ptr>(&opened)) {
        adopt(self, *built, {from, payload_bytes(message)}, now);
        note_compared(self, from);
    } else {
        note_newest(self, from, version, digest, now);
    }
}

} // namespace cyclamenhatch::distribution

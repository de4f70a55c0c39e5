#include "store/path_probe.h"

namespace cyclamenhatch::store {
namespace {

/// Time without an answer after which a read is sent.
constexpr milliseconds probe_interval{400};
/// A read without an answer after this time counts as lost. It is above the answer times of a
/// service that is only slow.
constexpr milliseconds probe_timeout{400};
/// Ticks that also have to pass: a process that runs late has not received what has arrived.
constexpr std::uint32_t min_ticks_waited = 3;

} // namespace

path_probe make_path_probe(const std::string& prefix) {
    return {.key = prefix + "path-probe"};
}

void on_tick(path_probe& probe, bool is_watching, instant now, std::vector<kv_request>& requests) {
    if (!is_watching && !probe.is_silent) {
        probe.pending = {};
        return;
    }
    ++probe.ticks_waited;
    if (is_lost(probe.pending, probe_timeout, now) && probe.ticks_waited >= min_ticks_waited) {
        probe.pending = {};
        probe.is_silent = true;
    }
    if (probe.pending.id == 0 && now - probe.last_heard >= probe_interval) {
        probe.pending = {probe.next_request++, now};
        probe.ticks_waited = 0;
        requests.push_back({probe.pending.id, kv_range{.key = probe.key, .may_be_stale = true}});
    }
}

bool on_response(path_probe& probe, const kv_response& response, instant now) {
    if (!is_issued_from(probe_request_base, response.id)) {
        return false;
    }
    // A failure that comes in time is an answer too: the requests of the watch meet it as well. A
    // late answer is one of a path that is too slow to rely on.
    if (response.id == probe.pending.id) {
        probe.is_silent = false;
        note_heard(probe, now);
    }
    return true;
}

void note_heard(path_probe& probe, instant now) {
    if (probe.is_silent) {
        return;
    }
    probe.pending = {};
    probe.last_heard = now;
}

void forget_pending(path_probe& probe) {
    probe.pending = {};
}

} // namespace cyclamenhatch::store

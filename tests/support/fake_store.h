#pragma once

#include "model/time.h"
#include "store/kv.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// The platform's key-value service in memory and in virtual time, with faults. No input or output:
/// a request is sent at one instant, takes effect at a later one, and its answer arrives at a
/// third.
namespace cyclamenhatch::fakes {

struct store_faults {
    /// Connections are refused: answered with not_run.
    bool is_down = false;
    /// Requests never arrive and watches report nothing: answered with unknown after the timeout.
    bool is_silent = false;
    /// Requests take effect, but are answered with unknown after the timeout.
    bool loses_answers = false;
    milliseconds request_delay{1};
    milliseconds answer_delay{1};
    /// Time after which the sender gets an unknown outcome; the request may take effect later.
    milliseconds timeout{1000};
    /// Time after which a client notices by itself that a watch is cut off in silence.
    milliseconds watch_timeout{2100};
};

struct store_delivery {
    instant due;
    /// Name of the client that sent the request.
    std::string client;
    store::kv_response response;
};

struct in_flight_request {
    instant due;
    std::string client;
    store::kv_request request;
    instant answer_limit;
    bool loses_answer = false;
};

struct active_watch {
    std::string client;
    std::uint64_t id = 0;
    store::kv_watch request;
};

struct active_lease {
    seconds ttl{0};
    instant expires;
};

struct saved_store {
    std::map<std::string, store::kv_entry> entries;
    std::int64_t revision = 1;
};

struct fake_store {
    store_faults faults;
    std::map<std::string, store::kv_entry> entries;
    std::map<std::string, std::int64_t> key_leases;
    std::int64_t revision = 1;
    /// 0 for a service that states no era.
    std::uint64_t era = 0;
    std::int64_t compacted = 0;
    std::int64_t next_lease = 1;
    std::map<std::int64_t, active_lease> leases;
    std::vector<store::kv_change> history;
    std::vector<active_watch> watches;
    std::vector<in_flight_request> in_flight;
    std::vector<store_delivery> answers;
    /// Clients whose path to the service loses everything in both directions, without an error.
    std::set<std::string> cut_off;
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

inline bool is_covered(const std::string& key, const std::string& range_key, bool is_prefix) {
    return is_prefix ? key.compare(0, range_key.size(), range_key) == 0 : key == range_key;
}

inline void answer(fake_store& fake, instant due, const std::string& client, std::uint64_t id,
                   decltype(store::kv_response::outcome) outcome) {
    fake.answers.push_back({due, client, {id, std::move(outcome), fake.era}});
}

inline void report_change(fake_store& fake, const store::kv_change& change, instant now) {
    fake.history.push_back(change);
    if (fake.faults.is_silent) {
        return;
    }
    for (const auto& watch : fake.watches) {
        if (change.entry.mod_revision >= watch.request.from_revision &&
            is_covered(change.entry.key, watch.request.key, watch.request.is_prefix)) {
            answer(fake, now + fake.faults.answer_delay, watch.client, watch.id,
                   store::kv_changes{change.entry.mod_revision, {change}});
        }
    }
}

inline void write_key(fake_store& fake, const store::kv_put& put, instant now) {
    const store::kv_entry entry{put.key, put.value, fake.revision};
    fake.entries[put.key] = entry;
    fake.key_leases[put.key] = put.lease;
    report_change(fake, {entry, false}, now);
}

inline void delete_key(fake_store& fake, const std::string& key, instant now) {
    if (fake.entries.erase(key) > 0) {
        fake.key_leases.erase(key);
        report_change(fake, {{key, "", fake.revision}, true}, now);
    }
}

inline void lapse_lease(fake_store& fake, std::int64_t lease, instant now) {
    fake.leases.erase(lease);
    const auto key_leases = fake.key_leases;
    for (const auto& [key, key_lease] : key_leases) {
        if (key_lease == lease) {
            ++fake.revision;
            delete_key(fake, key, now);
        }
    }
}

/// Carries out one operation and returns its outcome.
struct fake_execution {
    fake_store& fake;
    const in_flight_request& request;
    instant now;
    using outcome = decltype(store::kv_response::outcome);

    outcome operator()(const store::kv_range& range) const {
        ++fake.reads;
        store::kv_entries read{fake.revision, {}};
        for (const auto& [key, entry] : fake.entries) {
            if (is_covered(key, range.key, range.is_prefix)) {
                read.entries.push_back(entry);
            }
        }
        return read;
    }

    outcome operator()(const store::kv_transaction& transaction) const {
        ++fake.writes;
        for (const auto& compare : transaction.compares) {
            const auto entry = fake.entries.find(compare.key);
            const auto actual = entry == fake.entries.end() ? 0 : entry->second.mod_revision;
            if (actual != compare.mod_revision) {
                return store::kv_transaction_done{fake.revision, false};
            }
        }
        for (const auto& put : transaction.puts) {
            if (put.lease != 0 && fake.leases.count(put.lease) == 0) {
                return store::kv_failure{store::kv_failure_kind::not_run, "no such lease"};
            }
        }
        ++fake.revision;
        for (const auto& put : transaction.puts) {
            write_key(fake, put, now);
        }
        for (const auto& key : transaction.deletes) {
            delete_key(fake, key, now);
        }
        return store::kv_transaction_done{fake.revision, true};
    }

    outcome operator()(const store::kv_lease_grant& grant) const {
        ++fake.writes;
        const auto lease = fake.next_lease++;
        fake.leases[lease] = {grant.ttl, now + grant.ttl};
        return store::kv_lease{lease, grant.ttl};
    }

    outcome operator()(const store::kv_lease_keepalive& keepalive) const {
        ++fake.writes;
        const auto lease = fake.leases.find(keepalive.lease);
        if (lease == fake.leases.end()) {
            return store::kv_lease{keepalive.lease, seconds{0}};
        }
        lease->second.expires = now + lease->second.ttl;
        return store::kv_lease{keepalive.lease, lease->second.ttl};
    }

    outcome operator()(const store::kv_lease_revoke& revoke) const {
        ++fake.writes;
        lapse_lease(fake, revoke.lease, now);
        return store::kv_lease{revoke.lease, seconds{0}};
    }

    /// Answers a watch with the changes since its first revision, or an empty set to confirm it.
    outcome operator()(const store::kv_watch& watch) const {
        ++fake.reads;
        const bool is_lost = fake.era > 0 && watch.from_revision > fake.revision + 1;
        if (is_lost || (watch.from_revision != 0 && watch.from_revision <= fake.compacted)) {
            return store::kv_failure{store::kv_failure_kind::compacted, "compacted"};
        }
        fake.watches.push_back({request.client, request.request.id, watch});
        store::kv_changes missed{fake.revision, {}};
        for (const auto& change : fake.history) {
            if (watch.from_revision != 0 && change.entry.mod_revision >= watch.from_revision &&
                is_covered(change.entry.key, watch.key, watch.is_prefix)) {
                missed.changes.push_back(change);
            }
        }
        return missed;
    }

    outcome operator()(const store::kv_watch_cancel& /*cancel*/) const { return {}; }
};

/// Sends a request at `now`.
inline void send(fake_store& fake, const std::string& client, const store::kv_request& request,
                 instant now) {
    using store::kv_failure;
    using store::kv_failure_kind;
    if (const auto* cancel = std::get_if<store::kv_watch_cancel>(&request.operation)) {
        fake.watches.erase(std::remove_if(fake.watches.begin(), fake.watches.end(),
                                          [&](const active_watch& watch) {
                                              return watch.client == client &&
                                                     watch.id == cancel->watch;
                                          }),
                           fake.watches.end());
        return;
    }
    if (fake.faults.is_down) {
        answer(fake, now + fake.faults.answer_delay, client, request.id,
               kv_failure{kv_failure_kind::not_run, "connection refused"});
        return;
    }
    if (fake.cut_off.contains(client)) {
        const bool is_watch = std::holds_alternative<store::kv_watch>(request.operation);
        answer(fake, now + (is_watch ? fake.faults.watch_timeout : fake.faults.timeout), client,
               request.id,
               kv_failure{is_watch ? kv_failure_kind::watch_closed : kv_failure_kind::unknown,
                          "timeout"});
        return;
    }
    const instant limit = now + fake.faults.timeout;
    if (fake.faults.is_silent) {
        answer(fake, limit, client, request.id, kv_failure{kv_failure_kind::unknown, "timeout"});
        return;
    }
    fake.in_flight.push_back(
        {now + fake.faults.request_delay, client, request, limit, fake.faults.loses_answers});
    if (fake.faults.loses_answers || now + fake.faults.request_delay > limit) {
        answer(fake, limit, client, request.id, kv_failure{kv_failure_kind::unknown, "timeout"});
        fake.in_flight.back().loses_answer = true;
    }
}

/// Lets all requests that are due by `now` take effect, in the order of their arrival, expires
/// leases, and returns the answers that are due, in their order.
inline std::vector<store_delivery> advance(fake_store& fake, instant now) {
    std::stable_sort(fake.in_flight.begin(), fake.in_flight.end(),
                     [](const auto& a, const auto& b) { return a.due < b.due; });
    while (!fake.in_flight.empty() && fake.in_flight.front().due <= now) {
        const auto request = fake.in_flight.front();
        fake.in_flight.erase(fake.in_flight.begin());
        auto outcome =
            std::visit(fake_execution{fake, request, request.due}, request.request.operation);
        if (!request.loses_answer) {
            answer(fake, request.due + fake.faults.answer_delay, request.client, request.request.id,
                   std::move(outcome));
        }
    }
    const auto leases = fake.leases;
    for (const auto& [id, lease] : leases) {
        if (lease.expires <= now) {
            lapse_lease(fake, id, now);
        }
    }
    std::stable_sort(fake.answers.begin(), fake.answers.end(),
                     [](const auto& a, const auto& b) { return a.due < b.due; });
    const auto end = std::find_if(fake.answers.begin(), fake.answers.end(),
                                  [&](const auto& delivery) { return delivery.due > now; });
    std::vector<store_delivery> due(fake.answers.begin(), end);
    fake.answers.erase(fake.answers.begin(), end);
    return due;
}

/// Cuts a client off in silence: its requests and the answers under way are lost, and its watches
/// report nothing until the client gives them up.
inline void cut_off(fake_store& fake, const std::string& client, instant now) {
    fake.cut_off.insert(client);
    std::erase_if(fake.answers, [&](const auto& delivery) { return delivery.client == client; });
    for (const auto& watch : fake.watches) {
        if (watch.client == client) {
            answer(fake, now + fake.faults.watch_timeout, client, watch.id,
                   store::kv_failure{store::kv_failure_kind::watch_closed, "timeout"});
        }
    }
    std::erase_if(fake.watches, [&](const auto& watch) { return watch.client == client; });
    for (auto& request : fake.in_flight) {
        request.loses_answer = request.loses_answer || request.client == client;
    }
}

/// Ends all watches, as a closed connection does.
inline void close_watches(fake_store& fake, instant now) {
    for (const auto& watch : fake.watches) {
        answer(fake, now, watch.client, watch.id,
               store::kv_failure{store::kv_failure_kind::watch_closed, "connection closed"});
    }
    fake.watches.clear();
}

/// Takes the service down or up. Requests in flight still take effect. Going down ends all watches.
inline void set_down(fake_store& fake, bool is_down, instant now) {
    fake.faults.is_down = is_down;
    if (is_down) {
        close_watches(fake, now);
    }
}

/// Deletes the history up to the current revision, so that no new watch can start within it.
inline void compact(fake_store& fake) {
    fake.compacted = fake.revision;
    fake.history.clear();
}

/// Expires all leases at once, as after a pause of the clients that hold them.
inline void lapse_leases(fake_store& fake, instant now) {
    const auto leases = fake.leases;
    for (const auto& [id, lease] : leases) {
        lapse_lease(fake, id, now);
    }
}

inline saved_store save(const fake_store& fake) {
    return {fake.entries, fake.revision};
}

/// Restores saved content, as from a backup. All watches end.
inline void restore(fake_store& fake, const saved_store& saved, instant now) {
    fake.entries = saved.entries;
    fake.revision = saved.revision;
    fake.history.clear();
    fake.compacted = 0;
    close_watches(fake, now);
}

/// Comes back from an older copy of itself: what was written since is gone, with all leases, its
/// revisions are given out again, and watches from a later one fail.
inline void restore_in_new_era(fake_store& fake, const saved_store& saved, instant now) {
    ++fake.era;
    fake.leases.clear();
    restore(fake, saved, now);
    std::erase_if(fake.entries, [&](const auto& item) {
        const auto lease = fake.key_leases.find(item.first);
        return lease != fake.key_leases.end() && lease->second != 0;
    });
    fake.key_leases.clear();
}

} // namespace cyclamenhatch::fakes

#include "node/node_runtime.h"

#include "clock/process_clock.h"
#include "membership/announced_leave.h"
#include "model/handler_guard.h"
#include "node/log_writer.h"

#include <random>
#include <utility>

namespace cyclamenhatch::node {
namespace {

/// Limit of samples kept between two ticks; further ones are dropped.
constexpr std::size_t max_samples = 100'000;

/// A reply with the callbacks that wait for it.
struct matched_reply {
    store::write_reply reply;
    std::vector<write_callback> callbacks;
};

std::vector<matched_reply> match_replies(node_runtime& node,
                                         std::vector<store::write_reply>&& replies) {
    std::vector<matched_reply> matched;
    for (auto& reply : replies) {
        matched_reply match{std::move(reply), {}};
        const auto [first, last] = node.waiting_writes.equal_range(match.reply.operation);
        for (auto it = first; it != last; ++it) {
            match.callbacks.push_back(std::move(it->second));
        }
        node.waiting_writes.erase(first, last);
        matched.push_back(std::move(match));
    }
    return matched;
}

/// Publishes a new view and its stale copy when anything that they are built from has changed.
void refresh_view(node_runtime& node, instant now) {
    const bool is_ready = control::is_ready(node.control);
    const bool has_moves = !moves::version_shares(node.control.moves, now).empty();
    const bool is_same = node.view_generation == node.control.members.generation &&
                         node.view_quarantine == node.control.quarantine.generation &&
                         node.view_config == node.control.distribution.config &&
                         node.view_is_ready == is_ready;
    if (is_same && !has_moves && !node.control.is_leaving) {
        return;
    }
    node.view_generation = node.control.members.generation;
    node.view_quarantine = node.control.quarantine.generation;
    node.view_config = node.control.distribution.config;
    node.view_is_ready = is_ready;
    auto built =
        std::make_shared<const call::routing_view>(control::make_routing_view(node.control, now));
    auto stale = std::make_shared<call::routing_view>(*built);
    stale->is_ready = false;
    const std::lock_guard<std::mutex> guard(node.view_lock);
    node.view = std::move(built);
    node.stale_view = std::move(stale);
}

void carry_out(node_runtime& node, control::actions&& actions,
               std::vector<matched_reply>&& replies) {
    for (auto& message : actions.sends) {
        if (message.to == node.control.allowances.self) {
            // The answer to a request of this node's own entry.
            edge::on_message(*node.calls, incoming{message.to, std::move(message.message)});
            continue;
        }
        wire::send(*node.links, std::move(message));
    }
    for (const auto& request : actions.requests) {
        node.store.execute(request);
    }
    for (const auto& event : actions.logs) {
        write_log(event);
    }
    for (const auto& match : replies) {
        for (const auto& callback : match.callbacks) {
            callback(match.reply);
        }
    }
}

/// Whether the entry has asked for this loan; without a number it is a bucket that a keeper hands
/// over.
bool is_answer_to_entry(const peer_message& message) {
    const auto* loan = std::get_if<msg::allowance_loan_msg>(&message);
    return loan != nullptr && loan->sequence != 0;
}

/// Whether this node knows the configuration and the other members, so that it can route the calls
/// that its upstream makes, and whether that upstream has announced its leave to an earlier
/// process.
bool is_serving(const node_runtime& node, instant now) {
    return node.control.members.has_joined && distribution::is_ready(node.control.distribution) &&
           store::has_read_leave(node.control.leaves, now);
}

/// An announcement that is this late doesn't say that its upstream has become cold again.
constexpr milliseconds cold_tolerance{500};

/// Updates the member table with the upstream beside this node. A ready upstream is held back while
/// the node is not serving, so other nodes see it as starting.
void set_own_upstream(node_runtime& node, const msg::upstream_record_msg& upstream, instant now,
                      control::actions& actions) {
    node.pending_upstream.reset();
    if (upstream.state == msg::upstream_state::ready && !is_serving(node, now)) {
        node.pending_upstream = upstream;
        return;
    }
    const auto& current = node.control.members.self.upstream;
    // A new sequence number or less remaining cold time alone is not sent to other nodes, but that
    // the upstream has become cold again is.
    auto record = upstream;
    record.sequence = 0;
    record.leaves = membership::has_announced_leave(node.upstream_run);
    const bool is_same_run =
        current && current->instance == record.instance && current->started_ms == record.started_ms;
    if (is_same_run && (record.cold_ms == 0 || now < node.cold_until)) {
        record.cold_ms = current->cold_ms;
    }
    node.cold_until = now + milliseconds{upstream.cold_ms} + cold_tolerance;
    if (!current || *current != record) {
        control::set_upstream(node.control, record, now, actions);
    }
}

/// Marks the upstream as gone when it has not renewed its announcement in time.
void expire_announcement(node_runtime& node, instant now, control::actions& actions) {
    const auto& upstream = node.control.members.self.upstream;
    const bool is_present = upstream && upstream->state != msg::upstream_state::none &&
                            upstream->state != msg::upstream_state::gone;
    const milliseconds ttl{node.settings.call->announcement_ttl_ms};
    if (!is_present || now - node.upstream_run.updated_at <= ttl) {
        return;
    }
    auto expired = *upstream;
    expired.state = msg::upstream_state::gone;
    control::set_upstream(node.control, expired, now, actions);
    actions.logs.push_back(
        {log_level::warning, "upstream_expired", {{"service", expired.service}}});
}

/// Applies a leave of the upstream that an earlier process of this node has confirmed and that
/// other members remember. Returns the record for the gate, nothing if there is no such leave.
std::optional<msg::upstream_record_msg> recover_leave(node_runtime& node, instant now,
                                                      control::actions& actions) {
    const auto& own_record = node.control.members.self.upstream;
    if (!membership::recover_leave(node.upstream_run, own_record.get(), now)) {
        return std::nullopt;
    }
    node.pending_upstream.reset();
    actions.logs.push_back({log_level::info,
                            "upstream_leave_recovered",
                            {{"instance", own_record->instance},
                             {"started_ms", std::to_string(own_record->started_ms)},
                             {"state", msg::EnumNameupstream_state(own_record->state)}}});
    return *own_record;
}

/// Valid while the control lock is held.
membership::replacement_rules make_replacement_rules(const node_runtime& node) {
    membership::replacement_rules rules{
        .silence = milliseconds{node.settings.call->announcement_ttl_ms} / 2};
    const auto& config = node.control.distribution.config;
    if (config && !config->sections.empty()) {
        rules.is_configured = [config](const std::string& service) {
            const service_id name{service};
            return name != fleet_section_name() && config->sections.contains(name);
        };
    }
    return rules;
}

/// An announcement whose wait for the store has ended.
struct settled_confirmation {
    std::function<void(bool is_confirmed)> done;
    bool is_confirmed = false;
};

/// Removes and returns the announcements that are confirmed now or have waited too long.
std::vector<settled_confirmation> settle_confirmations(node_runtime& node, instant now,
                                                       control::actions& actions) {
    const auto& leaves = node.control.leaves;
    std::vector<settled_confirmation> settled;
    std::size_t refused = 0;
    std::erase_if(node.waiting_confirmations, [&](waiting_confirmation& waiting) {
        const auto decision = store::check_confirmation(leaves, waiting.announced_at, now);
        if (decision == store::leave_confirmation::pending) {
            return false;
        }
        const bool is_confirmed = decision == store::leave_confirmation::granted;
        refused += is_confirmed ? 0 : 1;
        settled.push_back({std::move(waiting.done), is_confirmed});
        return true;
    });
    if (refused > 0) {
        node.unconfirmed_leaves += refused;
        actions.logs.push_back({log_level::warning,
                                "leave_unconfirmed",
                                {{"instance", leaves.leave->instance},
                                 {"announcements", std::to_string(refused)},
                                 {"reason", "not stored in time"}}});
    }
    return settled;
}

void log_high_traffic(node_runtime& node, instant now) {
    const auto sent = wire::counters(*node.links).bytes_sent;
    for (const auto& high : wire::find_high_traffic(node.traffic, sent, now)) {
        write_log({log_level::warning,
                   "traffic_high",
                   {{"kind", std::string(wire::traffic_name(static_cast<std::size_t>(high.kind)))},
                    {"bytes_per_s", std::to_string(high.bytes_per_s)},
                    {"limit", std::to_string(wire::control_bytes_per_s)}}});
    }
}

} // namespace

node_runtime::node_runtime(const msg::settings_msg& initial_settings,
                           const std::optional<feed::config_format>& format)
    : settings(initial_settings),
      control(
          control::make_state(initial_settings, std::random_device{}(), current_time(), format)),
      view(std::make_shared<const call::routing_view>(
          control::make_routing_view(control, current_time()))) {}

void step(node_runtime& node, const std::function<void(instant, control::actions&)>& event) {
    const shared_state_scope scope;
    control::actions actions;
    std::vector<matched_reply> replies;
    std::vector<settled_confirmation> confirmations;
    {
        const std::lock_guard<std::mutex> guard(node.control_lock);
        const auto now = current_time();
        event(now, actions);
        refresh_view(node, now);
        replies = match_replies(node, std::exchange(actions.replies, {}));
        confirmations = settle_confirmations(node, now, actions);
    }
    carry_out(node, std::move(actions), std::move(replies));
    for (const auto& confirmation : confirmations) {
        confirmation.done(confirmation.is_confirmed);
    }
}

void tick(node_runtime& node) {
    std::vector<call::call_sample> samples;
    {
        const std::lock_guard<std::mutex> guard(node.samples_lock);
        samples.swap(node.samples);
    }
    std::optional<msg::upstream_record_msg> recovered;
    step(node, [&](instant now, control::actions& actions) {
        control::record_samples(node.control, samples, now);
        recovered = recover_leave(node, now, actions);
        if (node.pending_upstream && is_serving(node, now)) {
            set_own_upstream(node, msg::upstream_record_msg(*node.pending_upstream), now, actions);
        }
        expire_announcement(node, now, actions);
        control::on_tick(node.control, now, actions);
    });
    if (recovered) {
        edge::set_upstream_state(*node.calls, *recovered);
    }
    log_high_traffic(node, current_time());
    const std::lock_guard<std::mutex> guard(node.view_lock);
    node.last_tick = current_time();
}

void dispatch(node_runtime& node, incoming message) {
    if (is_call_message(message.message) || is_answer_to_entry(message.message)) {
        edge::on_message(*node.calls, message);
        return;
    }
    step(node, [&](instant now, control::actions& actions) {
        control::on_message(node.control, message, now, actions);
    });
}

void write(node_runtime& node, store::write_request request, write_callback callback) {
    step(node, [&](instant now, control::actions& actions) {
        node.waiting_writes.emplace(request.operation, std::move(callback));
        control::submit_write(node.control, std::move(request), now, actions);
    });
}

findings announce(node_runtime& node, const admin::announcement& announcement) {
    const auto& upstream = announcement.upstream;
    std::optional<msg::upstream_record_msg> recovered;
    bool is_accepted = false;
    findings problems;
    step(node, [&](instant now, control::actions& actions) {
        recovered = recover_leave(node, now, actions);
        const auto rules = make_replacement_rules(node);
        is_accepted = membership::apply_announcement(node.upstream_run, upstream, now, rules);
        if (is_accepted) {
            set_own_upstream(node, upstream, now, actions);
        } else if (rules.is_configured && !rules.is_configured(upstream.service)) {
            problems.push_back({.path = "service",
                                .problem = "no service \"" + upstream.service + "\"",
                                .remedy = "announce a service that is configured"});
        }
    });
    if (recovered) {
        edge::set_upstream_state(*node.calls, *recovered);
    }
    if (is_accepted) {
        edge::set_upstream(*node.calls, upstream, announcement.port, announcement.ip);
    }
    return problems;
}

void announce_draining(node_runtime& node, const std::string& instance) {
    step(node, [&](instant now, control::actions& actions) {
        const auto record =
            membership::drain_run(node.upstream_run, node.pending_upstream,
                                  node.control.members.self.upstream.get(), instance, now);
        if (record) {
            set_own_upstream(node, *record, now, actions);
        }
    });
}

void announce_leave(node_runtime& node, const std::string& instance) {
    std::optional<msg::upstream_record_msg> record;
    step(node, [&](instant now, control::actions& actions) {
        record = membership::end_run(node.upstream_run, node.pending_upstream,
                                     node.control.members.self.upstream.get(), instance, now);
        if (record) {
            set_own_upstream(node, *record, now, actions);
        }
    });
    if (record) {
        edge::set_upstream_state(*node.calls, *record);
    }
}

void when_confirmable(node_runtime& node, std::function<void(bool is_confirmed)> done) {
    step(node, [&](instant now, control::actions& /*actions*/) {
        node.waiting_confirmations.push_back({now, std::move(done)});
    });
}

void record_crash(node_runtime& node, const call::upstream_crash& crash) {
    step(node, [&](instant now, control::actions& actions) {
        control::record_crash(node.control, crash, now, actions);
    });
}

void record_good_run(node_runtime& node, const request_digest& digest) {
    step(node, [&](instant now, control::actions& actions) {
        control::record_good_run(node.control, digest, now, actions);
    });
}

bool lift_hold(node_runtime& node, const request_digest& digest) {
    bool was_suspected = false;
    step(node, [&](instant now, control::actions& actions) {
        was_suspected = control::lift_hold(node.control, digest, now, actions);
    });
    return was_suspected;
}

call::routing_view_ptr current_view(const node_runtime& node) {
    const auto now = current_time();
    const std::lock_guard<std::mutex> guard(node.view_lock);
    const bool is_stale = now - node.last_tick > milliseconds{node.settings.membership->pause_ms};
    return is_stale && node.stale_view ? node.stale_view : node.view;
}

void record_samples(node_runtime& node, std::vector<call::call_sample> samples) {
    const std::lock_guard<std::mutex> guard(node.samples_lock);
    if (node.samples.size() + samples.size() > max_samples) {
        return;
    }
    node.samples.insert(node.samples.end(), std::make_move_iterator(samples.begin()),
                        std::make_move_iterator(samples.end()));
}

} // namespace cyclamenhatch::node

#include "node/node_runtime.h"

#include "clock/process_clock.h"
#include "node/log_writer.h"

#include <random>
#include <utility>

namespace cyclamenhatch::node {
namespace {

/// Evidence beyond this many calls between two ticks is dropped.
constexpr std::size_t max_samples = 100'000;

/// A reply with those who wait for it.
struct matched_reply {
    store::write_reply reply;
    std::vector<write_callback> callbacks;
};

std::vector<matched_reply> match_replies(node_runtime& node,
                                         std::vector<store::write_reply>&& replies) {
    std::vector<matched_reply> matched;
    for (auto& reply : replies) {
        matched_reply each{std::move(reply), {}};
        const auto [first, last] = node.waiting_writes.equal_range(each.reply.operation);
        for (auto waiting = first; waiting != last; ++waiting) {
            each.callbacks.push_back(std::move(waiting->second));
        }
        node.waiting_writes.erase(first, last);
        matched.push_back(std::move(each));
    }
    return matched;
}

/// Publishes a new view, with its stale twin, when anything that it is built from has changed.
void refresh_view(node_runtime& node, instant at) {
    const bool is_ready = distribution::is_ready(node.control.distribution);
    const bool has_moves = !moves::version_shares(node.control.moves, at).empty();
    const bool is_same = node.view_generation == node.control.members.generation &&
                         node.view_config == node.control.distribution.held &&
                         node.view_is_ready == is_ready;
    if (is_same && !has_moves && !node.control.is_leaving) {
        return;
    }
    node.view_generation = node.control.members.generation;
    node.view_config = node.control.distribution.held;
    node.view_is_ready = is_ready;
    auto built =
        std::make_shared<const call::routing_view>(control::make_routing_view(node.control, at));
    auto stale = std::make_shared<call::routing_view>(*built);
    stale->is_ready = false;
    const std::lock_guard<std::mutex> guard(node.view_lock);
    node.view = std::move(built);
    node.stale_view = std::move(stale);
}

void carry_out(node_runtime& node, control::actions&& wanted,
               std::vector<matched_reply>&& replies) {
    for (auto& message : wanted.sends) {
        wire::send(*node.links, std::move(message));
    }
    for (const auto& request : wanted.requests) {
        node.store.execute(request);
    }
    for (const auto& event : wanted.logs) {
        write_log(event);
    }
    for (const auto& each : replies) {
        for (const auto& callback : each.callbacks) {
            callback(each.reply);
        }
    }
}

/// Whether this node knows the configuration and the other members, so that calls which its
/// upstream makes in turn find their way.
bool is_serving(const node_runtime& node) {
    return node.control.members.has_joined && distribution::is_ready(node.control.distribution);
}

/// Takes a change of the upstream beside this node over into the member table. While the node
/// itself is not serving, others are told that the upstream is starting.
void set_own_upstream(node_runtime& node, const msg::upstream_record_msg& upstream, instant at,
                      control::actions& wanted) {
    node.held_upstream.reset();
    if (upstream.state == msg::upstream_state::ready && !is_serving(node)) {
        node.held_upstream = upstream;
        return;
    }
    const auto& known = node.control.members.self.upstream;
    // Sequence numbers and the shrinking rest of the cold time are no news to other nodes.
    auto told = upstream;
    told.sequence = 0;
    if (known && known->instance == told.instance && known->started_ms == told.started_ms) {
        told.cold_ms = known->cold_ms;
    }
    if (!known || *known != told) {
        control::set_upstream(node.control, told, at, wanted);
    }
}

/// The upstream is taken for gone when it has stopped to renew its announcement.
void expire_announcement(node_runtime& node, instant at, control::actions& wanted) {
    const auto& upstream = node.control.members.self.upstream;
    const bool is_present = upstream && upstream->state != msg::upstream_state::none &&
                            upstream->state != msg::upstream_state::gone;
    const milliseconds ttl{node.settings.call->announcement_ttl_ms};
    if (!is_present || at - node.upstream_run.updated_at <= ttl) {
        return;
    }
    auto expired = *upstream;
    expired.state = msg::upstream_state::gone;
    control::set_upstream(node.control, expired, at, wanted);
    wanted.logs.push_back({log_level::warning, "upstream_expired", {{"service", expired.service}}});
}

} // namespace

node_runtime::node_runtime(const msg::settings_msg& from, const std::optional<feed::dialect>& words)
    : settings(from),
      control(control::make_state(from, std::random_device{}(), current_time(), words)),
      view(std::make_shared<const call::routing_view>(
          control::make_routing_view(control, current_time()))) {}

void step(node_runtime& node, const std::function<void(instant, control::actions&)>& event) {
    control::actions wanted;
    std::vector<matched_reply> replies;
    {
        const std::lock_guard<std::mutex> guard(node.control_lock);
        const auto at = current_time();
        event(at, wanted);
        refresh_view(node, at);
        replies = match_replies(node, std::exchange(wanted.replies, {}));
    }
    carry_out(node, std::move(wanted), std::move(replies));
}

void tick(node_runtime& node) {
    std::vector<call::call_sample> samples;
    {
        const std::lock_guard<std::mutex> guard(node.samples_lock);
        samples.swap(node.samples);
    }
    step(node, [&](instant at, control::actions& wanted) {
        control::record_samples(node.control, samples, at);
        if (node.held_upstream && is_serving(node)) {
            set_own_upstream(node, msg::upstream_record_msg(*node.held_upstream), at, wanted);
        }
        expire_announcement(node, at, wanted);
        control::on_tick(node.control, at, wanted);
    });
    const std::lock_guard<std::mutex> guard(node.view_lock);
    node.last_tick = current_time();
}

void dispatch(node_runtime& node, incoming message) {
    if (is_call_message(message.message)) {
        edge::on_message(*node.calls, message);
        return;
    }
    step(node, [&](instant at, control::actions& wanted) {
        control::on_message(node.control, message, at, wanted);
    });
}

void write(node_runtime& node, store::write_request request, write_callback reply) {
    step(node, [&](instant at, control::actions& wanted) {
        node.waiting_writes.emplace(request.operation, std::move(reply));
        control::submit_write(node.control, std::move(request), at, wanted);
    });
}

findings announce(node_runtime& node, const admin::announcement& announced) {
    bool is_taken = false;
    step(node, [&](instant at, control::actions& wanted) {
        is_taken = membership::apply_announcement(node.upstream_run, announced.upstream, at);
        if (is_taken) {
            set_own_upstream(node, announced.upstream, at, wanted);
        }
    });
    if (is_taken) {
        edge::set_upstream(*node.calls, announced.upstream, announced.port, announced.ip);
    }
    return {};
}

void announce_leave(node_runtime& node, const std::string& instance) {
    std::optional<msg::upstream_record_msg> left;
    step(node, [&](instant at, control::actions& wanted) {
        left = membership::end_run(node.upstream_run, node.held_upstream,
                                   node.control.members.self.upstream.get(), instance, at);
        if (left) {
            set_own_upstream(node, *left, at, wanted);
        }
    });
    if (left) {
        edge::set_upstream_state(*node.calls, *left);
    }
}

call::routing_view_ptr current_view(const node_runtime& node) {
    const auto at = current_time();
    const std::lock_guard<std::mutex> guard(node.view_lock);
    const bool is_stale = at - node.last_tick > milliseconds{node.settings.membership->pause_ms};
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

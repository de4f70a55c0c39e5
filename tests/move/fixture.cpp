#include "move/fixture.h"

namespace cyclamenhatch::moves {

namespace {

std::string name_of(std::size_t node) {
    return "n" + std::to_string(node);
}

msg::member_record_msg make_record(std::size_t node) {
    msg::member_record_msg record;
    record.node = name_of(node);
    record.data_centre = "dc";
    record.upstream = std::make_unique<msg::upstream_record_msg>();
    record.upstream->service = "s";
    record.upstream->version = node % 2 == 0 ? "v1" : "v2";
    record.upstream->state = msg::upstream_state::ready;
    record.upstream->slots = 16;
    return record;
}

/// Replaces the content of a message with false evidence and a veto, as a faulty node would.
void falsify(peer_message& message, const std::string& self) {
    if (auto* evidence = std::get_if<msg::move_evidence_msg>(&message)) {
        for (auto& route : evidence->routes) {
            route->errors = route->calls;
            route->scores.assign(route->scores.size(), static_cast<float>(evidence->window_ms));
        }
    }
    if (auto* state_message = std::get_if<msg::move_state_msg>(&message)) {
        veto raised{.raised_by = node_id(self), .at = start_time};
        state_message->vetoes.push_back(
            std::make_unique<msg::move_veto_msg>(to_message(make_key(), raised)));
    }
}

} // namespace

small_fleet::small_fleet(std::size_t count, const move& planned) {
    for (std::size_t node = 0; node < count; ++node) {
        auto table = membership::make_table({}, make_record(node), {}, now);
        for (std::size_t other = 0; other < count; ++other) {
            if (other != node) {
                table.members[node_id(name_of(other))] = {.record = make_record(other)};
            }
        }
        tables.push_back(std::move(table));
        nodes.push_back(make_state({}, now));
    }
    set_config(planned);
}

void small_fleet::set_config(const move& planned) {
    const auto snapshot = make_config(config++, planned);
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        actions out;
        on_config(nodes[node], tables[node], snapshot, now, out);
        deliver(node, out);
    }
}

std::uint32_t small_fleet::share(std::size_t node) const {
    const auto by_service = version_shares(nodes[node], now);
    return by_service.empty() ? 0 : by_service.begin()->second.permille;
}

std::string small_fleet::choose_route() {
    return routes == 1 ? "r" : "r" + std::to_string(random() % routes);
}

void small_fleet::record_calls(std::size_t node) {
    std::uniform_int_distribution<std::uint32_t> permille(0, 999);
    std::vector<call::call_sample> samples;
    for (int i = 0; i < calls; ++i) {
        const bool is_new = permille(random) < share(node);
        const bool is_on_other_route = i % 10 == 0 && !other_route.empty();
        const auto errors = static_cast<std::uint32_t>(is_new ? new_errors : old_errors);
        const bool may_fail = !is_new || !fails_on_other_route_only || is_on_other_route;
        const bool is_error = may_fail && permille(random) < errors * 10;
        calls_on_new += is_new ? 1 : 0;
        samples.push_back({.service = service_id("s"),
                           .route = route_id(is_on_other_route ? other_route : choose_route()),
                           .version = version_id(is_new ? "v2" : "v1"),
                           .kind = is_error ? call::sample_kind::error : call::sample_kind::ok,
                           .latency = microseconds(5000 + permille(random))});
    }
    add_samples(nodes[node], samples, now);
}

void small_fleet::deliver(std::size_t sender, const actions& out) {
    closes.insert(closes.end(), out.closes.begin(), out.closes.end());
    for (const auto& send : out.sends) {
        const std::size_t receiver = std::stoul(send.to.value.substr(1));
        if (sender == isolated || receiver == isolated) {
            continue;
        }
        incoming message{.from = node_id(name_of(sender)), .message = send.message};
        if (sender == liar) {
            falsify(message.message, name_of(sender));
        }
        in_transit.emplace_back(receiver, std::move(message));
    }
}

void small_fleet::tick() {
    now += milliseconds(100);
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        if (only_caller == SIZE_MAX || only_caller == node) {
            record_calls(node);
        }
        actions out;
        on_tick(nodes[node], tables[node], now, random, out);
        deliver(node, out);
    }
    while (!in_transit.empty()) {
        const auto [receiver, message] = std::move(in_transit.front());
        in_transit.pop_front();
        actions out;
        on_message(nodes[receiver], tables[receiver], message, now, random, out);
        deliver(receiver, out);
    }
}

void small_fleet::run(seconds time) {
    const instant end = now + time;
    while (now < end) {
        tick();
    }
}

} // namespace cyclamenhatch::moves

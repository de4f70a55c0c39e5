#include "quarantine/fixture.h"

#include <algorithm>
#include <iterator>

namespace cyclamenhatch::quarantine {

namespace {

constexpr milliseconds time_step{20};
constexpr milliseconds tick_interval{100};

std::string name_of(std::size_t node) {
    return "n" + std::to_string(node);
}

msg::member_record_msg make_member(std::size_t node) {
    msg::member_record_msg member;
    member.node = name_of(node);
    member.data_centre = "dc";
    return member;
}

} // namespace

small_fleet::small_fleet(std::size_t count) {
    for (std::size_t node = 0; node < count; ++node) {
        auto table = membership::make_table({}, make_member(node), {}, now);
        for (std::size_t other = 0; other < count; ++other) {
            if (other != node) {
                table.members[node_id(name_of(other))] = {.record = make_member(other)};
            }
        }
        tables.push_back(std::move(table));
        nodes.push_back({.self = node_id(name_of(node))});
    }
}

void small_fleet::restart(std::size_t node) {
    nodes[node] = {.self = node_id(name_of(node))};
    std::erase_if(in_transit, [&](const delivery& sent) { return sent.to == node; });
}

void small_fleet::crash(std::size_t node, const std::vector<request_digest>& digests) {
    actions out;
    record_crash(nodes[node], tables[node], make_crash(digests), now, random, out);
    carry_out(node, std::move(out));
}

void small_fleet::run_well(std::size_t node, const request_digest& digest) {
    actions out;
    record_good_run(nodes[node], tables[node], digest, now, random, out);
    carry_out(node, std::move(out));
}

void small_fleet::carry_out(std::size_t sender, actions&& out) {
    logs.insert(logs.end(), std::make_move_iterator(out.logs.begin()),
                std::make_move_iterator(out.logs.end()));
    for (auto& send : out.sends) {
        ++messages;
        if (const auto* sent = std::get_if<msg::quarantine_state_msg>(&send.message)) {
            largest_message = std::max(largest_message, sent->records.size());
        }
        if (loss != 0 && random() % loss == 0) {
            continue;
        }
        in_transit.push_back({.from = sender,
                              .to = std::stoul(send.to.value.substr(1)),
                              .message = std::move(send.message)});
    }
}

void small_fleet::deliver() {
    for (auto& sent : std::exchange(in_transit, {})) {
        actions out;
        on_message(nodes[sent.to], tables[sent.to],
                   {node_id(name_of(sent.from)), std::move(sent.message)}, now, random, out);
        carry_out(sent.to, std::move(out));
    }
}

void small_fleet::run(milliseconds time) {
    for (const auto end = now + time; now < end;) {
        now += time_step;
        deliver();
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            // The nodes tick at different times.
            const auto phase = time_step * static_cast<std::int64_t>(node % 5);
            if ((now - start_time) % tick_interval == phase) {
                actions out;
                on_tick(nodes[node], tables[node], now, random, out);
                carry_out(node, std::move(out));
            }
        }
    }
}

std::size_t small_fleet::crashes(std::size_t node, const request_digest& digest) const {
    const auto* found = call::find_suspect(nodes[node].view, digest);
    return found == nullptr ? 0 : found->crashes;
}

bool small_fleet::is_held(std::size_t node, const request_digest& digest) const {
    const auto* found = call::find_suspect(nodes[node].view, digest);
    return found != nullptr && now < found->held_until;
}

std::size_t small_fleet::count_holding(const request_digest& digest) const {
    std::size_t holding = 0;
    for (std::size_t node = 0; node < nodes.size(); ++node) {
        holding += is_held(node, digest) ? 1 : 0;
    }
    return holding;
}

std::size_t small_fleet::count_events(std::string_view name) const {
    return static_cast<std::size_t>(std::count_if(
        logs.begin(), logs.end(), [&](const log_event& event) { return event.name == name; }));
}

} // namespace cyclamenhatch::quarantine

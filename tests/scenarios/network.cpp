#include "scenarios/network.h"

#include "messages/envelope.h"

#include <algorithm>

namespace cyclamenhatch::scenarios {
namespace {

constexpr std::uint32_t frame_bytes = 4;

bool is_later(const delivery& left, const delivery& right) {
    return std::pair(left.due_at, left.order) > std::pair(right.due_at, right.order);
}

microseconds delay_between(const network& net, std::size_t sender, std::size_t receiver) {
    const auto& source = net.places[sender];
    const auto& target = net.places[receiver];
    if (source.region != target.region) {
        return net.delays.across;
    }
    return source.data_centre == target.data_centre ? net.delays.within : net.delays.between;
}

bool is_silent(network& net, std::size_t sender, std::size_t receiver, instant now) {
    std::erase_if(net.silences, [&](const auto& silence) { return silence.second <= now; });
    return std::any_of(net.silences.begin(), net.silences.end(), [&](const auto& silence) {
        return silence.first == std::pair(sender, receiver);
    });
}

} // namespace

void send(network& net, std::size_t sender, std::size_t receiver, incoming message, instant now,
          random_source& random) {
    ++net.messages;
    net.bytes_sent[sender] += encode_envelope(message.from, message.message).size() + frame_bytes;
    const auto* snapshot = std::get_if<msg::config_snapshot_msg>(&message.message);
    if (snapshot != nullptr && !snapshot->sections.empty()) {
        net.peak_snapshots = std::max(net.peak_snapshots, ++net.snapshots[sender]);
    }
    if (net.blocked_kinds.contains(std::string(kind_name(message.message))) ||
        net.cuts.contains({sender, receiver}) || is_silent(net, sender, receiver, now) ||
        random() % 1000 < net.loss_permille) {
        return;
    }
    const auto jitter_range = static_cast<std::uint64_t>(net.delays.jitter.count()) + 1;
    const microseconds extra{static_cast<std::int64_t>(random() % jitter_range)};
    net.in_flight.push_back({.due_at = now + delay_between(net, sender, receiver) + extra,
                             .order = net.next_order++,
                             .receiver = receiver,
                             .message = std::move(message)});
    std::push_heap(net.in_flight.begin(), net.in_flight.end(), is_later);
}

bool take_due(network& net, instant now, delivery& due) {
    if (net.in_flight.empty() || net.in_flight.front().due_at > now) {
        return false;
    }
    std::pop_heap(net.in_flight.begin(), net.in_flight.end(), is_later);
    due = std::move(net.in_flight.back());
    net.in_flight.pop_back();
    return true;
}

} // namespace cyclamenhatch::scenarios

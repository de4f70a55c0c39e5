#include "scenarios/network.h"

#include "messages/envelope.h"

#include <algorithm>

namespace cyclamenhatch::scenarios {
namespace {

constexpr std::uint32_t frame_bytes = 4;

bool is_later(const delivery& left, const delivery& right) {
    return std::pair(left.at, left.order) > std::pair(right.at, right.order);
}

microseconds delay_between(const network& net, std::size_t from, std::size_t to) {
    const auto& left = net.places[from];
    const auto& right = net.places[to];
    if (left.region != right.region) {
        return net.delays.across;
    }
    return left.data_centre == right.data_centre ? net.delays.within : net.delays.between;
}

bool is_silent(network& net, std::size_t from, std::size_t to, instant now) {
    std::erase_if(net.silences, [&](const auto& each) { return each.second <= now; });
    return std::any_of(net.silences.begin(), net.silences.end(),
                       [&](const auto& each) { return each.first == std::pair(from, to); });
}

} // namespace

void send(network& net, std::size_t from, std::size_t to, incoming message, instant now,
          random_source& random) {
    ++net.messages;
    net.bytes_sent[from] += encode_envelope(message.from, message.message).size() + frame_bytes;
    const auto* whole = std::get_if<msg::config_snapshot_msg>(&message.message);
    if (whole != nullptr && !whole->sections.empty()) {
        net.most_snapshots = std::max(net.most_snapshots, ++net.snapshots[from]);
    }
    if (net.blocked_kinds.contains(std::string(kind_name(message.message))) ||
        net.cuts.contains({from, to}) || is_silent(net, from, to, now) ||
        random() % 1000 < net.loss_permille) {
        return;
    }
    const auto spread = static_cast<std::uint64_t>(net.delays.jitter.count()) + 1;
    const microseconds extra{static_cast<std::int64_t>(random() % spread)};
    net.in_flight.push_back({.at = now + delay_between(net, from, to) + extra,
                             .order = net.next_order++,
                             .to = to,
                             .message = std::move(message)});
    std::push_heap(net.in_flight.begin(), net.in_flight.end(), is_later);
}

bool take_due(network& net, instant now, delivery& due) {
    if (net.in_flight.empty() || net.in_flight.front().at > now) {
        return false;
    }
    std::pop_heap(net.in_flight.begin(), net.in_flight.end(), is_later);
    due = std::move(net.in_flight.back());
    net.in_flight.pop_back();
    return true;
}

} // namespace cyclamenhatch::scenarios

#include "control/settled_fleet.h"

namespace cyclamenhatch::control::testing {

feed_fleet start_settled_fleet(std::size_t count, const std::vector<std::string>& data_centres,
                               milliseconds phase) {
    feed_fleet fleet(count);
    fleet.data_centres = data_centres;
    auto& membership = *fleet.settings.membership;
    membership.probe_interval_ms = 500;
    membership.probe_timeout_ms = 200;
    membership.suspicion_ms = 1500;
    fleet.write(document_key, "1 /first/");
    for (std::size_t node = 0; node < count; ++node) {
        fleet.start(node);
    }
    fleet.run(seconds{7} + phase);
    return fleet;
}

bool is_watching(const feed_fleet& fleet, std::size_t node) {
    return fleet.nodes[node] && fleet.nodes[node]->operator_reader->wants_watch;
}

std::vector<std::size_t> list_watching(const feed_fleet& fleet) {
    std::vector<std::size_t> watching;
    for (std::size_t node = 0; node < fleet.nodes.size(); ++node) {
        if (is_watching(fleet, node)) {
            watching.push_back(node);
        }
    }
    return watching;
}

} // namespace cyclamenhatch::control::testing

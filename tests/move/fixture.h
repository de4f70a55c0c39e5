#pragma once

#include "membership/membership.h"
#include "move/move_table.h"

#include <deque>
#include <map>
#include <string>

namespace cyclamenhatch::moves {

inline const instant start_time = from_unix_ms(1'800'000'000'000);

inline move make_move() {
    return {.name = move_id("m"),
            .service = service_id("s"),
            .old_version = version_id("v1"),
            .new_version = version_id("v2"),
            .deadline = start_time + seconds(120),
            .min_calls = 50,
            .bake = seconds(20)};
}

inline attempt_key make_key() {
    return {.service = service_id("s"), .name = move_id("m"), .attempt = 1};
}

inline section make_section(const move& planned) {
    section built;
    built.service = {.name = service_id("s"), .owner = owner_id("o"), .version = version_id("v1")};
    built.routes.push_back(
        {.name = route_id("r"), .service = built.service.name, .path_prefix = "/"});
    built.versions = {{.name = version_id("v1"), .service = built.service.name},
                      {.name = version_id("v2"), .service = built.service.name}};
    built.moves.push_back(planned);
    return built;
}

inline snapshot_ptr make_config(std::uint64_t version, const move& planned) {
    const auto built = build_snapshot({version}, {make_stored_section(make_section(planned))}, {});
    return std::get<snapshot_ptr>(built);
}

/// A few nodes with instant delivery between them; the fixture generates the calls.
struct small_fleet {
    explicit small_fleet(std::size_t count, const move& planned = make_move());

    /// One tick of 100 ms on every node; each node's calls split by its share.
    void tick();
    void run(seconds time);
    [[nodiscard]] std::uint32_t share(std::size_t node) const;
    void set_config(const move& planned);

    instant now = start_time;
    random_source random{7};
    std::vector<membership::table> tables;
    std::vector<state> nodes;
    std::vector<store::move_close> closes;
    /// Calls per tick and node, and how many in a hundred fail on the new and on the old version.
    int calls = 10;
    int new_errors = 0;
    int old_errors = 0;
    /// Route of one in ten calls of each node, if not empty.
    std::string other_route;
    /// Routes of the other calls, each as often.
    std::size_t routes = 1;
    /// All calls come through this node, if set.
    std::size_t only_caller = SIZE_MAX;
    /// The errors of the new version are on `other_route` only.
    bool fails_on_other_route_only = false;
    /// This node reports that all calls on the new version fail, and raises a veto.
    std::size_t liar = SIZE_MAX;
    /// All messages from and to this node are lost.
    std::size_t isolated = SIZE_MAX;
    std::uint64_t config = 1;
    std::uint64_t calls_on_new = 0;

private:
    std::string choose_route();
    void record_calls(std::size_t node);
    void deliver(std::size_t sender, const actions& out);
    std::deque<std::pair<std::size_t, incoming>> in_transit;
};

} // namespace cyclamenhatch::moves

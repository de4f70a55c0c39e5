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
            .from = version_id("v1"),
            .to = version_id("v2"),
            .deadline = start_time + seconds(120),
            .min_calls = 50,
            .bake = seconds(20)};
}

inline attempt_key make_key() {
    return {.service = service_id("s"), .name = move_id("m"), .attempt = 1};
}

inline section make_section(const move& planned) {
    section made;
    made.service = {.name = service_id("s"), .owner = owner_id("o"), .version = version_id("v1")};
    made.routes.push_back(
        {.name = route_id("r"), .service = made.service.name, .path_prefix = "/"});
    made.versions = {{.name = version_id("v1"), .service = made.service.name},
                     {.name = version_id("v2"), .service = made.service.name}};
    made.moves.push_back(planned);
    return made;
}

inline snapshot_ptr make_config(std::uint64_t version, const move& planned) {
    const auto built = build_snapshot({version}, {make_stored_section(make_section(planned))}, {});
    return std::get<snapshot_ptr>(built);
}

/// A few nodes with instant delivery between them; calls are handed in by the test.
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
    /// Route that one in ten calls of each node comes on, if not empty.
    std::string other_route;
    /// This node says that everything on the new version fails, and vetoes.
    std::size_t liar = SIZE_MAX;
    /// Messages from and to this node are lost.
    std::size_t cut_off = SIZE_MAX;
    std::uint64_t config = 1;
    std::uint64_t calls_on_new = 0;

private:
    void take_calls(std::size_t node);
    void deliver(std::size_t from, const actions& wanted);
    std::deque<std::pair<std::size_t, incoming>> mail;
};

} // namespace cyclamenhatch::moves

#include "scenarios/changes.h"

#include <stdexcept>
#include <string>

namespace cyclamenhatch::scenarios {
namespace {

/// Resources of a service on one version with one route; "service NAME VERSION".
store::resource_write make_service(const words& at) {
    const service_id name{at.at(4)};
    store::resource_write written;
    written.services.push_back(
        {.name = name, .owner = owner_id{"owner"}, .version = version_id{at.at(5)}});
    written.versions.push_back({.name = version_id{at.at(5)}, .service = name});
    written.routes.push_back(
        {.name = route_id{"all"}, .service = name, .path_prefix = "/" + name.value});
    return written;
}

/// "route SERVICE NAME PATH".
store::resource_write make_route(const words& at) {
    store::resource_write written;
    written.routes.push_back(
        {.name = route_id{at.at(5)}, .service = service_id{at.at(4)}, .path_prefix = at.at(6)});
    return written;
}

/// "routes SERVICE COUNT": that many routes, r1 and on, with a host each.
store::resource_write make_routes(const words& at) {
    store::resource_write written;
    const auto count = std::stoul(at.at(5));
    for (std::size_t i = 1; i <= count; ++i) {
        const auto name = "r" + std::to_string(i);
        written.routes.push_back({.name = route_id{name},
                                  .service = service_id{at.at(4)},
                                  .host = name + ".example.org",
                                  .path_prefix = "/" + name});
    }
    return written;
}

/// "move SERVICE NAME FROM TO DEADLINE": a deadline that many seconds from now.
store::resource_write make_move(const cluster& all, const words& at) {
    const service_id name{at.at(4)};
    store::resource_write written;
    written.versions.push_back({.name = version_id{at.at(7)}, .service = name});
    written.moves.push_back({.name = move_id{at.at(5)},
                             .service = name,
                             .old_version = version_id{at.at(6)},
                             .new_version = version_id{at.at(7)},
                             .deadline = all.now + read_duration(at.at(8)),
                             .min_calls = 50,
                             .bake = seconds{5}});
    return written;
}

/// "delete SERVICE VERSION": a service as make_service makes it.
store::resource_write make_delete(const words& at) {
    const service_id name{at.at(4)};
    store::resource_write written;
    written.deletes = {{store::resource_kind::service, name, name.value},
                       {store::resource_kind::route, name, "all"},
                       {store::resource_kind::upstream_version, name, at.at(5)}};
    return written;
}

} // namespace

store::change make_change(const cluster& all, const words& at) {
    const auto& kind = at.at(3);
    if (kind == "service") {
        return make_service(at);
    }
    if (kind == "route") {
        return make_route(at);
    }
    if (kind == "routes") {
        return make_routes(at);
    }
    if (kind == "move") {
        return make_move(all, at);
    }
    if (kind == "delete") {
        return make_delete(at);
    }
    throw std::invalid_argument("no resource is called \"" + kind + "\"");
}

} // namespace cyclamenhatch::scenarios

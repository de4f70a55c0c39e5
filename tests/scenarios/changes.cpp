#include "scenarios/changes.h"

#include <stdexcept>
#include <string>

namespace cyclamenhatch::scenarios {
namespace {

/// "service NAME VERSION": a service on one version with one route.
store::resource_write make_service(const words& args) {
    const service_id name{args.at(4)};
    store::resource_write write;
    write.services.push_back(
        {.name = name, .owner = owner_id{"owner"}, .version = version_id{args.at(5)}});
    write.versions.push_back({.name = version_id{args.at(5)}, .service = name});
    write.routes.push_back(
        {.name = route_id{"all"}, .service = name, .path_prefix = "/" + name.value});
    return write;
}

/// "route SERVICE NAME PATH".
store::resource_write make_route(const words& args) {
    store::resource_write write;
    write.routes.push_back({.name = route_id{args.at(5)},
                            .service = service_id{args.at(4)},
                            .path_prefix = args.at(6)});
    return write;
}

/// "routes SERVICE COUNT": COUNT routes named r1, r2, ..., each with its own host.
store::resource_write make_routes(const words& args) {
    store::resource_write write;
    const auto count = std::stoul(args.at(5));
    for (std::size_t i = 1; i <= count; ++i) {
        const auto name = "r" + std::to_string(i);
        write.routes.push_back({.name = route_id{name},
                                .service = service_id{args.at(4)},
                                .host = name + ".example.org",
                                .path_prefix = "/" + name});
    }
    return write;
}

/// "move SERVICE NAME FROM TO DEADLINE": DEADLINE is a duration from now, such as 90s.
store::resource_write make_move(const cluster& sim, const words& args) {
    const service_id name{args.at(4)};
    store::resource_write write;
    write.versions.push_back({.name = version_id{args.at(7)}, .service = name});
    write.moves.push_back({.name = move_id{args.at(5)},
                           .service = name,
                           .old_version = version_id{args.at(6)},
                           .new_version = version_id{args.at(7)},
                           .deadline = sim.now + parse_duration(args.at(8)),
                           .min_calls = 50,
                           .bake = seconds{5}});
    return write;
}

/// "delete SERVICE VERSION": deletes a service created by make_service, with its route and version.
store::resource_write make_delete(const words& args) {
    const service_id name{args.at(4)};
    store::resource_write write;
    write.deletes = {{store::resource_kind::service, name, name.value},
                     {store::resource_kind::route, name, "all"},
                     {store::resource_kind::upstream_version, name, args.at(5)}};
    return write;
}

} // namespace

store::change make_change(const cluster& sim, const words& args) {
    const auto& kind = args.at(3);
    if (kind == "service") {
        return make_service(args);
    }
    if (kind == "route") {
        return make_route(args);
    }
    if (kind == "routes") {
        return make_routes(args);
    }
    if (kind == "move") {
        return make_move(sim, args);
    }
    if (kind == "delete") {
        return make_delete(args);
    }
    throw std::invalid_argument("unknown kind of resource \"" + kind + "\"");
}

} // namespace cyclamenhatch::scenarios

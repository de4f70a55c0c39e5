#pragma once

#include "admin/api.h"
#include "model/snapshot.h"

namespace cyclamenhatch::admin {

/// A node that holds one service and answers every write with `outcome`.
struct fake_node {
    snapshot_ptr config;
    decltype(store::write_reply::outcome) outcome = store::write_accepted{config_version{8}};
    std::vector<store::write_request> written;
    std::vector<distribution::version_progress> progress;
    std::vector<announcement> announced;
    std::vector<request_digest> lifted;
};

inline section make_catalogue() {
    const provenance written{config_version{5}, operation_id{"op-5"}};
    const service_id name{"catalogue"};
    section part;
    part.service = {name, owner_id{"shops"}, version_id{"v1"}, 4, written};
    part.versions = {{version_id{"v1"}, name, written}, {version_id{"v2"}, name, written}};
    part.routes = {{.name = route_id{"browse"},
                    .service = name,
                    .path_prefix = "/catalogue",
                    .last_write = {config_version{7}, operation_id{"op-7"}}}};
    move open;
    open.name = move_id{"to-v2"};
    open.service = name;
    open.old_version = version_id{"v1"};
    open.new_version = version_id{"v2"};
    open.deadline = from_unix_ms(1'800'000'000'000);
    open.last_write = written;
    move ended = open;
    ended.name = move_id{"old"};
    ended.ending = move_ending{.reason = "errors"};
    part.moves = {ended, open};
    return part;
}

inline snapshot_ptr make_config(std::uint64_t version, section part) {
    return std::get<snapshot_ptr>(build_snapshot(
        config_version{version}, {make_stored_section(std::move(part))}, {operation_id{"op-7"}}));
}

inline backend make_backend(fake_node& node) {
    backend fake;
    fake.configuration = [&node] { return node.config; };
    fake.write = [&node](store::write_request request,
                         const std::function<void(store::write_reply)>& reply) {
        const auto operation = request.operation;
        node.written.push_back(std::move(request));
        reply({operation, node.outcome});
    };
    fake.progress = [&node] { return node.progress; };
    fake.move_statuses = [] {
        return std::vector<moves::move_status>{
            {.key = {service_id{"catalogue"}, move_id{"to-v2"}, 2}, .phase = "baking"}};
    };
    fake.quarantine = [] { return document(document::table{{"page", "quarantine"}}); };
    fake.lift_hold = [&node](const request_digest& digest) {
        node.lifted.push_back(digest);
        return digest.high == 0;
    };
    fake.status = [] { return document(document::table{{"page", "status"}}); };
    fake.dump = [] { return document(document::table{{"page", "dump"}}); };
    fake.usage = [] { return document(document::table{{"page", "usage"}}); };
    fake.metrics = [] { return std::string("up 1\n"); };
    fake.announce = [&node](const announcement& announced) {
        node.announced.push_back(announced);
        return findings{};
    };
    return fake;
}

} // namespace cyclamenhatch::admin

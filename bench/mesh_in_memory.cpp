#include "bench/mesh_in_memory.h"

#include "messages/envelope.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <map>

namespace cyclamenhatch::bench {

using boost::asio::ip::tcp;

struct mesh_in_memory {
    call::routing_view_ptr view;
    std::atomic<bool> is_stopping{false};
    /// Constant once calls come.
    std::map<node_id, std::shared_ptr<edge::call_path>> paths;
    std::uint16_t entry_port = 0;

    ~mesh_in_memory() {
        is_stopping = true;
        for (const auto& [node, path] : paths) {
            (void)edge::stop(*path);
        }
    }
    mesh_in_memory() = default;
    mesh_in_memory(const mesh_in_memory&) = delete;
    mesh_in_memory& operator=(const mesh_in_memory&) = delete;
};

namespace {

std::uint16_t find_port() {
    boost::asio::io_context io;
    const tcp::acceptor probe(io, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    return probe.local_endpoint().port();
}

msg::settings_msg make_settings(const std::string& node, std::uint16_t port,
                                const mesh_options& options) {
    msg::settings_msg settings;
    settings.identity = std::make_unique<msg::identity_settings_msg>();
    settings.identity->node = node;
    settings.identity->data_centre = "milan";
    settings.listen = std::make_unique<msg::listen_settings_msg>();
    settings.listen->ip = "127.0.0.1";
    settings.listen->caller_port = port;
    settings.call = std::make_unique<msg::call_settings_msg>();
    settings.call->retry_budget_percent = options.retry_budget_percent;
    settings.call->has_limits = options.has_limits;
    settings.process = std::make_unique<msg::process_settings_msg>();
    settings.process->workers = options.workers;
    return settings;
}

call::routing_view_ptr make_view(const mesh_options& options) {
    section part;
    part.service.name = service_id("work");
    part.service.owner = owner_id("bench");
    part.service.version = version_id("v1");
    part.service.reserved_slots = options.slots;
    part.routes.push_back({.name = route_id("all"),
                           .service = part.service.name,
                           .host = {},
                           .path_prefix = "/",
                           .idempotent = options.is_idempotent,
                           .timeout = options.timeout,
                           .written = {}});
    part.versions.push_back({part.service.version, part.service.name, {}});
    auto view = std::make_shared<call::routing_view>();
    view->config =
        std::get<snapshot_ptr>(build_snapshot(config_version{1}, {make_stored_section(part)}, {}));
    view->is_ready = true;
    for (std::size_t each = 0; each < options.upstream_ports.size(); ++each) {
        view->endpoints[part.service.name].push_back(
            {.node = node_id("gate" + std::to_string(each)),
             .link = {},
             .region = {},
             .data_centre = data_centre_id("milan"),
             .version = part.service.version,
             .state = msg::upstream_state::ready,
             .slots = options.slots,
             .incarnation = 1});
    }
    return view;
}

/// Hands a message over as a link would: encoded, decoded, by id of the receiver.
void carry(mesh_in_memory& mesh, const node_id& from, const outgoing& message) {
    const auto found = mesh.paths.find(message.to);
    if (mesh.is_stopping || found == mesh.paths.end()) {
        return;
    }
    const auto bytes = encode_envelope(from, message.message);
    auto decoded = decode_envelope(bytes);
    edge::on_message(*found->second, std::get<incoming>(std::move(decoded)));
}

std::shared_ptr<edge::call_path> start_path(mesh_in_memory& mesh, const std::string& name,
                                            std::uint16_t port, const mesh_options& options) {
    edge::call_path_callbacks around;
    around.send = [&mesh, self = node_id(name)](const outgoing& message) {
        carry(mesh, self, message);
    };
    around.view = [&mesh] { return mesh.view; };
    around.record_samples = [](const std::vector<call::call_sample>&) {};
    return edge::start_call_path(make_settings(name, port, options), std::move(around));
}

} // namespace

std::shared_ptr<mesh_in_memory> start_mesh(const mesh_options& options) {
    auto mesh = std::make_shared<mesh_in_memory>();
    mesh->view = make_view(options);
    mesh->entry_port = find_port();
    mesh->paths[node_id("entry")] = start_path(*mesh, "entry", mesh->entry_port, options);
    for (std::size_t each = 0; each < options.upstream_ports.size(); ++each) {
        const auto name = "gate" + std::to_string(each);
        auto path = start_path(*mesh, name, find_port(), options);
        msg::upstream_record_msg upstream;
        upstream.service = "work";
        upstream.version = "v1";
        upstream.state = msg::upstream_state::ready;
        upstream.slots = options.slots;
        edge::set_upstream(*path, upstream, options.upstream_ports[each]);
        mesh->paths[node_id(name)] = std::move(path);
    }
    return mesh;
}

std::uint16_t entry_port(const mesh_in_memory& mesh) {
    return mesh.entry_port;
}

edge::call_path& entry_of(mesh_in_memory& mesh) {
    return *mesh.paths.at(node_id("entry"));
}

edge::call_path& gate_of(mesh_in_memory& mesh, std::size_t number) {
    return *mesh.paths.at(node_id("gate" + std::to_string(number)));
}

} // namespace cyclamenhatch::bench

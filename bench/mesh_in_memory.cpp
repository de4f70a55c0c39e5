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
    /// Not changed once calls arrive.
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

/// Returns a free port.
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
    section content;
    content.service.name = service_id("work");
    content.service.owner = owner_id("bench");
    content.service.version = version_id("v1");
    content.service.reserved_slots = options.slots;
    content.routes.push_back({.name = route_id("all"),
                              .service = content.service.name,
                              .host = {},
                              .path_prefix = "/",
                              .idempotent = options.is_idempotent,
                              .timeout = options.timeout,
                              .last_write = {}});
    content.versions.push_back({content.service.version, content.service.name, {}});
    auto view = std::make_shared<call::routing_view>();
    view->config = std::get<snapshot_ptr>(
        build_snapshot(config_version{1}, {make_stored_section(content)}, {}));
    view->is_ready = true;
    for (std::size_t i = 0; i < options.upstream_ports.size(); ++i) {
        view->endpoints[content.service.name].push_back(
            {.node = node_id("gate" + std::to_string(i)),
             .link = {},
             .region = {},
             .data_centre = data_centre_id("milan"),
             .version = content.service.version,
             .state = msg::upstream_state::ready,
             .slots = options.slots,
             .incarnation = 1});
    }
    return view;
}

/// Encodes, decodes and delivers a message to the receiver that it names, as a link does. Messages
/// to unknown receivers are dropped.
void deliver(mesh_in_memory& mesh, const node_id& sender, const outgoing& message) {
    const auto receiver = mesh.paths.find(message.to);
    if (mesh.is_stopping || receiver == mesh.paths.end()) {
        return;
    }
    const auto bytes = encode_envelope(sender, message.message);
    auto decoded = decode_envelope(bytes);
    edge::on_message(*receiver->second, std::get<incoming>(std::move(decoded)));
}

std::shared_ptr<edge::call_path> start_path(mesh_in_memory& mesh, const std::string& name,
                                            std::uint16_t port, const mesh_options& options) {
    edge::call_path_callbacks callbacks;
    callbacks.send = [&mesh, self = node_id(name)](const outgoing& message) {
        deliver(mesh, self, message);
    };
    callbacks.view = [&mesh] { return mesh.view; };
    callbacks.record_samples = [](const std::vector<call::call_sample>&) {};
    return edge::start_call_path(make_settings(name, port, options), std::move(callbacks));
}

} // namespace

std::shared_ptr<mesh_in_memory> start_mesh(const mesh_options& options) {
    auto mesh = std::make_shared<mesh_in_memory>();
    mesh->view = make_view(options);
    mesh->entry_port = find_port();
    mesh->paths[node_id("entry")] = start_path(*mesh, "entry", mesh->entry_port, options);
    for (std::size_t i = 0; i < options.upstream_ports.size(); ++i) {
        const auto name = "gate" + std::to_string(i);
        auto path = start_path(*mesh, name, find_port(), options);
        msg::upstream_record_msg upstream;
        upstream.service = "work";
        upstream.version = "v1";
        upstream.state = msg::upstream_state::ready;
        upstream.slots = options.slots;
        edge::set_upstream(*path, upstream, options.upstream_ports[i]);
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

#include "edge/upstream_connection.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <functional>
#include <utility>

namespace cyclamenhatch::edge {

using boost::system::error_code;

namespace {

/// Whether the peer has neither closed the idle connection nor sent anything on it.
bool is_quiet(upstream_connection& connection) {
    char byte = 0;
    const auto received =
        ::recv(connection.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace

std::unique_ptr<upstream_connection> take_connection(upstream_client& client,
                                                     std::chrono::milliseconds max_idle,
                                                     std::vector<tcp::endpoint>& targets,
                                                     bool& is_reused) {
    const auto now = std::chrono::steady_clock::now();
    const std::lock_guard guard(client.lock);
    targets = client.targets;
    while (!client.idle.empty()) {
        auto connection = std::move(client.idle.back());
        client.idle.pop_back();
        if (now - connection->idle_since < std::min(max_idle, connection->keep_alive) &&
            is_quiet(*connection)) {
            is_reused = true;
            return connection;
        }
    }
    auto connection = std::make_unique<upstream_connection>(client.io);
    connection->generation = client.generation;
    is_reused = false;
    return connection;
}

void release_connection(upstream_client& client, std::unique_ptr<upstream_connection> connection) {
    connection->idle_since = std::chrono::steady_clock::now();
    connection->buffer.shrink_to_fit();
    const std::lock_guard guard(client.lock);
    if (connection->generation == client.generation &&
        client.idle.size() < client.max_idle_connections) {
        client.idle.push_back(std::move(connection));
    }
}

void remember_id(upstream_connection& connection, const std::string& id) {
    const auto hash = std::hash<std::string>{}(id);
    if (connection.sent_ids.size() < max_remembered_ids) {
        connection.sent_ids.push_back(hash);
        return;
    }
    connection.sent_ids[connection.next_id] = hash;
    connection.next_id = (connection.next_id + 1) % max_remembered_ids;
}

bool has_carried(const upstream_connection& connection, const std::string& id) {
    const auto& ids = connection.sent_ids;
    return std::find(ids.begin(), ids.end(), std::hash<std::string>{}(id)) != ids.end();
}

std::chrono::milliseconds parse_keep_alive(const std::string& header) {
    constexpr std::string_view name = "timeout=";
    constexpr std::chrono::milliseconds margin{500};
    const auto position = header.find(name);
    unsigned stated = 0;
    if (position == std::string_view::npos ||
        std::from_chars(header.data() + position + name.size(), header.data() + header.size(),
                        stated)
                .ec != std::errc{}) {
        return default_keep_alive;
    }
    return std::min<std::chrono::milliseconds>(std::chrono::seconds{stated} - margin,
                                               default_keep_alive);
}

std::shared_ptr<upstream_client> make_upstream_client(asio::io_context& io) {
    return std::make_shared<upstream_client>(io);
}

void set_target(upstream_client& client, const std::vector<std::string>& ips, std::uint16_t port,
                std::size_t max_idle_connections) {
    std::vector<tcp::endpoint> targets;
    for (const auto& ip : ips) {
        error_code error;
        const auto address = asio::ip::make_address(ip, error);
        if (!error) {
            targets.emplace_back(address, port);
        }
    }
    const std::lock_guard guard(client.lock);
    client.max_idle_connections = max_idle_connections;
    if (client.targets != targets) {
        client.targets = std::move(targets);
        ++client.generation;
        client.idle.clear();
    }
}

std::size_t count_idle(const upstream_client& client) {
    const std::lock_guard guard(client.lock);
    return client.idle.size();
}

void close_unusable(upstream_client& client) {
    const std::lock_guard guard(client.lock);
    std::erase_if(client.idle, [](const auto& connection) { return !is_quiet(*connection); });
}

void close_client(upstream_client& client) {
    const std::lock_guard guard(client.lock);
    client.max_idle_connections = 0;
    client.idle.clear();
}

} // namespace cyclamenhatch::edge

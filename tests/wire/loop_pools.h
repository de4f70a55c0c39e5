#pragma once

#include "clock/process_clock.h"
#include "messages/envelope.h"
#include "wire/frame_reader.h"
#include "wire/link_pool.h"
#include "wire/link_pool_state.h"

#include <algorithm>
#include <array>
#include <boost/asio.hpp>
#include <functional>
#include <gtest/gtest.h>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

/// Pools and scripted peers on one io_context that the test runs, so that the test determines the
/// order of events. Silence is simulated by the `now` that is passed to check_links.
namespace cyclamenhatch::wire::on_loop {

using boost::asio::ip::tcp;
namespace asio = boost::asio;

/// Only guards against a hang: the tests wait for events on the loopback interface.
constexpr seconds hang_timeout{20};

/// Far longer than a test runs, so that the pool's own health timer takes no step.
constexpr std::uint32_t silence_ms = 200'000;

inline msg::settings_msg make_settings(const std::string& node) {
    msg::settings_msg settings;
    settings.identity = std::make_unique<msg::identity_settings_msg>();
    settings.identity->node = node;
    settings.listen = std::make_unique<msg::listen_settings_msg>();
    settings.listen->ip = "127.0.0.1";
    settings.listen->link_port = 0;
    settings.cluster = std::make_unique<msg::cluster_settings_msg>();
    settings.cluster->key = "key";
    settings.link = std::make_unique<msg::link_settings_msg>();
    settings.link->ping_interval_ms = silence_ms / 2;
    settings.link->silence_timeout_ms = silence_ms;
    settings.link->connect_timeout_ms = 10 * silence_ms;
    settings.link->idle_timeout_s = 100 * silence_ms;
    return settings;
}

/// Runs the loop until the condition holds. Throws std::runtime_error after hang_timeout.
inline void run_until(asio::io_context& loop, const std::function<bool()>& is_done) {
    const auto deadline = current_time() + hang_timeout;
    while (!is_done() && current_time() < deadline) {
        loop.run_one_for(hang_timeout);
    }
    if (!is_done()) {
        throw std::runtime_error("the awaited condition did not become true");
    }
}

/// A pool that records everything it reports.
struct loop_pool {
    loop_pool(asio::io_context& loop, const std::string& node)
        : pool(open_link_pool(
              make_settings(node),
              {.on_message = [this](incoming message) { received.push_back(std::move(message)); },
               .on_link_lost = [this](const node_id& peer) { lost_peers.push_back(peer); },
               .on_undelivered =
                   [this](outgoing message) { undelivered.push_back(std::move(message)); },
               .on_log = [this](log_event event) { log_events.push_back(std::move(event)); }},
              &loop)) {}
    loop_pool(const loop_pool&) = delete;
    loop_pool& operator=(const loop_pool&) = delete;
    ~loop_pool() { stop(*pool); }

    [[nodiscard]] peer_address address() const { return {"127.0.0.1", link_port(*pool)}; }

    /// Values of one key in all link_closed events.
    [[nodiscard]] std::vector<std::string> closed_link_values(const std::string& key) const {
        std::vector<std::string> values;
        for (const auto& event : log_events) {
            for (const auto& field : event.fields) {
                if (event.name == "link_closed" && field.key == key) {
                    values.push_back(field.value);
                }
            }
        }
        return values;
    }

    std::vector<incoming> received;
    std::vector<node_id> lost_peers;
    std::vector<outgoing> undelivered;
    std::vector<log_event> log_events;
    std::shared_ptr<link_pool> pool;
};

/// One connection of a scripted peer.
struct scripted_link {
    explicit scripted_link(asio::io_context& loop) : socket(loop) {
        reader.max_frame_bytes = 1U << 22U;
    }

    tcp::socket socket;
    frame_reader reader;
    std::array<char, 65536> input{};
    std::vector<incoming> received;
    bool is_ended = false;
    bool is_reading = true;
};
using scripted_link_ptr = std::shared_ptr<scripted_link>;

inline void start_read(const scripted_link_ptr& peer_link) {
    peer_link->socket.async_read_some(
        asio::buffer(peer_link->input),
        [peer_link](const boost::system::error_code& error, std::size_t bytes) {
            if (error) {
                peer_link->is_ended = true;
                return;
            }
            append(peer_link->reader, {peer_link->input.data(), bytes});
            while (const auto frame = next_frame(peer_link->reader)) {
                auto decoded = decode_envelope(*frame);
                peer_link->received.push_back(std::move(std::get<incoming>(decoded)));
            }
            if (peer_link->is_reading) {
                start_read(peer_link);
            }
        });
}

/// A peer that sends only the messages that the test tells it to.
struct scripted_peer {
    scripted_peer(asio::io_context& context, std::string name)
        : loop(context), node(std::move(name)),
          acceptor(context, {asio::ip::make_address("127.0.0.1"), 0}) {
        start_accept();
    }

    [[nodiscard]] peer_address address() const {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    void start_accept() {
        acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error) {
                return;
            }
            auto accepted = std::make_shared<scripted_link>(loop);
            accepted->socket = std::move(socket);
            links.push_back(accepted);
            start_read(accepted);
            start_accept();
        });
    }

    scripted_link_ptr dial(const peer_address& target) {
        auto new_link = std::make_shared<scripted_link>(loop);
        new_link->socket.connect({asio::ip::make_address(target.ip), target.port});
        links.push_back(new_link);
        start_read(new_link);
        return new_link;
    }

    void send_message(const scripted_link_ptr& peer_link, const peer_message& message) const {
        asio::write(peer_link->socket,
                    asio::buffer(make_frame(encode_envelope(node_id{node}, message))));
    }

    void send_hello(const scripted_link_ptr& peer_link) const {
        msg::hello_msg hello;
        hello.node = node;
        hello.cluster_key = "key";
        hello.protocol = 1;
        hello.link_port = address().port;
        send_message(peer_link, hello);
    }

    asio::io_context& loop;
    std::string node;
    tcp::acceptor acceptor;
    std::vector<scripted_link_ptr> links;
};

inline msg::probe_msg make_probe(std::uint64_t sequence) {
    msg::probe_msg probe;
    probe.sequence = sequence;
    return probe;
}

/// Whether a message of this kind was received on the link.
template <typename kind> bool has(const scripted_link_ptr& peer_link) {
    return std::any_of(
        peer_link->received.begin(), peer_link->received.end(),
        [](const incoming& message) { return std::holds_alternative<kind>(message.message); });
}

} // namespace cyclamenhatch::wire::on_loop

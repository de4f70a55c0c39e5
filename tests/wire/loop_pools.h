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

/// Pools and scripted peers on one loop that the test turns, so that the order of events is the
/// test's own. Silence is told by the `now` that is passed to check_links.
namespace cyclamenhatch::wire::on_loop {

using boost::asio::ip::tcp;
namespace asio = boost::asio;

/// Guards against a hang only: what a test waits for comes by events of the loopback.
constexpr seconds hang_guard{20};

/// Far above what a test lasts, so that the pool's own timer finds nothing to do.
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

/// Turns the loop until the condition holds. Throws std::runtime_error when it never does.
inline void run_until(asio::io_context& loop, const std::function<bool()>& is_done) {
    const auto give_up = current_time() + hang_guard;
    while (!is_done() && current_time() < give_up) {
        loop.run_one_for(hang_guard);
    }
    if (!is_done()) {
        throw std::runtime_error("what the test waits for did not come");
    }
}

/// A pool with all that it reported.
struct loop_pool {
    loop_pool(asio::io_context& loop, const std::string& node)
        : pool(open_link_pool(
              make_settings(node),
              {.on_message = [this](incoming each) { received.push_back(std::move(each)); },
               .on_link_lost = [this](const node_id& peer) { lost.push_back(peer); },
               .on_undelivered = [this](outgoing each) { returned.push_back(std::move(each)); },
               .on_log = [this](log_event event) { logged.push_back(std::move(event)); }},
              &loop)) {}
    loop_pool(const loop_pool&) = delete;
    loop_pool& operator=(const loop_pool&) = delete;
    ~loop_pool() { stop(*pool); }

    [[nodiscard]] peer_address address() const { return {"127.0.0.1", link_port(*pool)}; }

    /// The link_closed lines' values of one key.
    [[nodiscard]] std::vector<std::string> closings(const std::string& key) const {
        std::vector<std::string> found;
        for (const auto& event : logged) {
            for (const auto& field : event.fields) {
                if (event.name == "link_closed" && field.key == key) {
                    found.push_back(field.value);
                }
            }
        }
        return found;
    }

    std::vector<incoming> received;
    std::vector<node_id> lost;
    std::vector<outgoing> returned;
    std::vector<log_event> logged;
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

inline void read_on(const scripted_link_ptr& from) {
    from->socket.async_read_some(asio::buffer(from->input),
                                 [from](const boost::system::error_code& error, std::size_t bytes) {
                                     if (error) {
                                         from->is_ended = true;
                                         return;
                                     }
                                     append(from->reader, {from->input.data(), bytes});
                                     while (const auto frame = next_frame(from->reader)) {
                                         auto decoded = decode_envelope(*frame);
                                         from->received.push_back(
                                             std::move(std::get<incoming>(decoded)));
                                     }
                                     if (from->is_reading) {
                                         read_on(from);
                                     }
                                 });
}

/// A peer that says and answers only what the test tells it to.
struct scripted_peer {
    scripted_peer(asio::io_context& on, std::string name)
        : loop(on), node(std::move(name)), acceptor(on, {asio::ip::make_address("127.0.0.1"), 0}) {
        accept_on();
    }

    [[nodiscard]] peer_address address() const {
        return {"127.0.0.1", acceptor.local_endpoint().port()};
    }

    void accept_on() {
        acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
            if (error) {
                return;
            }
            auto taken = std::make_shared<scripted_link>(loop);
            taken->socket = std::move(socket);
            links.push_back(taken);
            read_on(taken);
            accept_on();
        });
    }

    scripted_link_ptr dial(const peer_address& to) {
        auto dialled = std::make_shared<scripted_link>(loop);
        dialled->socket.connect({asio::ip::make_address(to.ip), to.port});
        links.push_back(dialled);
        read_on(dialled);
        return dialled;
    }

    void say(const scripted_link_ptr& on, const peer_message& message) const {
        asio::write(on->socket, asio::buffer(make_frame(encode_envelope(node_id{node}, message))));
    }

    void say_hello(const scripted_link_ptr& on) const {
        msg::hello_msg hello;
        hello.node = node;
        hello.cluster_key = "key";
        hello.protocol = 1;
        hello.link_port = address().port;
        say(on, hello);
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

/// Whether a message of this kind has come on the link.
template <typename kind> bool has(const scripted_link_ptr& on) {
    return std::any_of(on->received.begin(), on->received.end(), [](const incoming& each) {
        return std::holds_alternative<kind>(each.message);
    });
}

} // namespace cyclamenhatch::wire::on_loop

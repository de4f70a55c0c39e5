#include "edge/upstream_connection.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <utility>

namespace cyclamenhatch::edge {

using boost::system::error_code;

struct upstream_probe {
    explicit upstream_probe(asio::io_context& io)
        : executor(asio::make_strand(io)), socket(executor), timer(executor), pause(executor) {}

    const upstream_strand executor;
    std::atomic<bool> is_done{false};
    // Used on the strand only.
    upstream_socket socket;
    asio::steady_timer timer;
    std::vector<tcp::endpoint> targets;
    std::size_t next_target = 0;
    std::size_t refusals = 0;
    bool is_second = false;
    asio::steady_timer pause;
    std::function<void(bool)> on_done;
};

namespace {

/// A connection to this host that takes longer counts as accepted: only a refusal shows a crash.
constexpr std::chrono::milliseconds probe_timeout{200};
/// The sockets of a process that ends close within a few milliseconds of each other.
constexpr std::chrono::milliseconds second_delay{20};

void finish(const upstream_probe_ptr& self, bool is_refused) {
    if (self->is_done.exchange(true)) {
        return;
    }
    error_code ignored;
    self->socket.close(ignored);
    self->timer.cancel();
    self->pause.cancel();
    std::exchange(self->on_done, nullptr)(is_refused);
}

void try_next(const upstream_probe_ptr& self);

void on_accepted(const upstream_probe_ptr& self) {
    if (std::exchange(self->is_second, true)) {
        finish(self, false);
        return;
    }
    error_code ignored;
    self->socket.close(ignored);
    self->next_target = 0;
    self->refusals = 0;
    self->pause.expires_after(second_delay);
    self->pause.async_wait([self](error_code cancelled) {
        if (!cancelled && !self->is_done) {
            try_next(self);
        }
    });
}

void try_next(const upstream_probe_ptr& self) {
    if (self->next_target >= self->targets.size()) {
        finish(self, self->refusals > 0);
        return;
    }
    const auto& target = self->targets[self->next_target++];
    self->socket.async_connect(target, [self](error_code error) {
        if (self->is_done) {
            return;
        }
        if (!error) {
            on_accepted(self);
            return;
        }
        self->refusals += error == asio::error::connection_refused ? 1 : 0;
        error_code ignored;
        self->socket.close(ignored);
        try_next(self);
    });
}

} // namespace

upstream_probe_ptr probe_listener(upstream_client& client, std::function<void(bool)> on_done) {
    auto probe = std::make_shared<upstream_probe>(client.io);
    probe->on_done = std::move(on_done);
    {
        const std::lock_guard guard(client.lock);
        probe->targets = client.targets;
    }
    asio::post(probe->executor, [probe] {
        probe->timer.expires_after(probe_timeout);
        probe->timer.async_wait([probe](error_code cancelled) {
            if (!cancelled) {
                finish(probe, false);
            }
        });
        try_next(probe);
    });
    return probe;
}

void cancel_probe(upstream_probe& probe) {
    probe.is_done = true;
}

} // namespace cyclamenhatch::edge

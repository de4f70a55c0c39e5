#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>

namespace cyclamenhatch::edge::testing {

/// What happens to a connection after an answer. `shut_down` ends the upstream's side in order and
/// leaves the rest of the request unread.
enum class upstream_end { keep, close, reset, shut_down, shut_down_and_reset };

/// What an upstream writes for one request, and what it does with the connection then.
struct upstream_script {
    std::string bytes;
    upstream_end end = upstream_end::keep;
    /// Called once the connection has ended that way; may be empty.
    std::function<void()> on_end;
};

/// Counted from 1: the connection, and the request on it.
struct request_place {
    int connection = 0;
    int request = 0;
    std::string id;
};

/// An upstream on the loop of the test that writes these bytes for each request, once it has read
/// the head. A connection that is kept takes requests without a body only.
class scripted_upstream {
public:
    using script = std::function<upstream_script(const request_place&)>;

    scripted_upstream(boost::asio::io_context& io, script answers);

    [[nodiscard]] std::uint16_t port() const { return acceptor_.local_endpoint().port(); }
    [[nodiscard]] int connections() const { return connections_; }
    /// Number of requests with this id.
    [[nodiscard]] int requests(const std::string& id) const;

private:
    void accept_next();

    script script_;
    boost::asio::ip::tcp::acceptor acceptor_;
    int connections_ = 0;
    std::string ids_;
};

/// The loop of an upstream on a thread of its own, for callers that block.
struct running_upstream {
    explicit running_upstream(scripted_upstream::script script)
        : upstream(io, std::move(script)), runner([this] { io.run(); }) {}
    running_upstream(const running_upstream&) = delete;
    running_upstream& operator=(const running_upstream&) = delete;
    ~running_upstream() {
        io.stop();
        runner.join();
    }

    boost::asio::io_context io;
    scripted_upstream upstream;
    std::thread runner;
};

} // namespace cyclamenhatch::edge::testing

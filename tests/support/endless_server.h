#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>

namespace cyclamenhatch::testing {

/// What is sent for one request: `start` once, then `again` over and over, when it is not empty.
struct endless_answer {
    std::string start;
    std::string again;
    /// Sends `again` once in a while, not as fast as it is taken.
    bool is_slow = false;
};

/// A server that sends bytes without end until the other side closes, or until `most_bytes` of one
/// connection were taken: it closes then, so that a client without a bound of its own fails its
/// test and not the machine.
class endless_server {
public:
    static constexpr std::uint64_t most_bytes = 64ULL << 20U;

    /// The answer to a request for this path with this value of the header x-id.
    using script =
        std::function<endless_answer(const std::string& path, const std::string& request_id)>;

    explicit endless_server(script answers)
        : script_(std::move(answers)),
          acceptor_(io_, tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
          port_(acceptor_.local_endpoint().port()) {
        accept_next();
        thread_ = std::thread([this] { io_.run(); });
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    ~endless_server() {
        io_.stop();
        thread_.join();
    }

    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Connections that were opened so far.
    [[nodiscard]] int connections() {
        const std::lock_guard guard(lock_);
        return connections_;
    }
    /// Writes that the network took so far.
    [[nodiscard]] int writes() {
        const std::lock_guard guard(lock_);
        return writes_;
    }
    /// Connections that the other side has closed so far.
    [[nodiscard]] int closed() {
        const std::lock_guard guard(lock_);
        return closed_;
    }
    /// Waits until the other side has closed that many connections.
    void wait_for_closed(int count) {
        std::unique_lock guard(lock_);
        changed_.wait(guard, [&] { return closed_ >= count; });
    }
    /// Whether a client took all of `most_bytes` on some connection.
    [[nodiscard]] bool is_exhausted() {
        const std::lock_guard guard(lock_);
        return is_exhausted_;
    }

private:
    using error_code = boost::system::error_code;
    using tcp = boost::asio::ip::tcp;
    struct connection {
        explicit connection(tcp::socket from)
            : socket(std::move(from)), pace(socket.get_executor()) {}
        tcp::socket socket;
        boost::asio::steady_timer pace;
        boost::beast::flat_buffer buffer;
        std::optional<boost::beast::http::request_parser<boost::beast::http::string_body>> parser;
        std::string outgoing;
        std::string block;
        bool is_slow = false;
        std::uint64_t sent = 0;
    };
    using connection_ptr = std::shared_ptr<connection>;

    void note(const std::function<void()>& change) {
        const std::lock_guard guard(lock_);
        change();
        changed_.notify_all();
    }

    void accept_next() {
        acceptor_.async_accept([this](error_code failed, tcp::socket socket) {
            if (failed) {
                return;
            }
            note([&] { ++connections_; });
            read_next(std::make_shared<connection>(std::move(socket)));
            accept_next();
        });
    }

    /// Also notices that the other side closes.
    void read_next(const connection_ptr& on) {
        on->parser.emplace();
        boost::beast::http::async_read(on->socket, on->buffer, *on->parser,
                                       [this, on](error_code failed, std::size_t) {
                                           if (failed) {
                                               note([&] { ++closed_; });
                                               on->pace.cancel();
                                               on->socket.close(failed);
                                               return;
                                           }
                                           answer(on);
                                           read_next(on);
                                       });
    }

    void answer(const connection_ptr& on) {
        const auto& request = on->parser->get();
        const auto told = script_(std::string(request.target()), std::string(request["x-id"]));
        on->is_slow = told.is_slow;
        on->block = told.again;
        // Large writes where speed matters.
        constexpr std::size_t block_bytes = 65'536;
        while (!told.is_slow && !told.again.empty() && on->block.size() < block_bytes) {
            on->block += told.again;
        }
        send(on, told.start);
    }

    void send(const connection_ptr& on, std::string bytes) {
        on->outgoing = std::move(bytes);
        on->sent += on->outgoing.size();
        boost::asio::async_write(on->socket, boost::asio::buffer(on->outgoing),
                                 [this, on](error_code failed, std::size_t) {
                                     note([&] { ++writes_; });
                                     if (!failed && !on->block.empty()) {
                                         send_again(on);
                                     }
                                 });
    }

    void send_again(const connection_ptr& on) {
        if (on->sent >= most_bytes) {
            note([&] { is_exhausted_ = true; });
            error_code ignored;
            on->socket.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        if (!on->is_slow) {
            send(on, on->block);
            return;
        }
        on->pace.expires_after(std::chrono::milliseconds(1));
        on->pace.async_wait([this, on](error_code cancelled) {
            if (!cancelled) {
                send(on, on->block);
            }
        });
    }

    const script script_;
    boost::asio::io_context io_;
    tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    std::mutex lock_;
    std::condition_variable changed_;
    int connections_ = 0;
    int writes_ = 0;
    int closed_ = 0;
    bool is_exhausted_ = false;
    std::thread thread_;
};

/// What a server in trouble sends to a request with this id, by the name of the trouble.
inline endless_answer make_trouble(const std::string& name, const std::string& id) {
    const std::string head = "HTTP/1.1 200 OK\r\nx-id: " + id + "\r\n";
    const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";
    const std::string sized = head + "Content-Length: 5\r\n\r\nhello";
    if (name == "no-answer") {
        return {"no answer ", "at all "};
    }
    if (name == "no-answer-by-bytes") {
        return {"n", "o"};
    }
    if (name == "no-status-by-bytes") {
        return {"HTTP/1.1 ", "o"};
    }
    if (name == "other-protocol") {
        return {"HTTP/1.1 101 Switching Protocols\r\nUpgrade: other\r\n\r\n", ""};
    }
    if (name == "status-below-100") {
        return {"HTTP/1.1 099 Low\r\nx-id: " + id + "\r\nContent-Length: 0\r\n\r\n", ""};
    }
    if (name == "status-line") {
        return {"HTTP/1.1 200 ", "a"};
    }
    if (name == "header-line") {
        return {head + "X-Long: ", "a"};
    }
    if (name == "headers") {
        return {head, "X-More: a\r\n"};
    }
    if (name == "informational") {
        return {"", "HTTP/1.1 102 Wait\r\n\r\n"};
    }
    if (name == "chunk-size") {
        return {chunked, "0"};
    }
    if (name == "chunk-extension") {
        return {chunked + "5", ";a"};
    }
    if (name == "later-chunk-extension") {
        return {chunked + "5\r\nhello\r\n5", ";a"};
    }
    if (name == "trailers") {
        return {chunked + "5\r\nhello\r\n0\r\n", "X-More: a\r\n"};
    }
    if (name == "trailer-line") {
        return {chunked + "5\r\nhello\r\n0\r\nX-Long: ", "a"};
    }
    if (name == "beyond-length") {
        return {sized, "x"};
    }
    if (name == "beyond-chunks") {
        return {chunked + "5\r\nhello\r\n0\r\n\r\n", "x"};
    }
    if (name == "stale-answers") {
        return {"", "HTTP/1.1 200 OK\r\nx-id: another\r\nContent-Length: 0\r\n\r\n"};
    }
    if (name == "stale-body") {
        return {"HTTP/1.1 200 OK\r\nx-id: another\r\nTransfer-Encoding: chunked\r\n\r\n",
                "5\r\nhello\r\n"};
    }
    if (name == "chunked-body") {
        return {chunked, "4000\r\nhello" + std::string(0x4000 - 5, 'x') + "\r\n"};
    }
    if (name == "body-without-length") {
        return {head + "\r\n", "hello"};
    }
    return {sized, ""};
}

/// As make_trouble for paths of the form /fast/NAME and /slow/NAME.
inline endless_answer play_trouble(const std::string& path, const std::string& id) {
    constexpr std::size_t pace_size = 6;
    const bool is_paced = path.rfind("/fast/", 0) == 0 || path.rfind("/slow/", 0) == 0;
    auto told = make_trouble(is_paced ? path.substr(pace_size) : path, id);
    told.is_slow = path.rfind("/slow/", 0) == 0;
    return told;
}

} // namespace cyclamenhatch::testing

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

/// What is sent for one request: `start` once, then `repeated_bytes` repeatedly, when it is not
/// empty.
struct scripted_answer {
    std::string start;
    std::string repeated_bytes;
    /// Sends `repeated_bytes` once a millisecond, not as fast as the client reads.
    bool is_slow = false;
};

/// A server that sends bytes without end until the client closes the connection or has taken
/// `max_bytes` on it. It closes then, so that a client without a limit of its own fails its test
/// instead of reading forever.
class endless_server {
public:
    static constexpr std::uint64_t max_bytes = 64ULL << 20U;

    /// The answer to a request for this path with this value of the header x-id.
    using script =
        std::function<scripted_answer(const std::string& path, const std::string& request_id)>;

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
    /// Number of connections opened so far.
    [[nodiscard]] int connections() {
        const std::lock_guard guard(lock_);
        return connections_;
    }
    /// Number of completed writes so far.
    [[nodiscard]] int writes() {
        const std::lock_guard guard(lock_);
        return writes_;
    }
    /// Number of connections that the client has closed so far.
    [[nodiscard]] int closed_connections() {
        const std::lock_guard guard(lock_);
        return closed_connections_;
    }
    /// Blocks until the client has closed `count` connections.
    void wait_for_closed(int count) {
        std::unique_lock guard(lock_);
        changed_.wait(guard, [&] { return closed_connections_ >= count; });
    }
    /// Whether a client took all of `max_bytes` on some connection.
    [[nodiscard]] bool is_exhausted() {
        const std::lock_guard guard(lock_);
        return is_exhausted_;
    }

private:
    using error_code = boost::system::error_code;
    using tcp = boost::asio::ip::tcp;
    struct connection {
        explicit connection(tcp::socket accepted)
            : socket(std::move(accepted)), pace(socket.get_executor()) {}
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

    /// Reads and answers the next request; a failed read means that the client has closed.
    void read_next(const connection_ptr& target) {
        target->parser.emplace();
        boost::beast::http::async_read(target->socket, target->buffer, *target->parser,
                                       [this, target](error_code failed, std::size_t) {
                                           if (failed) {
                                               note([&] { ++closed_connections_; });
                                               target->pace.cancel();
                                               target->socket.close(failed);
                                               return;
                                           }
                                           answer(target);
                                           read_next(target);
                                       });
    }

    void answer(const connection_ptr& target) {
        const auto& request = target->parser->get();
        const auto scripted = script_(std::string(request.target()), std::string(request["x-id"]));
        target->is_slow = scripted.is_slow;
        target->block = scripted.repeated_bytes;
        // Combines small pieces into large writes, to send fast.
        constexpr std::size_t block_bytes = 65'536;
        while (!scripted.is_slow && !scripted.repeated_bytes.empty() &&
               target->block.size() < block_bytes) {
            target->block += scripted.repeated_bytes;
        }
        send(target, scripted.start);
    }

    void send(const connection_ptr& target, std::string bytes) {
        target->outgoing = std::move(bytes);
        target->sent += target->outgoing.size();
        boost::asio::async_write(target->socket, boost::asio::buffer(target->outgoing),
                                 [this, target](error_code failed, std::size_t) {
                                     note([&] { ++writes_; });
                                     if (!failed && !target->block.empty()) {
                                         send_again(target);
                                     }
                                 });
    }

    void send_again(const connection_ptr& target) {
        if (target->sent >= max_bytes) {
            note([&] { is_exhausted_ = true; });
            error_code ignored;
            target->socket.shutdown(tcp::socket::shutdown_send, ignored);
            return;
        }
        if (!target->is_slow) {
            send(target, target->block);
            return;
        }
        target->pace.expires_after(std::chrono::milliseconds(1));
        target->pace.async_wait([this, target](error_code cancelled) {
            if (!cancelled) {
                send(target, target->block);
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
    int closed_connections_ = 0;
    bool is_exhausted_ = false;
    std::thread thread_;
};

/// The answer of a faulty server to a request with this id, by the name of the fault.
inline scripted_answer make_faulty_answer(const std::string& name, const std::string& id) {
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
    if (name == "tiny-chunks") {
        return {chunked, "1\r\nx\r\n"};
    }
    if (name == "extended-chunks") {
        return {chunked, "1;" + std::string(4096, 'a') + "\r\nx\r\n"};
    }
    if (name == "body-without-length") {
        return {head + "\r\n", "hello"};
    }
    return {sized, ""};
}

/// As make_faulty_answer for the NAME in paths of the form /fast/NAME and /slow/NAME.
inline scripted_answer make_faulty_answer_for_path(const std::string& path, const std::string& id) {
    constexpr std::size_t pace_size = 6;
    const bool is_paced = path.rfind("/fast/", 0) == 0 || path.rfind("/slow/", 0) == 0;
    auto faulty_answer = make_faulty_answer(is_paced ? path.substr(pace_size) : path, id);
    faulty_answer.is_slow = path.rfind("/slow/", 0) == 0;
    return faulty_answer;
}

} // namespace cyclamenhatch::testing

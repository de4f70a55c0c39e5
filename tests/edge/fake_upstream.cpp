#include "fake_upstream.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <optional>
#include <sys/socket.h>

namespace cyclamenhatch::edge::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

std::string plain(int status, const std::string& body) {
    return "HTTP/1.1 " + std::to_string(status) +
           " Told\r\nX-From: upstream\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

bool starts_with(const std::string& text, const std::string& start) {
    return text.rfind(start, 0) == 0;
}

constexpr std::string_view final_chunk = "0\r\n\r\n";

std::string chunked(std::size_t bytes) {
    std::string out = "HTTP/1.1 200 Told\r\nTransfer-Encoding: chunked\r\n\r\n";
    while (bytes > 0) {
        const auto size = std::min<std::size_t>(bytes, 10'000);
        char length[16];
        std::snprintf(length, sizeof length, "%zx\r\n", size);
        out += length + std::string(size, 'c') + "\r\n";
        bytes -= size;
    }
    return out + std::string(final_chunk);
}

std::size_t stated_length(const std::string& head) {
    const auto position = head.find("Content-Length: ");
    return position == std::string::npos ? 0 : std::stoul(head.substr(position + 16));
}

/// The value of the header x-id, or nothing.
std::string id_of(const std::string& head) {
    const auto position = head.find("x-id: ");
    return position == std::string::npos
               ? ""
               : head.substr(position + 6, head.find("\r\n", position) - position - 6);
}

/// The answer with another header, before its first one.
std::string with_header(std::string answer, const std::string& header) {
    answer.insert(answer.find("\r\n"), "\r\n" + header);
    return answer;
}

std::string with_id(std::string answer, const std::string& id) {
    return with_header(std::move(answer), "x-id: " + id);
}

/// The answer whose size the path states; nothing for other paths.
std::optional<std::string> make_answer_by_size(const std::string& path) {
    if (starts_with(path, "/hold-bytes/")) {
        return plain(200, std::string(std::stoul(path.substr(12)), 'b'));
    }
    if (starts_with(path, "/bytes/")) {
        return plain(200, std::string(std::stoul(path.substr(7)), 'b'));
    }
    if (starts_with(path, "/counted/")) {
        return plain(200, counted_bytes(std::stoul(path.substr(9))));
    }
    if (starts_with(path, "/chunked/")) {
        return chunked(std::stoul(path.substr(9)));
    }
    if (starts_with(path, "/no-content")) {
        return "HTTP/1.1 204 Told\r\n\r\n";
    }
    if (starts_with(path, "/head/")) {
        return "HTTP/1.1 200 Told\r\nContent-Length: " + path.substr(6) + "\r\n\r\n";
    }
    if (starts_with(path, "/half-chunked/")) {
        const auto whole = chunked(std::stoul(path.substr(14)));
        return whole.substr(0, whole.size() - final_chunk.size());
    }
    if (starts_with(path, "/half")) {
        return "HTTP/1.1 200 Told\r\nContent-Length: 100000\r\n\r\n" +
               std::string(std::stoul(path.substr(6)), 'h');
    }
    return std::nullopt;
}

} // namespace

std::string counted_bytes(std::size_t bytes) {
    std::string out;
    for (std::size_t number = 0; out.size() < bytes; ++number) {
        out += std::to_string(number) + " ";
    }
    return out.substr(0, bytes);
}

fake_upstream::fake_upstream()
    : acceptor_(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)),
      port_(acceptor_.local_endpoint().port()), acceptor_thread_([this] { accept_all(); }) {}

fake_upstream::~fake_upstream() {
    release();
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    acceptor_thread_.join();
    {
        const std::lock_guard guard(lock_);
        for (const int handle : open_sockets_) {
            ::shutdown(handle, SHUT_RDWR);
        }
    }
    for (auto& thread : threads_) {
        thread.join();
    }
}

int fake_upstream::runs(const std::string& path) {
    const std::lock_guard guard(lock_);
    return runs_[path];
}

void fake_upstream::wait_for_runs(const std::string& path, int count) {
    std::unique_lock guard(lock_);
    changed_.wait(guard, [&] { return runs_[path] >= count; });
}

void fake_upstream::release() {
    const std::lock_guard guard(lock_);
    is_released_ = true;
    changed_.notify_all();
}

void fake_upstream::end() {
    const std::lock_guard guard(lock_);
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    close_all();
}

void fake_upstream::end_late() {
    std::unique_lock guard(lock_);
    close_all();
    const auto accepted = accepted_;
    changed_.wait_for(guard, std::chrono::seconds(1), [&] { return accepted_ > accepted; });
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    close_all();
}

void fake_upstream::close_all() {
    for (const int handle : open_sockets_) {
        ::shutdown(handle, SHUT_RDWR);
    }
}

void fake_upstream::come_back() {
    acceptor_thread_.join();
    acceptor_ = tcp::acceptor(io_, tcp::endpoint(asio::ip::make_address("127.0.0.1"), port_));
    acceptor_thread_ = std::thread([this] { accept_all(); });
}

std::string fake_upstream::last_head() {
    const std::lock_guard guard(lock_);
    return last_head_;
}

void fake_upstream::accept_all() {
    while (true) {
        boost::system::error_code error;
        tcp::socket socket(io_);
        acceptor_.accept(socket, error);
        if (error) {
            return;
        }
        const std::lock_guard guard(lock_);
        ++accepted_;
        changed_.notify_all();
        open_sockets_.push_back(socket.native_handle());
        threads_.emplace_back([this, shared_socket = std::make_shared<tcp::socket>(std::move(
                                         socket))]() mutable { serve(std::move(*shared_socket)); });
    }
}

void fake_upstream::serve(tcp::socket socket) {
    std::string buffer;
    boost::system::error_code error;
    while (true) {
        const auto head_size =
            asio::read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n", error);
        if (error) {
            break;
        }
        const auto head = buffer.substr(0, head_size);
        buffer.erase(0, head_size);
        const auto length = stated_length(head);
        if (buffer.size() < length) {
            asio::read(socket, asio::dynamic_buffer(buffer),
                       asio::transfer_exactly(length - buffer.size()), error);
        }
        const auto body = buffer.substr(0, length);
        buffer.erase(0, length);
        const auto path_start = head.find(' ') + 1;
        const auto path = head.substr(path_start, head.find(' ', path_start) - path_start);
        {
            const std::lock_guard guard(lock_);
            last_head_ = head;
        }
        const auto answer = answer_to(path, body, id_of(head));
        asio::write(socket, asio::buffer(answer), error);
        if (error || answer.empty() || starts_with(path, "/half")) {
            break;
        }
    }
    const std::lock_guard guard(lock_);
    std::erase(open_sockets_, socket.native_handle());
    socket.close(error);
}

std::string fake_upstream::answer_to(const std::string& full_path, const std::string& body,
                                     const std::string& id) {
    std::unique_lock guard(lock_);
    ++runs_[full_path];
    const auto path = starts_with(full_path, "/once/") ? full_path.substr(5) : full_path;
    changed_.notify_all();
    if (starts_with(path, "/hold")) {
        changed_.wait(guard, [&] { return is_released_; });
    }
    guard.unlock();
    if (starts_with(path, "/status/")) {
        auto answer = plain(std::stoi(path.substr(8)), "told");
        return id.empty() ? answer : with_id(std::move(answer), id);
    }
    if (auto answer = make_answer_by_size(path)) {
        return *std::move(answer);
    }
    if (starts_with(path, "/die-late")) {
        end_late();
        return {};
    }
    if (starts_with(path, "/die")) {
        end();
        return {};
    }
    if (starts_with(path, "/break")) {
        return {};
    }
    if (starts_with(path, "/stale")) {
        return with_id(plain(200, "not yours"), "another") + with_id(plain(200, "yours"), id);
    }
    if (starts_with(path, "/foreign")) {
        return with_id(plain(200, "not yours"), "another");
    }
    if (starts_with(path, "/unrun")) {
        return with_id(plain(503, "full"), id + "\r\nx-unrun: 1");
    }
    if (starts_with(path, "/limit/")) {
        return with_header(plain(200, "ok"), "cyclamenhatch-upstream-limit: " + path.substr(7));
    }
    if (starts_with(path, "/leave")) {
        return with_header(plain(200, "ok"), "cyclamenhatch-upstream-leaves: 1");
    }
    if (starts_with(path, "/other-leaves")) {
        return with_header(with_id(plain(421, "other"), id), "cyclamenhatch-upstream-leaves: 1");
    }
    if (starts_with(path, "/other")) {
        return with_id(plain(421, "other"), id);
    }
    if (!id.empty()) {
        return with_id(plain(200, path), id);
    }
    if (starts_with(path, "/echo")) {
        return plain(200, body);
    }
    return plain(200, "ok");
}

} // namespace cyclamenhatch::edge::testing

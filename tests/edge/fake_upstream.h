#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cyclamenhatch::edge::testing {

/// The given number of bytes, such that no two pieces are equal.
[[nodiscard]] std::string counted_bytes(std::size_t bytes);

/// An upstream whose behaviour the path of each request selects: /ok, /echo, /status/N, /bytes/N,
/// /chunked/N, /counted/N (N bytes, no two pieces equal), /break (closes without an answer), /half
/// (closes in the middle of the answer), /half-chunked/N (closes before the final chunk of an
/// answer of N bytes), /no-content (204), /head/N (a head that states N bytes, for HEAD), /hold
/// (answers once released), /hold-bytes/N (the same, with N bytes), /stale (an answer to another
/// request, then its own), /foreign (an answer to another request only), /unrun (reports that it
/// did not run the call), /other (reports that it is not the expected instance), /other-leaves (the
/// same, and says that it leaves), /limit/N (states a limit of N calls a second), /leave (says that
/// it leaves), /die (ends like a process that crashes: it accepts no connections any more and all
/// that were open are closed), /die-late (the same, but it accepts one more connection after those
/// open were closed). "/once" before a path changes nothing. Answers echo the header x-id.
class fake_upstream {
public:
    fake_upstream();
    fake_upstream(const fake_upstream&) = delete;
    fake_upstream& operator=(const fake_upstream&) = delete;
    ~fake_upstream();

    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Runs of a path so far.
    [[nodiscard]] int runs(const std::string& path);
    /// Waits until `count` runs of the path have begun.
    void wait_for_runs(const std::string& path, int count);
    /// Lets all held requests be answered.
    void release();
    /// Ends like a process that crashes or exits: as /die.
    void end();
    /// Starts again at the same port. Precondition: it has ended.
    void come_back();
    /// The head of the last request.
    [[nodiscard]] std::string last_head();

private:
    void accept_all();
    void end_late();
    /// Precondition: the lock is held.
    void close_all();
    void serve(boost::asio::ip::tcp::socket socket);
    std::string answer_to(const std::string& full_path, const std::string& body,
                          const std::string& id);

    boost::asio::io_context io_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    std::mutex lock_;
    std::condition_variable changed_;
    std::map<std::string, int> runs_;
    std::string last_head_;
    bool is_released_ = false;
    int accepted_ = 0;
    std::vector<std::thread> threads_;
    std::vector<int> open_sockets_;
    std::thread acceptor_thread_;
};

} // namespace cyclamenhatch::edge::testing

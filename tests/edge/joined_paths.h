#pragma once

#include "edge/call_path.h"
#include "fake_upstream.h"

#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenhatch::edge::testing {

/// Two call paths, an entry and a gate with an upstream, that hand each other their messages
/// directly. Calls to "/..." belong to one service with two routes: /once/... is not idempotent.
class joined_paths {
public:
    explicit joined_paths(std::uint16_t upstream_port, const header_names& names = {});
    joined_paths(const joined_paths&) = delete;
    joined_paths& operator=(const joined_paths&) = delete;
    ~joined_paths();

    call_path& entry() { return *entry_; }
    call_path& gate() { return *gate_; }
    [[nodiscard]] std::uint16_t entry_port() const { return entry_port_; }
    [[nodiscard]] std::uint16_t gate_port() const { return gate_port_; }
    /// From now on nothing that the entry sends reaches the gate, and the entry is told so at once.
    void cut_link();
    /// Messages that the entry could not deliver.
    [[nodiscard]] int undelivered();
    /// Loses the next answers and refusals that the gate sends.
    void lose_answers(int count);
    /// From now on what this says of a message to that node is lost.
    void lose(std::function<bool(const node_id& to, const peer_message&)> is_lost);
    /// Messages that were lost so.
    [[nodiscard]] int lost();
    /// Sends bytes to the entry and reads until the connection closes or the answer is whole.
    [[nodiscard]] std::string ask(const std::string& request, bool at_gate = false);
    /// Sends bytes to the entry and returns the answer's body, or "broken off".
    [[nodiscard]] std::string fetch(const std::string& request);
    [[nodiscard]] std::string get(const std::string& path, const std::string& headers = {});
    /// Sends bytes to the entry and returns so many whole answers' bodies, in the order in which
    /// they come, or "closed" for each that is missing.
    [[nodiscard]] std::vector<std::string> ask_many(const std::string& requests, int answers);
    /// Takes the service's only endpoint out of the view, as when its node has died.
    void forget_endpoint();
    void announce(msg::upstream_state state, std::uint16_t port, const std::string& instance = {});

private:
    [[nodiscard]] surroundings make_surroundings(const std::string& self);

    const header_names names_;
    std::mutex lock_;
    call::routing_view_ptr view_;
    int answers_to_lose_ = 0;
    bool is_cut_ = false;
    int undelivered_ = 0;
    std::function<bool(const node_id& to, const peer_message&)> is_lost_;
    int lost_ = 0;
    std::shared_ptr<call_path> entry_;
    std::shared_ptr<call_path> gate_;
    std::uint16_t entry_port_ = 0;
    std::uint16_t gate_port_ = 0;
};

struct lone_node {
    std::shared_ptr<call_path> path;
    std::uint16_t caller_port = 0;
};

/// A node whose upstream listens on this port, on an io_context that the test runs. What it sends
/// to others goes to on_send, and is dropped when there is none.
[[nodiscard]] lone_node start_lone_node(std::uint16_t upstream_port, boost::asio::io_context& io,
                                        const std::string& link_rate = {},
                                        std::function<void(const outgoing&)> on_send = {});

/// A request to open or to cancel the call of this number at such a gate.
[[nodiscard]] incoming make_open(std::uint64_t number, const std::string& path);
[[nodiscard]] incoming make_cancel(std::uint64_t number);

} // namespace cyclamenhatch::edge::testing

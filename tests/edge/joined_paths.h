#pragma once

#include "edge/call_path.h"
#include "fake_upstream.h"

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace cyclamenhatch::edge::testing {

/// Two call paths, an entry and a gate with an upstream, that hand each other their messages
/// directly. Calls to "/..." belong to one service: /once/... is not idempotent, and /ok/open/...
/// is anonymous.
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
    /// From now on, messages from the entry to the gate are lost and at once reported as
    /// undelivered.
    void cut_link();
    /// Number of messages that the entry could not deliver.
    [[nodiscard]] int undelivered_count();
    /// Loses the next `count` answers and refusals.
    void lose_answers(int count);
    /// From now on, loses each message for which the predicate returns true.
    void lose(std::function<bool(const node_id& receiver, const peer_message&)> should_lose);
    /// From now on, passes each message that is not lost to the function, which may change it.
    void alter(std::function<void(const node_id& receiver, peer_message&)> change);
    /// Number of messages lost by the predicate.
    [[nodiscard]] int lost_count();
    /// Sends bytes to the entry and reads until the connection closes or the answer is whole.
    [[nodiscard]] std::string ask(const std::string& request, bool at_gate = false);
    /// Sends bytes to the entry and returns the answer's body, or "broken off".
    [[nodiscard]] std::string fetch(const std::string& request);
    [[nodiscard]] std::string get(const std::string& path, const std::string& headers = {});
    /// Sends bytes to the entry and returns the bodies of `answers` whole answers, in order of
    /// arrival, or "closed" for each that is missing.
    [[nodiscard]] std::vector<std::string> ask_many(const std::string& requests, int answers);
    /// Sends bytes to the entry and returns all bytes that come back until the connection closes.
    [[nodiscard]] std::string ask_raw(const std::string& request);
    /// Puts a configuration with these workspaces, or with an empty list of them, in force at both
    /// nodes. The gate is the only keeper of allowances.
    void set_workspaces(const std::vector<workspace>& workspaces);
    /// Removes the service's only endpoint from the view, as after the failure of its node.
    void forget_endpoint();
    void announce(msg::upstream_state state, std::uint16_t port, const std::string& instance = {},
                  milliseconds cold_for = milliseconds{0});
    /// From now on, the service states how its cold upstreams may be called.
    void set_warm_up(double calls_per_s, milliseconds warm_up_time);
    /// The gate's process ends and another begins, which knows nothing of its upstream.
    /// Precondition: no call is in flight.
    void restart_gate();
    /// Adds the entry's node as an endpoint whose upstream listens on this port. Calls try one in
    /// another data centre second. No message to it passes through lose and alter.
    void add_endpoint_at_entry(std::uint16_t port, const std::string& data_centre = {});
    /// Sets what the gate knows of suspects and, unless `only_gate`, the entry.
    void set_quarantine(const call::quarantine_view& suspects, bool only_gate = false);
    /// Waits up to 2 s for this number of crashes; returns those reported so far, by any node.
    [[nodiscard]] std::vector<call::upstream_crash> wait_for_crashes(std::size_t count);
    /// Waits up to 2 s for this number of samples of failed attempts; returns the number so far.
    [[nodiscard]] int wait_for_errors(int count);
    /// Digests of the suspects that have run well so far.
    [[nodiscard]] std::vector<request_digest> ran_well();
    /// Events logged so far, by any node.
    [[nodiscard]] std::vector<log_event> events(const std::string& name);
    [[nodiscard]] std::vector<log_event> all_events();

private:
    [[nodiscard]] call_path_callbacks make_callbacks(const std::string& self);

    const header_names names_;
    std::mutex lock_;
    call::routing_view_ptr view_;
    /// The entry's view when it differs.
    call::routing_view_ptr entry_view_;
    std::condition_variable changed_;
    int errors_ = 0;
    std::vector<call::upstream_crash> crashes_;
    std::vector<request_digest> ran_well_;
    std::vector<log_event> events_;
    int answers_to_lose_ = 0;
    bool is_link_cut_ = false;
    int undelivered_ = 0;
    std::function<bool(const node_id& receiver, const peer_message&)> should_lose_;
    std::function<void(const node_id& receiver, peer_message&)> change_;
    int lost_count_ = 0;
    std::shared_ptr<call_path> entry_;
    std::shared_ptr<call_path> gate_;
    std::uint16_t entry_port_ = 0;
    std::uint16_t gate_port_ = 0;
};

/// The text of a request with this request line, such as "GET /ok".
[[nodiscard]] std::string request(const std::string& line, const std::string& headers = {},
                                  const std::string& body = {});

struct lone_node {
    std::shared_ptr<call_path> path;
    std::uint16_t caller_port = 0;
};

/// A node whose upstream listens on this port, on an io_context that the test runs. Messages to
/// other nodes go to on_send, and are dropped when it is empty.
[[nodiscard]] lone_node start_lone_node(std::uint16_t upstream_port, boost::asio::io_context& io,
                                        const std::string& link_rate = {},
                                        std::function<void(const outgoing&)> on_send = {});

/// A node without an upstream whose calls go to another node, on an io_context that the test runs.
[[nodiscard]] lone_node start_lone_entry(boost::asio::io_context& io,
                                         std::function<void(const outgoing&)> on_send);

/// A message that opens or cancels the call with this number at such a gate.
[[nodiscard]] incoming make_open(std::uint64_t number, const std::string& path);
[[nodiscard]] incoming make_cancel(std::uint64_t number);

} // namespace cyclamenhatch::edge::testing

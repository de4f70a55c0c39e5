#pragma once

#include "control/control.h"
#include "support/fake_store.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenhatch::control::testing {

inline constexpr instant start_time{seconds{1'800'000'000}};
inline constexpr std::string_view document_key = "op/document";
inline constexpr std::string_view order_key = "op/orders/ledger";
inline constexpr std::string_view record_key = "records/ledger";

/// Test format: the document is its version and the path prefix of the single service's route; an
/// order is its target version; a record is "STATE MOVE STARTED_MS".
[[nodiscard]] feed::config_format make_format();

/// Nodes with an operators' configuration, in virtual time: a shared store, and messages that
/// arrive within the step in which they are sent.
struct feed_fleet {
    explicit feed_fleet(std::size_t count);

    /// Starts a node, or replaces it by a new process.
    void start(std::size_t node);
    void run(milliseconds duration);
    /// The upstream beside a node crashes while it runs a request.
    void crash(std::size_t node, const request_digest& digest);
    /// The upstream beside a node announces itself, or its leave.
    void announce(std::size_t node, const msg::upstream_record_msg& upstream);
    void run_well(std::size_t node, const request_digest& digest);
    /// Ready nodes whose call path refuses the request.
    [[nodiscard]] std::size_t count_holding(const request_digest& digest) const;
    /// Cuts a node off from the store, and from nothing else, in silence.
    void cut_off(std::size_t node);
    void reconnect(std::size_t node);
    /// Writes a key as the operators do.
    void write(std::string_view key, const std::string& value);
    /// Deletes a key as the operators do.
    void erase(std::string_view key);
    [[nodiscard]] bool is_evacuated_at(std::size_t node, std::string_view data_centre) const;
    [[nodiscard]] std::size_t count_ready() const;
    [[nodiscard]] std::string stored(std::string_view key) const;
    /// The path prefix that a node routes by; "none" without a configuration.
    [[nodiscard]] std::string prefix_at(std::size_t node) const;
    /// Requests to the store so far; the renewal of a lease and a read that may be stale cost a
    /// tenth of another one.
    [[nodiscard]] double store_cost() const { return store_cost_; }
    /// Those of them that may be stale.
    [[nodiscard]] std::uint64_t stale_reads() const { return stale_reads_; }

    msg::settings_msg settings;
    /// The data centres of the nodes, in turn.
    std::vector<std::string> data_centres{"milan"};
    instant now = start_time;
    random_source random{7};
    fakes::fake_store store;
    std::vector<std::unique_ptr<state>> nodes;

private:
    void carry_out(std::size_t node, actions&& out);
    void deliver_responses();

    double store_cost_ = 0;
    std::uint64_t stale_reads_ = 0;
};

} // namespace cyclamenhatch::control::testing

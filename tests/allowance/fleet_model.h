#pragma once

#include "allowance/keeper.h"
#include "allowance/stock.h"
#include "model/random.h"

#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace cyclamenhatch::allowance::testing {

/// Bounds that a history may run without, to show that each is needed.
enum class missing { none, takeover, share, fixed_part };

struct shape {
    std::size_t nodes = 7;
    double calls_per_s = 40;
    double burst = 40;
    /// Calls a second over all nodes, as a share of the limit.
    double demand = 5;
    missing without = missing::none;
};

struct admission {
    instant at;
    bool is_admitted = false;
};

/// Nodes that share the allowance of one workspace, in virtual time. Views of the members follow
/// cuts, deaths and returns late, and differ between nodes.
class fleet_model {
public:
    fleet_model(const shape& wanted, std::uint64_t seed);

    void run(milliseconds time);
    /// Cuts the nodes below `first` off from the others, or heals the cut if 0.
    void cut(std::size_t first);
    void kill(std::size_t node);
    void restart(std::size_t node);
    void restart_all();
    void pause(std::size_t node, milliseconds time);
    void set_limit(double calls_per_s, double burst);
    /// Calls a second over all nodes from now on, as a share of the limit.
    void set_demand(double demand) { shape_.demand = demand; }
    /// Only this node has callers; all if none.
    void focus(std::optional<std::size_t> node) { focus_ = node; }

    [[nodiscard]] std::size_t size() const { return nodes_.size(); }
    /// The node that most nodes take for the keeper.
    [[nodiscard]] std::size_t keeper() const;
    /// Largest number of calls admitted in a window beyond what the rule of that window allows;
    /// below 0 if none is broken.
    [[nodiscard]] double worst_excess() const;
    [[nodiscard]] std::size_t count(bool is_admitted, instant from) const;
    [[nodiscard]] instant now() const { return now_; }
    [[nodiscard]] random_source& random() { return random_; }
    std::vector<log_event> logs;
    std::size_t messages = 0;

private:
    enum class belief { alive, suspect, dead };
    struct opinion {
        belief state = belief::alive;
        /// When the opinion follows the truth.
        instant changes_at = instant::max();
        instant died_at;
    };
    struct waiting_call {
        instant until;
    };
    struct model_node {
        keeper_state keeper;
        entry_state entry;
        std::vector<opinion> others;
        std::deque<waiting_call> waiting;
        std::vector<incoming> inbox;
        snapshot_ptr config;
        instant config_at = instant::max();
        instant started;
        instant paused_until;
        bool is_running = true;
    };
    struct flight {
        instant at;
        std::size_t to = 0;
        incoming message;
    };
    struct rule {
        instant from;
        limit stated;
    };

    [[nodiscard]] std::vector<call::peer> live_of(const model_node& viewer) const;
    [[nodiscard]] double share_of(const model_node& viewer) const;
    [[nodiscard]] bool reaches(std::size_t from, std::size_t to) const;
    [[nodiscard]] milliseconds draw(std::int64_t least, std::int64_t most);
    [[nodiscard]] snapshot_ptr make_config(const limit& stated) const;
    void start(std::size_t index);
    void update_opinions(std::size_t index);
    void tick(std::size_t index);
    void receive(std::size_t index, const incoming& message);
    void send(std::size_t from, std::vector<outgoing>&& messages);
    void offer_calls(std::size_t index);
    void probe(std::size_t index);
    void serve_waiting(std::size_t index);
    void record(bool is_admitted) { admissions_.push_back({now_, is_admitted}); }
    void step();

    shape shape_;
    random_source random_;
    instant now_;
    std::vector<model_node> nodes_;
    std::vector<flight> flights_;
    std::vector<admission> admissions_;
    std::vector<rule> rules_;
    snapshot_ptr newest_;
    std::size_t cut_ = 0;
    std::optional<std::size_t> focus_;
};

} // namespace cyclamenhatch::allowance::testing

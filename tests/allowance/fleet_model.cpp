#include "fleet_model.h"

#include <algorithm>

namespace cyclamenhatch::allowance::testing {
namespace {

constexpr milliseconds step_time{5};
constexpr milliseconds tick_time{100};
/// How often a node probes another one, as deployed.
constexpr milliseconds probe_time{500};
constexpr milliseconds call_patience{100};
const workspace_id shop{"shop"};
const instant start_time = from_unix_ms(1'800'000'000'000);

std::size_t index_of(const node_id& node) {
    return std::stoul(node.value);
}

node_id name_of(std::size_t index) {
    return node_id{std::to_string(index)};
}

} // namespace

fleet_model::fleet_model(const shape& wanted, std::uint64_t seed)
    : shape_(wanted), random_(seed), now_(start_time) {
    const limit stated{wanted.calls_per_s, wanted.burst};
    newest_ = make_config(stated);
    rules_.push_back({now_, stated});
    nodes_.resize(wanted.nodes);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        start(i);
    }
}

snapshot_ptr fleet_model::make_config(const limit& stated) const {
    auto stored = std::make_shared<stored_section>();
    stored->content.workspaces.push_back(
        {.name = shop, .calls_per_s = stated.calls_per_s, .burst = stated.burst});
    auto config = std::make_shared<snapshot>();
    config->fleet = std::move(stored);
    return config;
}

milliseconds fleet_model::draw(std::int64_t least, std::int64_t most) {
    return milliseconds{std::uniform_int_distribution<std::int64_t>(least, most)(random_)};
}

void fleet_model::start(std::size_t index) {
    auto& self = nodes_[index];
    self = model_node{};
    self.keeper.self = name_of(index);
    self.entry.self = name_of(index);
    self.config = newest_;
    self.started = now_;
    self.others.resize(nodes_.size());
    for (auto& other : self.others) {
        // Nothing is known of the others yet.
        other.state = belief::dead;
        other.died_at = instant::min();
    }
}

bool fleet_model::reaches(std::size_t from, std::size_t to) const {
    const bool is_cut = cut_ > 0 && (from < cut_) != (to < cut_);
    return !is_cut && nodes_[from].is_running && nodes_[to].is_running;
}

/// A silent node is suspect after 0.5 to 1.2 s and dead 1.5 s later; one that answers is known
/// again within 0.9 s.
void fleet_model::update_opinions(std::size_t index) {
    auto& self = nodes_[index];
    for (std::size_t other = 0; other < nodes_.size(); ++other) {
        if (other == index) {
            continue;
        }
        auto& view = self.others[other];
        const bool is_there = reaches(index, other) && now_ >= nodes_[other].paused_until;
        const bool is_settled = is_there ? view.state == belief::alive : view.state == belief::dead;
        if (is_settled) {
            view.changes_at = instant::max();
        } else if (view.changes_at == instant::max()) {
            view.changes_at = now_ + (is_there                      ? draw(20, 900)
                                      : view.state == belief::alive ? draw(500, 1200)
                                                                    : draw(1500, 1700));
        } else if (now_ >= view.changes_at) {
            view.changes_at = instant::max();
            view.died_at = view.state == belief::suspect ? now_ : view.died_at;
            view.state = is_there                      ? belief::alive
                         : view.state == belief::alive ? belief::suspect
                                                       : belief::dead;
        }
    }
}

std::vector<call::peer> fleet_model::live_of(const model_node& viewer) const {
    std::vector<call::peer> live;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        if (&nodes_[i] == &viewer || viewer.others[i].state != belief::dead) {
            live.push_back({name_of(i), {}});
        }
    }
    return live;
}

double fleet_model::share_of(const model_node& viewer) const {
    if (shape_.without == missing::share) {
        return 1;
    }
    double reachable = 0;
    double known = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        const auto& view = viewer.others[i];
        const bool is_self = &nodes_[i] == &viewer;
        const bool is_recent =
            view.died_at != instant::min() && now_ - view.died_at < memory_of_dead;
        reachable += is_self || view.state == belief::alive ? 1 : 0;
        known += is_self || view.state != belief::dead || is_recent ? 1 : 0;
    }
    return reachable / known;
}

void fleet_model::send(std::size_t from, std::vector<outgoing>&& messages_out) {
    for (auto& message : messages_out) {
        ++messages;
        const auto to = index_of(message.to);
        const auto delay = to == from ? milliseconds{0} : draw(1, 15);
        flights_.push_back({now_ + delay, to, {name_of(from), std::move(message.message)}});
    }
}

void fleet_model::tick(std::size_t index) {
    auto& self = nodes_[index];
    const auto live = live_of(self);
    keeper_actions out;
    on_tick(self.keeper,
            {.live = live,
             .reachable_share = share_of(self),
             .config = self.config,
             .has_joined = now_ - self.started > milliseconds{400}},
            now_, out);
    if (shape_.without == missing::takeover) {
        for (auto& [name, item] : self.keeper.kept) {
            if (now_ < item.full_rate_at) {
                item.full_rate_at = now_;
                item.tokens = item.stated.burst;
            }
        }
    }
    send(index, std::move(out.sends));
    logs.insert(logs.end(), out.logs.begin(), out.logs.end());
}

void fleet_model::receive(std::size_t index, const incoming& message) {
    auto& self = nodes_[index];
    if (message.from != self.keeper.self) {
        note_heard(self.keeper, now_);
    }
    keeper_actions out;
    if (auto answer = on_message(self.keeper, message, now_, out)) {
        std::vector<outgoing> answers;
        answers.push_back({message.from, {}, *std::move(answer)});
        send(index, std::move(answers));
    }
    logs.insert(logs.end(), out.logs.begin(), out.logs.end());
    if (const auto* lent = std::get_if<msg::allowance_loan_msg>(&message.message)) {
        (void)on_loan(self.entry, message.from, *lent, now_);
        serve_waiting(index);
    }
}

void fleet_model::serve_waiting(std::size_t index) {
    auto& self = nodes_[index];
    std::deque<waiting_call> still;
    for (const auto& waiting : self.waiting) {
        const auto word = refused_for(self.entry, shop, now_);
        const bool is_taken = take(self.entry, shop, now_);
        if (!is_taken && now_ < waiting.until && (!word || now_ + *word < waiting.until)) {
            still.push_back(waiting);
            continue;
        }
        note_wait_ended(self.entry, shop);
        // Who thinks that it is alone takes the part of all.
        const auto live = shape_.without == missing::fixed_part
                              ? std::vector<call::peer>{{self.keeper.self, {}}}
                              : live_of(self);
        record(is_taken || (!word && take_fixed(self.entry, shop, live, now_)));
    }
    self.waiting = std::move(still);
}

void fleet_model::offer_calls(std::size_t index) {
    const auto& limit_now = rules_.back().stated;
    const bool has_callers = !focus_ || *focus_ == index;
    // The callers of one node in three make most of the calls.
    const auto weight_of = [](std::size_t node) { return node % 3 == 0 ? 4.0 : 1.0; };
    double all_weights = 0;
    for (std::size_t i = 0; i < size(); ++i) {
        all_weights += weight_of(i);
    }
    const double share = focus_ ? 1.0 : weight_of(index) / all_weights;
    const double mean = has_callers ? shape_.demand * limit_now.calls_per_s * share *
                                          static_cast<double>(step_time.count()) / 1000
                                    : 0;
    const auto calls = mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0;
    auto& self = nodes_[index];
    for (int i = 0; i < calls; ++i) {
        note_call(self.entry, shop, now_);
        self.waiting.push_back({now_ + call_patience});
        note_waiting(self.entry, shop);
    }
    serve_waiting(index);
    send(index, make_requests(self.entry, live_of(self), now_));
}

/// Asks a random member, which answers.
void fleet_model::probe(std::size_t index) {
    const auto next = index + 1 + random_() % std::max<std::size_t>(1, size() - 1);
    const auto other = static_cast<std::size_t>(next % size());
    const bool is_answered =
        other != index && reaches(index, other) && now_ >= nodes_[other].paused_until;
    if (is_answered || shape_.without == missing::share) {
        note_heard(nodes_[index].keeper, now_);
    }
    if (is_answered) {
        note_heard(nodes_[other].keeper, now_);
    }
}

void fleet_model::step() {
    now_ += step_time;
    std::vector<flight> due;
    std::erase_if(flights_, [&](flight& item) {
        if (item.at > now_) {
            return false;
        }
        due.push_back(std::move(item));
        return true;
    });
    for (auto& item : due) {
        if (reaches(index_of(item.message.from), item.to)) {
            nodes_[item.to].inbox.push_back(std::move(item.message));
        }
    }
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        auto& self = nodes_[i];
        if (!self.is_running || now_ < self.paused_until) {
            continue;
        }
        if (now_ >= self.config_at) {
            self.config = newest_;
            self.config_at = instant::max();
        }
        update_opinions(i);
        for (const auto& message : std::exchange(self.inbox, {})) {
            receive(i, message);
        }
        if ((now_ - self.started) % probe_time < step_time) {
            probe(i);
        }
        offer_calls(i);
        if ((now_ - self.started) % tick_time < step_time) {
            tick(i);
        }
    }
}

void fleet_model::run(milliseconds time) {
    for (const auto end = now_ + time; now_ < end;) {
        step();
    }
}

void fleet_model::cut(std::size_t first) {
    cut_ = first;
}

void fleet_model::kill(std::size_t node) {
    nodes_[node].is_running = false;
    nodes_[node].waiting.clear();
    nodes_[node].inbox.clear();
}

void fleet_model::restart(std::size_t node) {
    start(node);
}

void fleet_model::restart_all() {
    for (std::size_t i = 0; i < size(); ++i) {
        kill(i);
    }
    run(milliseconds{1200});
    for (std::size_t i = 0; i < size(); ++i) {
        start(i);
    }
}

void fleet_model::pause(std::size_t node, milliseconds time) {
    nodes_[node].paused_until = now_ + time;
}

void fleet_model::set_limit(double calls_per_s, double burst) {
    const limit stated{calls_per_s, burst};
    newest_ = make_config(stated);
    for (auto& self : nodes_) {
        self.config_at = now_ + draw(0, 1000);
    }
    rules_.push_back({now_ + seconds{1}, stated});
}

std::size_t fleet_model::keeper() const {
    std::vector<call::peer> all;
    for (std::size_t i = 0; i < size(); ++i) {
        if (nodes_[i].is_running) {
            all.push_back({name_of(i), {}});
        }
    }
    return index_of(find_keeper(all, shop)->node);
}

double fleet_model::worst_excess() const {
    const rules stated;
    std::vector<instant> admitted;
    for (const auto& item : admissions_) {
        if (item.is_admitted) {
            admitted.push_back(item.at);
        }
    }
    double worst = -1e9;
    for (std::size_t first = 0, last = 0; last < admitted.size(); ++last) {
        while (admitted[last] - admitted[first] >= stated.window) {
            ++first;
        }
        // A raised limit holds at once, a lower one for windows that begin after it is in force.
        double allowed = 0;
        for (std::size_t i = 0; i < rules_.size(); ++i) {
            const bool has_ended = i + 1 < rules_.size() && rules_[i + 1].from <= admitted[first];
            const bool has_begun = rules_[i].from - seconds{1} <= admitted[last];
            const auto& one = rules_[i].stated;
            const auto whole =
                one.calls_per_s * static_cast<double>(stated.window.count()) / 1e6 + one.burst;
            if (has_begun && !has_ended) {
                allowed = std::max(allowed, whole * (1 + stated.excess_share) + stated.slack);
            }
        }
        worst = std::max(worst, static_cast<double>(last - first + 1) - allowed);
    }
    return worst;
}

std::size_t fleet_model::count(bool is_admitted, instant from) const {
    return static_cast<std::size_t>(
        std::count_if(admissions_.begin(), admissions_.end(), [&](const admission& item) {
            return item.is_admitted == is_admitted && item.at >= from;
        }));
}

} // namespace cyclamenhatch::allowance::testing

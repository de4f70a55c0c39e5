#include "call/call_key.h"
#include "call/entry_call.h"
#include "call/gate.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <array>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace cyclamenhatch::call {
namespace {

constexpr std::size_t gate_count = 3;
constexpr microseconds call_timeout{2'000'000};
/// Links are closed after seconds of silence; nothing is delivered later than this.
constexpr microseconds message_life{8'000'000};
constexpr std::uint64_t first_instance = 100;
constexpr int simulations_per_case = 20;

struct gate_message {
    enum class kind { open, reattach, cancel } what = kind::open;
    attempt_target target;
};

struct entry_message {
    call_id call;
    bool is_answer = false;
    refusal details;
};

struct packet {
    std::variant<gate_message, entry_message> content;
    instant sent_at{};
    /// The packet has been on a link: a copy exists, or a later message was delivered before it.
    bool is_on_link = false;
};

/// One call of an entry with three gates over a network that loses, repeats, reorders and delays
/// messages.
struct simulation {
    simulation(bool is_idempotent, bool is_instance_known) : knows_instance(is_instance_known) {
        state.deadline = now + call_timeout;
        state.is_idempotent = is_idempotent;
        state.max_attempts = 3;
        for (std::size_t i = 0; i < gate_count; ++i) {
            start_gate(i);
        }
        handle(request_event{});
    }

    void start_gate(std::size_t number) {
        gates[number] = std::make_unique<gate_state>();
        gates[number]->instance = first_instance * (number + 1) + restarts;
        msg::upstream_record_msg upstream;
        upstream.service = "ledger";
        upstream.version = "v1";
        upstream.state = msg::upstream_state::ready;
        upstream.slots = 1;
        (void)on_upstream_change(*gates[number], upstream, now);
    }

    static std::string name_of(std::size_t gate) { return "gate" + std::to_string(gate); }
    static std::size_t number_of(const node_id& node) { return node.value.back() - '0'; }

    std::optional<attempt_target> choose(const std::vector<node_id>& tried) {
        for (std::size_t i = 0; i < gate_count; ++i) {
            const node_id node(name_of(i));
            if (std::find(tried.begin(), tried.end(), node) == tried.end()) {
                return attempt_target{.call = {7, ++last_id},
                                      .node = node,
                                      .gate_instance = knows_instance ? gates[i]->instance : 0};
            }
        }
        return std::nullopt;
    }

    void handle(const entry_event& event) {
        const std::function<std::optional<attempt_target>(const std::vector<node_id>&)> chooser =
            [this](const std::vector<node_id>& tried) { return choose(tried); };
        for (const auto& action : advance(state, event, {budget, chooser, now})) {
            if (const auto* open = std::get_if<open_action>(&action)) {
                send(gate_message{gate_message::kind::open, open->target});
            } else if (const auto* again = std::get_if<reattach_action>(&action)) {
                send(gate_message{gate_message::kind::reattach, again->target});
            } else if (const auto* cancel = std::get_if<cancel_action>(&action)) {
                send(gate_message{gate_message::kind::cancel, cancel->target});
            } else if (const auto* failed = std::get_if<fail_action>(&action)) {
                ++ends;
                reported_not_run = failed->details.outcome == msg::call_outcome::not_run;
            } else if (std::holds_alternative<pass_answer_action>(action)) {
                ++ends;
                is_answered = true;
            }
        }
    }

    void handle(std::size_t gate, const gate_actions& actions) {
        for (const auto& action : actions) {
            if (const auto* run = std::get_if<run_action>(&action)) {
                ++runs;
                ++runs_by_id[run->call];
                running.emplace_back(gate, run->call);
            } else if (const auto* answer = std::get_if<send_answer_action>(&action)) {
                send(
                    entry_message{.call = from_key(answer->answer->call.get()), .is_answer = true});
            } else if (const auto* refused = std::get_if<send_refusal_action>(&action)) {
                const auto& message = refused->refused;
                send(entry_message{.call = from_key(message.call.get()),
                                   .details = {.outcome = message.outcome,
                                               .reason = message.reason,
                                               .retry_helps = message.retry_helps}});
            }
        }
    }

    template <class Content> void send(Content content) {
        packets.push_back({std::move(content), now});
    }

    void deliver(const packet& delivered) {
        if (now - delivered.sent_at > message_life) {
            return;
        }
        if (const auto* message = std::get_if<entry_message>(&delivered.content)) {
            if (message->is_answer) {
                handle(answer_event{.call = message->call});
            } else {
                handle(refused_event{message->call, message->details});
            }
            return;
        }
        const auto& message = std::get<gate_message>(delivered.content);
        const auto gate = number_of(message.target.node);
        for (auto& sent : packets) {
            const auto* other = std::get_if<gate_message>(&sent.content);
            const bool is_older = sent.sent_at <= delivered.sent_at;
            sent.is_on_link = sent.is_on_link || (other != nullptr && is_older &&
                                                  other->target.node == message.target.node);
        }
        if (message.what == gate_message::kind::cancel) {
            handle(gate, on_cancel(*gates[gate], message.target.call, now));
            return;
        }
        handle(gate, on_open(*gates[gate],
                             {.call = message.target.call,
                              .entry_node = node_id("entry"),
                              .is_reattach = message.what == gate_message::kind::reattach,
                              .service = service_id("ledger"),
                              .version = version_id("v1"),
                              .owner = owner_id("members"),
                              .deadline = now + (state.deadline - delivered.sent_at),
                              .gate_instance = message.target.gate_instance},
                             now));
    }

    void finish_run(std::size_t which, bool is_answered_by_upstream) {
        const auto [gate, call] = running[which];
        running.erase(running.begin() + static_cast<std::ptrdiff_t>(which));
        upstream_end end;
        if (is_answered_by_upstream) {
            auto answer = std::make_shared<msg::call_answer_msg>();
            answer->call = make_key(call);
            end = {.answer = std::move(answer), .is_answered = true};
        }
        handle(gate, on_upstream_end(*gates[gate], call, end, now));
    }

    void restart(std::size_t gate) {
        ++restarts;
        std::erase_if(running, [&](const auto& run) { return run.first == gate; });
        // A message that waits at the sender for a new link may reach the new process. Messages
        // that were on the old link are lost with it, so no message reaches both processes.
        std::erase_if(packets, [&](const packet& sent) {
            const auto* message = std::get_if<gate_message>(&sent.content);
            return message != nullptr && sent.is_on_link &&
                   message->target.node == node_id(name_of(gate));
        });
        start_gate(gate);
        handle(link_lost_event{node_id(name_of(gate))});
    }

    entry_call state;
    retry_budget budget;
    std::array<std::unique_ptr<gate_state>, gate_count> gates;
    instant now{microseconds(1'000'000'000)};
    std::vector<packet> packets;
    std::vector<std::pair<std::size_t, call_id>> running;
    std::map<call_id, int> runs_by_id;
    std::uint64_t last_id = 0;
    std::uint64_t restarts = 0;
    bool knows_instance;
    int runs = 0;
    int ends = 0;
    bool reported_not_run = false;
    bool is_answered = false;
    bool is_caller_gone = false;
};

struct fault {
    unsigned kind = 0;
    unsigned which = 0;
};

void apply(simulation& sim, const fault& next) {
    const auto gate = next.which % gate_count;
    const auto pick_packet = [&] { return next.which % sim.packets.size(); };
    switch (next.kind % 12) {
    case 0:
    case 1:
    case 2:
    case 3: // Deliver, out of order too.
        if (!sim.packets.empty()) {
            const auto position = sim.packets.begin() + static_cast<std::ptrdiff_t>(pick_packet());
            const packet taken = *position;
            sim.packets.erase(position);
            sim.deliver(taken);
        }
        break;
    case 4: // Duplicate.
        if (!sim.packets.empty()) {
            auto& original = sim.packets[pick_packet()];
            original.is_on_link = true;
            sim.packets.push_back(packet(original));
        }
        break;
    case 5: // Lose.
        if (!sim.packets.empty()) {
            sim.packets.erase(sim.packets.begin() + static_cast<std::ptrdiff_t>(pick_packet()));
        }
        break;
    case 6:
        sim.handle(link_lost_event{node_id(simulation::name_of(gate))});
        break;
    case 7:
        sim.now += microseconds(100'000 * (1 + next.which % 10));
        sim.handle(timer_event{});
        break;
    case 8:
        if (!sim.running.empty()) {
            sim.finish_run(next.which % sim.running.size(), next.which % 4 != 0);
        }
        break;
    case 9:
        if (next.which % 3 == 0) {
            sim.restart(gate);
        }
        break;
    case 10:
        sim.handle(gate, on_gate_timer(*sim.gates[gate], sim.now));
        sim.handle(gate,
                   next.which % 5 == 0 ? on_drain(*sim.gates[gate], sim.now) : gate_actions{});
        break;
    case 11:
        if (next.which % 7 == 0) {
            sim.handle(endpoint_gone_event{node_id(simulation::name_of(gate))});
        } else if (next.which % 7 == 1) {
            sim.is_caller_gone = sim.is_caller_gone || sim.ends == 0;
            sim.handle(caller_gone_event{});
        }
        break;
    }
}

/// Delivers all messages in flight, then lets the deadline pass.
void settle(simulation& sim) {
    for (int round = 0; round < 200 && !sim.packets.empty(); ++round) {
        const packet taken = sim.packets.front();
        sim.packets.erase(sim.packets.begin());
        sim.deliver(taken);
    }
    sim.now += call_timeout;
    sim.handle(timer_event{});
}

void check(const simulation& sim) {
    RC_ASSERT(sim.ends <= 1);
    for (const auto& [call, runs] : sim.runs_by_id) {
        RC_ASSERT(runs == 1);
    }
    RC_ASSERT(!sim.reported_not_run || sim.runs == 0);
    if (!sim.state.is_idempotent) {
        RC_ASSERT(sim.runs <= 1);
    }
    RC_ASSERT(sim.runs <= 3);
}

void run_faults(simulation& sim, const std::vector<std::pair<unsigned, unsigned>>& faults) {
    for (const auto& [kind, which] : faults) {
        apply(sim, {kind, which});
        check(sim);
    }
    settle(sim);
    check(sim);
    RC_ASSERT(sim.ends == 1 || sim.is_caller_gone);
}

std::vector<std::pair<unsigned, unsigned>> draw_faults() {
    const auto one = rc::gen::pair(rc::gen::inRange(0U, 12U), rc::gen::inRange(0U, 1000U));
    const auto count = *rc::gen::inRange<std::size_t>(0, 120);
    return *rc::gen::container<std::vector<std::pair<unsigned, unsigned>>>(count, one);
}

RC_GTEST_PROP(interleaving, a_call_that_is_not_idempotent_runs_at_most_once, ()) {
    for (int i = 0; i < simulations_per_case; ++i) {
        simulation sim(false, *rc::gen::arbitrary<bool>());
        run_faults(sim, draw_faults());
    }
}

RC_GTEST_PROP(interleaving, not_run_is_never_told_of_a_call_that_ran, ()) {
    for (int i = 0; i < simulations_per_case; ++i) {
        simulation sim(true, *rc::gen::arbitrary<bool>());
        run_faults(sim, draw_faults());
    }
}

RC_GTEST_PROP(interleaving, answers_of_other_calls_are_dropped, ()) {
    simulation sim(*rc::gen::arbitrary<bool>(), true);
    const auto id = *rc::gen::inRange<std::uint64_t>(1000, 2000);
    sim.handle(answer_event{.call = {7, id}});
    sim.handle(refused_event{{7, id}, {.retry_helps = true}});
    sim.handle(answer_end_event{{7, id}});
    RC_ASSERT(sim.ends == 0);
    RC_ASSERT(sim.state.tried.size() == 1U);
}

} // namespace
} // namespace cyclamenhatch::call

#include "scenarios/run.h"

#include "scenarios/commands.h"

#include <exception>

namespace cyclamenhatch::scenarios {
namespace {

constexpr milliseconds check_interval{100};
/// Value of `previous` at which run_steps runs the set-up commands.
constexpr milliseconds setup_time{-1};

struct run_state {
    const script& scenario;
    cluster sim;
    /// By step: whether an expect_by step has held already.
    std::vector<bool> is_finished;
    std::vector<std::string> failures;
};

void add_failure(run_state& state, const script_step& step, milliseconds now,
                 const std::string& problem) {
    std::string text =
        "line " + std::to_string(step.line) + ": at " + std::to_string(now.count()) + " ms:";
    for (const auto& word : step.command) {
        text += " " + word;
    }
    state.failures.push_back(text + ": " + problem);
}

void check_step(run_state& state, std::size_t index, milliseconds now, bool is_due) {
    const auto& step = state.scenario.steps[index];
    const bool is_within = now >= step.begin && now <= step.end;
    const bool is_by = step.kind == step_kind::expect_by;
    if (state.is_finished[index] || (step.kind == step_kind::expect_at ? !is_due : !is_within)) {
        return;
    }
    const auto problem = check_expectation(state.sim, step.command);
    if (problem.empty()) {
        state.is_finished[index] = is_by;
    } else if (!is_by || now + check_interval > step.end) {
        add_failure(state, step, now, problem);
    }
}

/// Runs the commands due after `previous` and up to `now` and checks the expectations, in the order
/// of the script.
void run_steps(run_state& state, milliseconds previous, milliseconds now) {
    for (std::size_t i = 0; i < state.scenario.steps.size(); ++i) {
        const auto& step = state.scenario.steps[i];
        const bool is_due = step.begin > previous && step.begin <= now;
        try {
            if (step.kind == step_kind::setup || step.kind == step_kind::action) {
                const bool is_now = step.kind == step_kind::setup ? previous == setup_time : is_due;
                if (is_now) {
                    run_command(state.sim, step.command);
                }
            } else {
                check_step(state, i, now, is_due);
            }
        } catch (const std::exception& error) {
            add_failure(state, step, now, error.what());
        }
    }
}

} // namespace

std::vector<std::string> run_script(const script& scenario) {
    if (!scenario.errors.empty()) {
        return scenario.errors;
    }
    run_state state{.scenario = scenario,
                    .sim = make_cluster(scenario.seed),
                    .is_finished = std::vector<bool>(scenario.steps.size(), false)};
    run_steps(state, setup_time, milliseconds{0});
    for (milliseconds now{0}; now < scenario.length && state.failures.empty();
         now += check_interval) {
        for (milliseconds elapsed{0}; elapsed < check_interval; ++elapsed) {
            advance(state.sim);
        }
        run_steps(state, now, now + check_interval);
        const auto& violations = state.sim.violations;
        state.failures.insert(state.failures.end(), violations.begin(), violations.end());
    }
    return state.failures;
}

} // namespace cyclamenhatch::scenarios

#include "scenarios/run.h"

#include "scenarios/commands.h"

#include <exception>

namespace cyclamenhatch::scenarios {
namespace {

constexpr milliseconds check_interval{100};
/// Before this all set-up commands are carried out.
constexpr milliseconds before_start{-1};

struct run {
    const script& read;
    cluster all;
    /// Expectations that need no more checking.
    std::vector<bool> is_settled;
    std::vector<std::string> failures;
};

void fail(run& running, const script_step& step, milliseconds now, const std::string& problem) {
    std::string text =
        "line " + std::to_string(step.line) + ": at " + std::to_string(now.count()) + " ms:";
    for (const auto& each : step.command) {
        text += " " + each;
    }
    running.failures.push_back(text + ": " + problem);
}

void check_step(run& running, std::size_t index, milliseconds now, bool is_due) {
    const auto& step = running.read.steps[index];
    const bool is_within = now >= step.from && now <= step.to;
    const bool is_by = step.kind == step_kind::expect_by;
    if (running.is_settled[index] || (step.kind == step_kind::expect_at ? !is_due : !is_within)) {
        return;
    }
    const auto problem = check_expectation(running.all, step.command);
    if (problem.empty()) {
        running.is_settled[index] = is_by;
    } else if (!is_by || now + check_interval > step.to) {
        fail(running, step, now, problem);
    }
}

/// Carries out the commands due after `before` and up to `now`, then checks what holds now.
void run_steps(run& running, milliseconds before, milliseconds now) {
    for (std::size_t i = 0; i < running.read.steps.size(); ++i) {
        const auto& step = running.read.steps[i];
        const bool is_due = step.from > before && step.from <= now;
        try {
            if (step.kind == step_kind::setup || step.kind == step_kind::action) {
                const bool is_now = step.kind == step_kind::setup ? before == before_start : is_due;
                if (is_now) {
                    run_command(running.all, step.command);
                }
            } else {
                check_step(running, i, now, is_due);
            }
        } catch (const std::exception& wrong) {
            fail(running, step, now, wrong.what());
        }
    }
}

} // namespace

std::vector<std::string> run_script(const script& read) {
    if (!read.errors.empty()) {
        return read.errors;
    }
    run running{.read = read,
                .all = make_cluster(read.seed),
                .is_settled = std::vector<bool>(read.steps.size(), false)};
    run_steps(running, before_start, milliseconds{0});
    for (milliseconds now{0}; now < read.length && running.failures.empty();
         now += check_interval) {
        for (milliseconds each{0}; each < check_interval; ++each) {
            advance(running.all);
        }
        run_steps(running, now, now + check_interval);
        const auto& violations = running.all.violations;
        running.failures.insert(running.failures.end(), violations.begin(), violations.end());
    }
    return running.failures;
}

} // namespace cyclamenhatch::scenarios

#include "scenarios/commands.h"

#include <algorithm>
#include <filesystem>
#include <gtest/gtest.h>

namespace cyclamenhatch::scenarios {
namespace {

constexpr milliseconds check_interval{100};

/// One file under cases/.
class scenario : public testing::Test {
public:
    explicit scenario(std::string path) : path_(std::move(path)) {}

    void TestBody() override {
        const auto read = read_script(path_);
        for (const auto& each : read.errors) {
            ADD_FAILURE() << path_ << " " << each;
        }
        auto all = make_cluster(read.seed);
        std::vector<bool> is_met(read.steps.size(), false);
        run_steps(all, read, milliseconds{-1}, milliseconds{0}, is_met);
        for (milliseconds passed{0}; passed < read.length && !HasFailure();
             passed += check_interval) {
            for (milliseconds each{0}; each < check_interval; ++each) {
                advance(all);
            }
            run_steps(all, read, passed, passed + check_interval, is_met);
            for (const auto& each : all.violations) {
                ADD_FAILURE() << path_ << ": " << each;
            }
        }
    }

private:
    void fail(const script_step& step, milliseconds now, const std::string& problem) {
        std::string text;
        for (const auto& each : step.command) {
            text += " " + each;
        }
        ADD_FAILURE() << path_ << ":" << step.line << ": at " << now.count() << " ms:" << text
                      << ": " << problem;
    }

    /// Carries out the steps due after `before` and up to `now`.
    void run_steps(cluster& all, const script& read, milliseconds before, milliseconds now,
                   std::vector<bool>& is_met) {
        for (std::size_t i = 0; i < read.steps.size(); ++i) {
            const auto& step = read.steps[i];
            try {
                const bool is_due = step.from > before && step.from <= now;
                const bool is_setup = step.kind == step_kind::setup && before < milliseconds{0};
                if (is_setup || (step.kind == step_kind::action && is_due)) {
                    run_command(all, step.command);
                } else if (step.kind != step_kind::setup && step.kind != step_kind::action) {
                    check_step(all, step, now, is_due, is_met, i);
                }
            } catch (const std::exception& wrong) {
                fail(step, now, wrong.what());
            }
        }
    }

    void check_step(const cluster& all, const script_step& step, milliseconds now, bool is_due,
                    std::vector<bool>& is_met, std::size_t index) {
        const bool is_within = now >= step.from && now <= step.to;
        const bool is_by = step.kind == step_kind::expect_by;
        if (is_met[index] || (step.kind == step_kind::expect_at ? !is_due : !is_within)) {
            return;
        }
        const auto problem = check_expectation(all, step.command);
        if (problem.empty()) {
            is_met[index] = is_by;
        } else if (!is_by || now + check_interval > step.to) {
            is_met[index] = true; // Once is enough.
            fail(step, now, problem);
        }
    }

    std::string path_;
};

std::vector<std::filesystem::path> list_cases() {
    std::vector<std::filesystem::path> files;
    for (const auto& each :
         std::filesystem::directory_iterator(std::filesystem::path(TEST_DATA_DIR) / "cases")) {
        if (each.path().extension() == ".scenario") {
            files.push_back(each.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

/// Registers the given files, or all under cases/ when there are none.
void register_scenarios(std::vector<std::filesystem::path> files) {
    if (files.empty()) {
        files = list_cases();
    }
    for (const auto& file : files) {
        testing::RegisterTest("scenarios", file.stem().c_str(), nullptr, nullptr, __FILE__,
                              __LINE__, [path = file.string()]() -> testing::Test* {
                                  return new scenario(path); // gtest takes ownership
                              });
    }
}

} // namespace
} // namespace cyclamenhatch::scenarios

int main(int argc, char** argv) {
    testing::InitGoogleTest(&argc, argv);
    cyclamenhatch::scenarios::register_scenarios({argv + 1, argv + argc});
    return RUN_ALL_TESTS();
}

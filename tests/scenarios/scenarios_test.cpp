#include "scenarios/run.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <functional>
#include <gtest/gtest.h>
#include <sstream>

namespace cyclamenhatch::scenarios {
namespace {

const std::filesystem::path data_folder = TEST_DATA_DIR;

/// Runs one scenario file, which must have no failures.
class scenario : public testing::Test {
public:
    explicit scenario(std::string file) : path(std::move(file)) {}

    void TestBody() override {
        for (const auto& failure : run_script(parse_script(path))) {
            ADD_FAILURE() << path << ": " << failure;
        }
    }

private:
    std::string path;
};

/// Runs the scenario of one line of mechanisms.txt, which must fail with the mechanism switched
/// off.
class without_mechanism : public testing::Test {
public:
    without_mechanism(std::string case_name, std::string switches)
        : file(std::move(case_name)), commands(std::move(switches)) {}

    void TestBody() override {
        const auto scenario_path = data_folder / "cases" / (file + ".scenario");
        const auto script = parse_script(scenario_path.string(), commands);
        ASSERT_TRUE(script.errors.empty()) << script.errors.front();
        const auto failures = run_script(script);
        EXPECT_FALSE(failures.empty()) << file << " does not need the mechanism";
        RecordProperty("seen", failures.empty() ? "" : failures.front());
    }

private:
    std::string file;
    std::string commands;
};

void register_test(const char* suite, const std::string& name,
                   const std::function<testing::Test*()>& make) {
    testing::RegisterTest(suite, name.c_str(), nullptr, nullptr, __FILE__, __LINE__, make);
}

std::vector<std::filesystem::path> list_cases() {
    std::vector<std::filesystem::path> files;
    for (const auto& entry : std::filesystem::directory_iterator(data_folder / "cases")) {
        if (entry.path().extension() == ".scenario") {
            files.push_back(entry.path());
        }
    }
    std::sort(files.begin(), files.end());
    return files;
}

void register_scenarios(const std::vector<std::filesystem::path>& files) {
    for (const auto& file : files) {
        register_test("scenarios", file.stem().string(),
                      [path = file.string()]() -> testing::Test* {
                          return new scenario(path); // gtest takes ownership
                      });
    }
}

/// Registers a test for each line of mechanisms.txt: a mechanism, a file and the commands that
/// switch the mechanism off, separated by ";".
void register_mechanisms() {
    std::ifstream list(data_folder / "mechanisms.txt");
    for (std::string line; std::getline(list, line);) {
        std::istringstream words(line.substr(0, line.find('#')));
        std::string mechanism;
        std::string file;
        std::string commands;
        if (words >> mechanism >> file && std::getline(words, commands)) {
            register_test("without", mechanism, [file, commands]() -> testing::Test* {
                return new without_mechanism(file, commands); // gtest takes ownership
            });
        }
    }
}

} // namespace
} // namespace cyclamenhatch::scenarios

/// Runs all cases and mechanisms, or only the scenario files given as arguments.
int main(int argc, char** argv) {
    using namespace cyclamenhatch::scenarios;
    testing::InitGoogleTest(&argc, argv);
    if (argc > 1) {
        register_scenarios({argv + 1, argv + argc});
    } else {
        register_scenarios(list_cases());
        register_mechanisms();
    }
    return RUN_ALL_TESTS();
}

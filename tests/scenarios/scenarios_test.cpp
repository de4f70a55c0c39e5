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

/// One file: nothing may be wrong.
class scenario : public testing::Test {
public:
    explicit scenario(std::string from) : path(std::move(from)) {}

    void TestBody() override {
        for (const auto& each : run_script(read_script(path))) {
            ADD_FAILURE() << path << ": " << each;
        }
    }

private:
    std::string path;
};

/// One line of mechanisms.txt: with the mechanism switched off the file must fail.
class without_mechanism : public testing::Test {
public:
    without_mechanism(std::string case_name, std::string switches)
        : file(std::move(case_name)), commands(std::move(switches)) {}

    void TestBody() override {
        const auto full = data_folder / "cases" / (file + ".scenario");
        const auto read = read_script(full.string(), commands);
        ASSERT_TRUE(read.errors.empty()) << read.errors.front();
        const auto failures = run_script(read);
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
    for (const auto& each : std::filesystem::directory_iterator(data_folder / "cases")) {
        if (each.path().extension() == ".scenario") {
            files.push_back(each.path());
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

/// Each line: mechanism, file, commands that switch it off (";" between them).
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

/// Runs all cases and mechanisms, or only the files given.
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

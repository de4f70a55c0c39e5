#include "cli/fake_environment.h"

#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>

namespace cyclamenhatch::cli {
namespace {

namespace fs = std::filesystem;

std::string read_file(const fs::path& path) {
    std::ifstream in(path);
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
}

/// The text of each TOML file below examples/, by its path.
std::map<std::string, std::string> list_examples() {
    std::map<std::string, std::string> files;
    for (const auto& entry :
         fs::recursive_directory_iterator(std::string(SOURCE_ROOT) + "/examples")) {
        if (entry.path().extension() == ".toml") {
            files[entry.path().string()] = read_file(entry.path());
        }
    }
    return files;
}

bool is_settings(const std::string& path) {
    return fs::path(path).filename().string().starts_with("node");
}

TEST(examples, each_settings_file_passes) {
    fake_environment env{.files = list_examples()};
    std::size_t checked = 0;
    for (const auto& [path, text] : env.files) {
        if (is_settings(path)) {
            EXPECT_EQ(env.run({"check", "--settings", path}), exit_code::done) << env.err.str();
            ++checked;
        }
    }
    EXPECT_EQ(checked, 3U);
}

TEST(examples, the_resources_of_each_deployment_pass_together) {
    fake_environment env{.files = list_examples()};
    std::map<std::string, std::vector<std::string>> deployments;
    for (const auto& [path, text] : env.files) {
        if (!is_settings(path)) {
            deployments[fs::path(path).parent_path().string()].push_back(path);
        }
    }
    EXPECT_EQ(deployments.size(), 3U);
    for (const auto& [folder, paths] : deployments) {
        std::vector<std::string> arguments{"check", "--resources"};
        arguments.insert(arguments.end(), paths.begin(), paths.end());
        EXPECT_EQ(env.run(arguments), exit_code::done) << env.err.str();
    }
}

} // namespace
} // namespace cyclamenhatch::cli

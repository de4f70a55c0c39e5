#include "cli/resource_files.h"

namespace cyclamenhatch::cli {
namespace {

/// JSON is also detected by its opening brace, with which no TOML text begins, so that saved
/// answers of the API need no .json suffix.
bool is_json(const std::string& path, const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    return path.ends_with(".json") || (first != std::string::npos && text[first] == '{');
}

} // namespace

result<document> read_document(const environment& env, const std::string& path) {
    const auto text = env.read_file(path);
    if (const auto* problems = std::get_if<findings>(&text)) {
        return *problems;
    }
    const auto& content = std::get<std::string>(text);
    return is_json(path, content) ? parse_json(content, path) : parse_toml(content, path);
}

result<resource_files> read_resource_files(const environment& env,
                                           const std::vector<std::string>& paths) {
    findings problems;
    std::vector<document> documents;
    for (const auto& path : paths) {
        auto read = read_document(env, path);
        if (const auto* more = std::get_if<findings>(&read)) {
            problems.insert(problems.end(), more->begin(), more->end());
            continue;
        }
        documents.push_back(std::get<document>(std::move(read)));
    }
    if (!problems.empty()) {
        return problems;
    }
    resource_files files{.merged = merge_resources(documents)};
    auto read = read_resources(files.merged);
    if (auto* more = std::get_if<findings>(&read)) {
        return std::move(*more);
    }
    files.resources = std::get<resource_set>(std::move(read));
    problems = check_resources(files.merged, files.resources);
    if (!problems.empty()) {
        return problems;
    }
    return files;
}

} // namespace cyclamenhatch::cli

#include "cli/resource_files.h"

namespace cyclamenhatch::cli {
namespace {

/// Saved answers of the API need no ending .json: no TOML text begins with a brace.
bool is_json(const std::string& path, const std::string& text) {
    const auto first = text.find_first_not_of(" \t\r\n");
    return path.ends_with(".json") || (first != std::string::npos && text[first] == '{');
}

} // namespace

result<document> read_document(const environment& around, const std::string& path) {
    const auto text = around.read_file(path);
    if (const auto* found = std::get_if<findings>(&text)) {
        return *found;
    }
    const auto& held = std::get<std::string>(text);
    return is_json(path, held) ? parse_json(held, path) : parse_toml(held, path);
}

result<resource_files> read_resource_files(const environment& around,
                                           const std::vector<std::string>& paths) {
    findings found;
    std::vector<document> documents;
    for (const auto& path : paths) {
        auto read = read_document(around, path);
        if (const auto* more = std::get_if<findings>(&read)) {
            found.insert(found.end(), more->begin(), more->end());
            continue;
        }
        documents.push_back(std::get<document>(std::move(read)));
    }
    if (!found.empty()) {
        return found;
    }
    resource_files files{.merged = merge_resources(documents)};
    auto read = read_resources(files.merged);
    if (auto* more = std::get_if<findings>(&read)) {
        return std::move(*more);
    }
    files.resources = std::get<resource_set>(std::move(read));
    found = check_resources(files.merged, files.resources);
    if (!found.empty()) {
        return found;
    }
    return files;
}

} // namespace cyclamenhatch::cli

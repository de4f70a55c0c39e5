#include "cli/local_verbs.h"
#include "cli/node_session.h"
#include "cli/resource_files.h"

namespace cyclamenhatch::cli {
namespace {

result<msg::settings_msg> read_settings_file(const environment& around, const std::string& path) {
    const auto text = around.read_file(path);
    if (const auto* found = std::get_if<findings>(&text)) {
        return *found;
    }
    // Settings are TOML whatever the file's name: a platform may place them under a name of its
    // own.
    const auto& held = std::get<std::string>(text);
    const auto read = held.starts_with('{') ? parse_json(held, path) : parse_toml(held, path);
    if (const auto* found = std::get_if<findings>(&read)) {
        return *found;
    }
    return read_settings(std::get<document>(read));
}

} // namespace

exit_code run(const environment& around, const check_command& asked) {
    findings found;
    const auto add = [&](const findings* more) {
        if (more != nullptr) {
            found.insert(found.end(), more->begin(), more->end());
        }
    };
    if (!asked.settings.empty()) {
        const auto read = read_settings_file(around, asked.settings);
        add(std::get_if<findings>(&read));
    }
    if (!asked.resources.empty()) {
        const auto read = read_resource_files(around, asked.resources);
        add(std::get_if<findings>(&read));
    }
    if (!found.empty()) {
        return refuse(around, found);
    }
    around.out << "no findings\n";
    return exit_code::done;
}

exit_code run(const environment& around, const version_command& /*asked*/) {
    around.out << "cyclamenhatch " << CYCLAMENHATCH_VERSION << "\n";
    return exit_code::done;
}

exit_code run(const environment& around, const node_command& asked) {
    const auto read = read_settings_file(around, asked.settings);
    if (const auto* found = std::get_if<findings>(&read)) {
        return refuse(around, *found);
    }
    const auto reread = [&around, path = asked.settings] {
        return read_settings_file(around, path);
    };
    return around.run_node(std::get<msg::settings_msg>(read), reread) == 0 ? exit_code::done
                                                                           : exit_code::refused;
}

} // namespace cyclamenhatch::cli

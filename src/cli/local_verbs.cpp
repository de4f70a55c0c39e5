#include "cli/local_verbs.h"
#include "cli/node_session.h"
#include "cli/resource_files.h"

namespace cyclamenhatch::cli {
namespace {

result<msg::settings_msg> read_settings_file(const environment& env, const std::string& path) {
    const auto text = env.read_file(path);
    if (const auto* problems = std::get_if<findings>(&text)) {
        return *problems;
    }
    // The format is detected from the content, since a platform may give the file any name.
    const auto& content = std::get<std::string>(text);
    const auto read =
        content.starts_with('{') ? parse_json(content, path) : parse_toml(content, path);
    if (const auto* problems = std::get_if<findings>(&read)) {
        return *problems;
    }
    return read_settings(std::get<document>(read));
}

} // namespace

exit_code run(const environment& env, const check_command& options) {
    findings problems;
    const auto add = [&](const findings* added) {
        if (added != nullptr) {
            problems.insert(problems.end(), added->begin(), added->end());
        }
    };
    if (!options.settings.empty()) {
        const auto read = read_settings_file(env, options.settings);
        add(std::get_if<findings>(&read));
    }
    if (!options.resources.empty()) {
        const auto read = read_resource_files(env, options.resources);
        add(std::get_if<findings>(&read));
    }
    if (!problems.empty()) {
        return report_findings(env, problems);
    }
    env.out << "no findings\n";
    return exit_code::done;
}

exit_code run(const environment& env, const version_command& /*options*/) {
    env.out << "cyclamenhatch " << CYCLAMENHATCH_VERSION << "\n";
    return exit_code::done;
}

exit_code run(const environment& env, const node_command& options) {
    const auto read = read_settings_file(env, options.settings);
    if (const auto* problems = std::get_if<findings>(&read)) {
        return report_findings(env, *problems);
    }
    const auto reload = [&env, path = options.settings] { return read_settings_file(env, path); };
    return env.run_node(std::get<msg::settings_msg>(read), reload) == 0 ? exit_code::done
                                                                        : exit_code::refused;
}

} // namespace cyclamenhatch::cli

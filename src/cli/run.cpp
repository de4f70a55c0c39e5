#include "cli/run.h"
#include "cli/command.h"
#include "cli/local_verbs.h"
#include "cli/move_verbs.h"
#include "cli/resource_verbs.h"

namespace cyclamenhatch::cli {

exit_code run_command_line(const environment& env, const std::vector<std::string>& arguments) {
    const auto parsed = parse_command_line(arguments);
    if (const auto* early_exit = std::get_if<command_line_exit>(&parsed)) {
        (early_exit->is_error ? env.err : env.out) << early_exit->text;
        return early_exit->is_error ? exit_code::usage : exit_code::done;
    }
    try {
        return std::visit([&](const auto& options) { return run(env, options); },
                          std::get<command>(parsed));
    } catch (const std::exception& error) {
        env.err << "failed: " << error.what() << "\n";
        return exit_code::refused;
    }
}

} // namespace cyclamenhatch::cli

#include "cli/run.h"
#include "cli/command.h"
#include "cli/local_verbs.h"
#include "cli/move_verbs.h"
#include "cli/resource_verbs.h"

namespace cyclamenhatch::cli {

exit_code run_command_line(const environment& around, const std::vector<std::string>& arguments) {
    const auto parsed = parse_command_line(arguments);
    if (const auto* end = std::get_if<command_line_end>(&parsed)) {
        (end->is_error ? around.err : around.out) << end->text;
        return end->is_error ? exit_code::usage : exit_code::done;
    }
    try {
        return std::visit([&](const auto& asked) { return run(around, asked); },
                          std::get<command>(parsed));
    } catch (const std::exception& error) {
        around.err << "failed: " << error.what() << "\n";
        return exit_code::refused;
    }
}

} // namespace cyclamenhatch::cli

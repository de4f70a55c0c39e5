#include "bench/registry.h"

#include <exception>
#include <iostream>

namespace cyclamenhatch::bench {

std::vector<bench_command>& commands() {
    static std::vector<bench_command> registered;
    return registered;
}

} // namespace cyclamenhatch::bench

int main(int argc, char** argv) {
    CLI::App app("Measures cyclamenhatch on one machine.");
    app.require_subcommand(1);
    try {
        for (const auto& command : cyclamenhatch::bench::commands()) {
            command.add(app);
        }
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error);
    } catch (const std::exception& error) {
        std::cerr << "failed: " << error.what() << '\n';
        return 1;
    }
    return 0;
}

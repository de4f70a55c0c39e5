#include "cli/http_client.h"
#include "cli/run.h"
#include "node/run_node.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace {

namespace cli = cyclamenhatch::cli;

cyclamenhatch::result<std::string> read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::stringstream text;
    text << in.rdbuf();
    if (!in) {
        return cyclamenhatch::findings{{.location = {.file = path},
                                        .problem = "cannot be read",
                                        .remedy = "name a file that exists and may be read"}};
    }
    return text.str();
}

cyclamenhatch::instant read_clock() {
    return std::chrono::time_point_cast<cyclamenhatch::microseconds>(
        std::chrono::system_clock::now());
}

cyclamenhatch::operation_id make_operation() {
    std::random_device source;
    std::ostringstream name;
    name << "cli-" << std::hex << source() << source() << source();
    return cyclamenhatch::operation_id{name.str()};
}

} // namespace

int main(int argument_count, char** argument_values) {
    const cli::environment environment{.http = cli::make_http_transport(),
                                       .out = std::cout,
                                       .err = std::cerr,
                                       .read_file = read_file,
                                       .now = read_clock,
                                       .make_operation = make_operation,
                                       .run_node = cyclamenhatch::node::run_node};
    const std::vector<std::string> arguments(argument_values + 1, argument_values + argument_count);
    return static_cast<int>(cli::run_command_line(environment, arguments));
}

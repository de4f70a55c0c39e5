#include "bench/http_load.h"
#include "bench/registry.h"

#include <cpprest/http_client.h>
#include <cpprest/http_listener.h>

#include <cstdio>
#include <memory>

namespace cyclamenhatch::bench {
namespace {

namespace http = web::http;
using listener = http::experimental::listener::http_listener;

void measure(const char* name, std::uint16_t port, double rate) {
    load_options load;
    load.ports = {port};
    load.calls_per_s = rate;
    load.duration = std::chrono::seconds(3);
    load.connections = 32;
    const auto result = run_load(load);
    std::printf("| %s | %.0f | %.0f | %u | %u |\n", name, rate,
                static_cast<double>(result.ok_in_time) / result.seconds,
                percentile(result.latencies_us, 0.5), percentile(result.latencies_us, 0.99));
    std::fflush(stdout);
}

std::string url_of(std::uint16_t port) {
    return "http://127.0.0.1:" + std::to_string(port);
}

/// Measures a plain proxy whose sides to callers and to the upstream both use cpprestsdk, as a
/// simple first version would.
void run_edges(std::uint16_t port) {
    const auto upstream = start_upstream({.slots = 1000, .service_time = microseconds(0)});
    const auto client = std::make_shared<http::client::http_client>(url_of(port_of(*upstream)));
    listener pass_through(url_of(port));
    pass_through.support([client](const http::http_request& request) {
        client->request(request.method(), request.relative_uri().to_string())
            .then([request](const pplx::task<http::http_response>& response) mutable {
                try {
                    request.reply(response.get());
                } catch (const std::exception&) {
                    request.reply(http::status_codes::BadGateway);
                }
            });
    });
    pass_through.open().wait();
    std::printf("| way | offered/s | calls/s | p50 us | p99 us |\n|---|---|---|---|---|\n");
    for (const double rate : {1000.0, 5000.0}) {
        measure("direct", port_of(*upstream), rate);
        measure("through cpprestsdk", port, rate);
    }
    pass_through.close().wait();
}

void add_edges(CLI::App& app) {
    auto* command = app.add_subcommand("cpprest-edges", "a pass-through of cpprestsdk alone");
    auto port = std::make_shared<std::uint16_t>(17'499);
    command->add_option("--port", *port, "port to listen on");
    command->callback([port] { run_edges(*port); });
}

const command_registrar registrar({.name = "cpprest-edges", .add = add_edges});

} // namespace
} // namespace cyclamenhatch::bench

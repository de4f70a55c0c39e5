#include "admin/announcement_reader.h"
#include "document/table_codec.h"
#include "messages_generated.h"

#include <algorithm>

namespace cyclamenhatch::admin {
namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::uint32_t max_slots = 100'000;

void check_text(const std::string& field, const std::string& text, findings& problems) {
    if (text.empty()) {
        problems.push_back({.path = field, .problem = "is required", .remedy = "set " + field});
    }
}

std::uint16_t read_port(const document& body, findings& problems) {
    const auto port = number_or(body, "port", 0);
    if (port < 1 || port > max_port) {
        problems.push_back({.path = "port",
                            .problem = "is not a port number",
                            .remedy = "set the port, 1 to 65535, that the upstream listens on"});
        return 0;
    }
    return static_cast<std::uint16_t>(port);
}

document remove_port(const document& body) {
    document remaining = body;
    if (auto* members = std::get_if<document::table>(&remaining.value)) {
        std::erase_if(*members, [](const document_member& member) { return member.key == "port"; });
    }
    return remaining;
}

} // namespace

result<announcement> read_announcement(const document& body) {
    findings problems;
    announcement parsed;
    parsed.upstream =
        read_message<msg::upstream_record_msg>(remove_port(body), "", nullptr, problems);
    const auto& upstream = parsed.upstream;
    const bool is_gone = upstream.state == msg::upstream_state::gone;
    if (!problems.empty()) {
        return problems;
    }
    check_text("service", upstream.service, problems);
    check_text("version", upstream.version, problems);
    if (upstream.state == msg::upstream_state::none) {
        problems.push_back({.path = "state",
                            .problem = "is required",
                            .remedy = "use starting, ready, draining or gone"});
    }
    if (!is_gone && (upstream.slots < 1 || upstream.slots > max_slots)) {
        problems.push_back({.path = "slots",
                            .problem = std::to_string(upstream.slots) + " is out of range",
                            .remedy = "use 1 to 100000"});
    }
    if (!is_gone) {
        parsed.port = read_port(body, problems);
    }
    if (!problems.empty()) {
        return problems;
    }
    return parsed;
}

} // namespace cyclamenhatch::admin

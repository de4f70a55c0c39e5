#include "admin/announcement_reader.h"
#include "document/table_codec.h"
#include "messages_generated.h"

#include <algorithm>

namespace cyclamenhatch::admin {
namespace {

constexpr std::int64_t max_port = 65'535;
constexpr std::uint32_t max_slots = 100'000;

void check_text(const std::string& field, const std::string& text, findings& found) {
    if (text.empty()) {
        found.push_back({.path = field, .problem = "is required", .remedy = "set " + field});
    }
}

std::uint16_t read_port(const document& from, findings& found) {
    const auto port = number_or(from, "port", 0);
    if (port < 1 || port > max_port) {
        found.push_back({.path = "port",
                         .problem = "is no port",
                         .remedy = "set the port, 1 to 65535, that the upstream listens on"});
        return 0;
    }
    return static_cast<std::uint16_t>(port);
}

document without_port(const document& from) {
    document rest = from;
    if (auto* members = std::get_if<document::table>(&rest.value)) {
        std::erase_if(*members, [](const document_member& each) { return each.key == "port"; });
    }
    return rest;
}

} // namespace

result<announcement> read_announcement(const document& from) {
    findings found;
    announcement to;
    to.upstream = read_message<msg::upstream_record_msg>(without_port(from), "", nullptr, found);
    const auto& read = to.upstream;
    const bool is_gone = read.state == msg::upstream_state::gone;
    if (!found.empty()) {
        return found;
    }
    check_text("service", read.service, found);
    check_text("version", read.version, found);
    if (read.state == msg::upstream_state::none) {
        found.push_back({.path = "state",
                         .problem = "is required",
                         .remedy = "use starting, ready, draining or gone"});
    }
    if (!is_gone && (read.slots < 1 || read.slots > max_slots)) {
        found.push_back({.path = "slots",
                         .problem = std::to_string(read.slots) + " is out of range",
                         .remedy = "use 1 to 100000"});
    }
    if (!is_gone) {
        to.port = read_port(from, found);
    }
    if (!found.empty()) {
        return found;
    }
    return to;
}

} // namespace cyclamenhatch::admin

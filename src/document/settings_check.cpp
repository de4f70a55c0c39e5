#include "document/settings_check.h"

#include "model/byte_rate.h"
#include "model/time.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace cyclamenhatch {
namespace {

constexpr std::uint32_t max_percent = 100;
constexpr std::uint32_t max_port = 65'535;
constexpr std::uint32_t max_ppm = 1'000'000;
constexpr std::uint32_t max_workers = 256;
constexpr std::uint32_t max_permille = 1000;
constexpr std::uint32_t min_frame_bytes = 65'536;
constexpr std::uint32_t no_limit = UINT32_MAX;

/// Collects findings with their locations in a document.
struct settings_report {
    const document& source;
    findings problems;

    void add(const std::string& path, std::string problem, std::string remedy) {
        problems.push_back({.location = find_location(path),
                            .path = path,
                            .problem = std::move(problem),
                            .remedy = std::move(remedy)});
    }

    /// The location of the value, or of the nearest enclosing table that is present in the
    /// document.
    [[nodiscard]] source_location find_location(std::string_view path) const {
        const document* value = &source;
        source_location location = source.location;
        while (!path.empty()) {
            const auto end = path.find_first_of(".[");
            value = find_member(*value, path.substr(0, end));
            if (value == nullptr) {
                return location;
            }
            location = value->location;
            if (end == std::string_view::npos || path[end] == '[') {
                return location;
            }
            path.remove_prefix(end + 1);
        }
        return location;
    }
};

bool is_ip(const std::string& text) {
    std::array<unsigned char, sizeof(in6_addr)> parsed{};
    return inet_pton(AF_INET, text.c_str(), parsed.data()) == 1 ||
           inet_pton(AF_INET6, text.c_str(), parsed.data()) == 1;
}

bool is_port(std::string_view text) {
    std::uint32_t port = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, port);
    return parsed.ec == std::errc{} && parsed.ptr == end && port > 0 && port <= max_port;
}

/// "ip:port", with an IPv6 address in brackets.
bool is_contact(const std::string& text) {
    const auto colon = text.rfind(':');
    if (colon == std::string::npos || !is_port(std::string_view(text).substr(colon + 1))) {
        return false;
    }
    auto ip = text.substr(0, colon);
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    return is_ip(ip);
}

bool is_http_url(const std::string& text) {
    constexpr std::string_view http_prefix = "http://";
    constexpr std::string_view https_prefix = "https://";
    const auto prefix_size =
        text.starts_with(http_prefix) ? http_prefix.size() : https_prefix.size();
    return (text.starts_with(http_prefix) || text.starts_with(https_prefix)) &&
           text.size() > prefix_size && text[prefix_size] != '/' &&
           text.find_first_of(" \t?#") == std::string::npos;
}

void check_required(settings_report& report, const std::string& path, const std::string& text,
                    std::string remedy) {
    if (text.empty()) {
        report.add(path, "is required", std::move(remedy));
    }
}

void check_name(settings_report& report, const std::string& path, const std::string& text) {
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";
    constexpr std::size_t max_length = 128;
    check_required(report, path, text, "set a name of letters, digits, '-', '_' or '.'");
    if (text.find_first_not_of(allowed) != std::string::npos || text.size() > max_length) {
        report.add(path, "\"" + text + "\" is not a name",
                   "use 1 to 128 letters, digits, '-', '_' or '.'");
    }
}

void check_listen(settings_report& report, const msg::listen_settings_msg& listen) {
    if (!listen.link_rate.empty() && !parse_byte_rate(listen.link_rate)) {
        report.add("listen.link_rate", "\"" + listen.link_rate + "\" is not a rate",
                   "write it as \"10 Mbit/s\", or leave it empty");
    }
    check_required(report, "listen.ip", listen.ip, "set this host's IP address");
    if (!listen.ip.empty() && !is_ip(listen.ip)) {
        report.add("listen.ip", "\"" + listen.ip + "\" is not an IP address",
                   "use an address such as 10.0.0.7");
    }
    std::map<std::uint16_t, std::string> used_ports;
    const std::array<std::pair<std::string, std::uint16_t>, 3> ports{
        {{"listen.link_port", listen.link_port},
         {"listen.caller_port", listen.caller_port},
         {"listen.admin_port", listen.admin_port}}};
    for (const auto& [path, port] : ports) {
        if (port == 0 && path == "listen.admin_port") {
            continue; // 0 switches the admin listener off.
        }
        if (port == 0) {
            report.add(path, "0 is not a port to listen on", "use 1 to 65535");
            continue;
        }
        const auto [existing, is_new] = used_ports.emplace(port, path);
        if (!is_new) {
            report.add(path, std::to_string(port) + " is also " + existing->second,
                       "give each listener a different port");
        }
    }
}

void check_address(settings_report& report, const std::string& path, const std::string& text) {
    if (!text.empty() && !is_contact(text)) {
        report.add(path, "\"" + text + "\" is not an address", "use \"ip:port\"");
    }
}

void check_addresses(settings_report& report, const msg::settings_msg& settings) {
    check_address(report, "identity.upstream_address", settings.identity->upstream_address);
    check_address(report, "listen.caller_address", settings.listen->caller_address);
    check_address(report, "listen.announcement_address", settings.listen->announcement_address);
    check_address(report, "listen.readiness_address", settings.listen->readiness_address);
    check_address(report, "listen.metrics_address", settings.listen->metrics_address);
    for (std::size_t i = 0; i < settings.cluster->contacts.size(); ++i) {
        const auto& contact = settings.cluster->contacts[i];
        if (!is_contact(contact)) {
            report.add("cluster.contacts[" + std::to_string(i) + "]",
                       "\"" + contact + "\" is not an address", "use \"ip:port\"");
        }
    }
    check_required(report, "store.url", settings.store->url,
                   "set the base URL of the key-value service, such as http://10.0.0.2:2379");
    if (!settings.store->url.empty() && !is_http_url(settings.store->url)) {
        report.add("store.url", "\"" + settings.store->url + "\" is not an HTTP URL",
                   "use a URL such as http://10.0.0.2:2379");
    }
    const auto& prefix = settings.store->prefix;
    if (!prefix.empty() && (prefix.front() != '/' || prefix.back() != '/')) {
        report.add("store.prefix", "\"" + prefix + "\" does not start and end with '/'",
                   "use a prefix such as /cyclamenhatch/");
    }
}

struct range_rule {
    const char* path;
    std::uint64_t value;
    std::uint32_t lowest;
    std::uint32_t highest;
};

void check_ranges(settings_report& report, const std::vector<range_rule>& rules) {
    for (const auto& rule : rules) {
        if (rule.value >= rule.lowest && rule.value <= rule.highest) {
            continue;
        }
        const auto lowest = std::to_string(rule.lowest);
        report.add(rule.path, std::to_string(rule.value) + " is out of range",
                   rule.highest == no_limit
                       ? "use " + lowest + " or more"
                       : "use " + lowest + " to " + std::to_string(rule.highest));
    }
}

std::vector<range_rule> list_control_rules(const msg::settings_msg& settings) {
    const auto& membership = *settings.membership;
    const auto& distribution = *settings.distribution;
    return {
        {"store.timeout_ms", settings.store->timeout_ms, 1, no_limit},
        {"store.reads_per_s", settings.store->reads_per_s, 1, no_limit},
        {"store.writes_per_s", settings.store->writes_per_s, 1, no_limit},
        {"store.write_deadline_ms", settings.store->write_deadline_ms, 1, no_limit},
        {"store.contact_lease_s", settings.store->contact_lease_s, 1, no_limit},
        {"membership.probe_interval_ms", membership.probe_interval_ms, 1, no_limit},
        {"membership.probe_timeout_ms", membership.probe_timeout_ms, 1, no_limit},
        {"membership.suspicion_ms", membership.suspicion_ms, 1, no_limit},
        {"membership.updates_per_message", membership.updates_per_message, 1, no_limit},
        {"membership.tombstone_s", membership.tombstone_s, 1, no_limit},
        {"membership.pause_ms", membership.pause_ms, 1, no_limit},
        {"membership.join_patience_ms", membership.join_patience_ms, 1, no_limit},
        {"membership.join_spread_ms", membership.join_spread_ms, 1, no_limit},
        {"distribution.push_peers", distribution.push_peers, 1, no_limit},
        {"distribution.exchange_interval_ms", distribution.exchange_interval_ms, 1, no_limit},
        {"distribution.watchers_per_data_centre", distribution.watchers_per_data_centre, 1,
         no_limit},
        {"distribution.concurrent_snapshots", distribution.concurrent_snapshots, 1, no_limit},
        {"distribution.report_interval_ms", distribution.report_interval_ms, 1, no_limit},
        {"move.report_interval_ms", settings.move->report_interval_ms, 1, no_limit},
        {"move.false_alarm_ppm", settings.move->false_alarm_ppm, 1, max_ppm},
        {"move.exposure_permille", settings.move->exposure_permille, 1, max_permille},
    };
}

std::vector<range_rule> list_call_rules(const msg::settings_msg& settings) {
    const auto& call = *settings.call;
    const auto& link = *settings.link;
    return {
        {"call.retry_budget_percent", call.retry_budget_percent, 0, max_percent},
        {"call.max_attempts", call.max_attempts, 1, no_limit},
        {"call.max_hops", call.max_hops, 1, UINT8_MAX},
        {"call.max_header_bytes", call.max_header_bytes, 1, no_limit},
        {"call.outcome_memory_ms", call.outcome_memory_ms, 1, no_limit},
        {"call.max_ejected_percent", call.max_ejected_percent, 0, max_percent},
        {"link.ping_interval_ms", link.ping_interval_ms, 1, no_limit},
        {"link.silence_timeout_ms", link.silence_timeout_ms, 1, no_limit},
        {"link.connect_timeout_ms", link.connect_timeout_ms, 1, no_limit},
        {"link.idle_timeout_s", link.idle_timeout_s, 1, no_limit},
        {"link.max_frame_bytes", link.max_frame_bytes, min_frame_bytes, no_limit},
        {"link.max_reconnect_delay_ms", link.max_reconnect_delay_ms, 1, no_limit},
        {"process.workers", settings.process->workers, 0, max_workers},
        {"call.retry_window_ms", call.retry_window_ms, 100, no_limit},
        {"call.announcement_ttl_ms", call.announcement_ttl_ms, 1, no_limit},
        {"call.drain_gate_ms", call.drain_gate_ms, 0, call.drain_linger_ms},
        {"allowance.window_ms", settings.allowance->window_ms, 100, no_limit},
    };
}

void check_grace(settings_report& report, const msg::call_settings_msg& call) {
    if (!call.grace.empty() && !parse_duration(call.grace)) {
        report.add("call.grace", "\"" + call.grace + "\" is not a time",
                   "write it as \"6 s\", or leave it empty");
    }
}

void check_allowance(settings_report& report, const msg::allowance_settings_msg& allowance) {
    if (!(allowance.excess_share >= 0 && allowance.excess_share <= 1)) {
        report.add("allowance.excess_share",
                   std::to_string(allowance.excess_share) + " is out of range", "use 0 to 1");
    }
}

/// Checks values that depend on each other.
void check_pairs(settings_report& report, const msg::settings_msg& settings) {
    if (settings.membership->probe_timeout_ms >= settings.membership->probe_interval_ms) {
        report.add("membership.probe_timeout_ms", "is not below probe_interval_ms",
                   "leave time for indirect probes within one interval");
    }
    if (settings.link->silence_timeout_ms <= settings.link->ping_interval_ms) {
        report.add("link.silence_timeout_ms", "is not above ping_interval_ms",
                   "let at least one ping pass before a link counts as silent");
    }
    const auto dead_timeout = settings.link->dead_timeout_ms;
    if (dead_timeout != 0 && dead_timeout <= settings.link->silence_timeout_ms) {
        report.add("link.dead_timeout_ms", "is not above silence_timeout_ms",
                   "leave time for a second link to be answered, or set 0");
    }
}

} // namespace

findings check_settings(const document& source, const msg::settings_msg& settings) {
    settings_report report{.source = source};
    check_name(report, "identity.node", settings.identity->node);
    check_name(report, "identity.region", settings.identity->region);
    check_name(report, "identity.data_centre", settings.identity->data_centre);
    check_listen(report, *settings.listen);
    check_addresses(report, settings);
    check_ranges(report, list_control_rules(settings));
    check_ranges(report, list_call_rules(settings));
    check_grace(report, *settings.call);
    check_allowance(report, *settings.allowance);
    check_pairs(report, settings);
    return std::move(report.problems);
}

} // namespace cyclamenhatch

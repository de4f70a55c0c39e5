#include "joined_paths.h"

#include "call/call_key.h"

#include <boost/asio.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <iterator>
#include <limits>
#include <optional>
#include <stdexcept>

namespace cyclamenhatch::edge::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

/// A port that was free a moment ago.
std::uint16_t find_port() {
    asio::io_context io;
    const tcp::acceptor probe(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    return probe.local_endpoint().port();
}

msg::settings_msg make_settings(const std::string& node, std::uint16_t port) {
    msg::settings_msg settings;
    settings.identity = std::make_unique<msg::identity_settings_msg>();
    settings.identity->node = node;
    settings.identity->data_centre = "milan";
    settings.listen = std::make_unique<msg::listen_settings_msg>();
    settings.listen->ip = "127.0.0.1";
    settings.listen->caller_port = port;
    settings.call = std::make_unique<msg::call_settings_msg>();
    settings.call->max_header_bytes = 4096;
    settings.call->max_body_bytes = 1'000'000;
    settings.call->drain_linger_ms = 1000;
    settings.process = std::make_unique<msg::process_settings_msg>();
    settings.process->workers = 2;
    return settings;
}

route make_route(const std::string& name, const std::string& prefix, bool is_idempotent) {
    route result;
    result.name = route_id(name);
    result.service = service_id("ledger");
    result.path_prefix = prefix;
    result.idempotent = is_idempotent;
    result.timeout = milliseconds(30'000);
    return result;
}

snapshot_ptr make_config(const std::optional<std::vector<workspace>>& workspaces = {},
                         double warm_up_calls_per_s = 0, milliseconds warm_up_time = {}) {
    section part;
    part.service.warm_up_calls_per_s = warm_up_calls_per_s;
    part.service.warm_up_time = warm_up_time;
    part.service.name = service_id("ledger");
    part.service.owner = owner_id("members");
    part.service.version = version_id("v1");
    part.service.reserved_slots = 4;
    part.routes = {make_route("all", "/", true), make_route("once", "/hold-once", false),
                   make_route("break-once", "/break-once", false),
                   make_route("plain-once", "/once", false), make_route("open", "/ok/open", true)};
    part.routes.back().is_anonymous = true;
    part.versions = {{.name = version_id("v1"), .service = service_id("ledger"), .last_write = {}}};
    std::vector<section_ptr> sections{make_stored_section(part)};
    if (workspaces) {
        sections.push_back(make_stored_section({.service = {.name = fleet_section_name()},
                                                .workspaces = *workspaces,
                                                .requires_access_key = true}));
    }
    auto built = build_snapshot(config_version{1}, std::move(sections), {});
    return std::get<snapshot_ptr>(built);
}

call::routing_view_ptr make_view(bool has_endpoint) {
    auto view = std::make_shared<call::routing_view>();
    view->config = make_config();
    view->is_ready = true;
    auto& endpoints = view->endpoints[service_id("ledger")];
    if (has_endpoint) {
        endpoints.push_back({.node = node_id("gate"),
                             .link = {},
                             .region = {},
                             .data_centre = data_centre_id("milan"),
                             .version = version_id("v1"),
                             .state = msg::upstream_state::ready,
                             .slots = 4,
                             .incarnation = 1});
    }
    return view;
}

msg::upstream_record_msg make_record(msg::upstream_state state, const std::string& instance) {
    msg::upstream_record_msg upstream;
    upstream.instance = instance;
    upstream.service = "ledger";
    upstream.version = "v1";
    upstream.state = state;
    upstream.slots = 4;
    return upstream;
}

std::shared_ptr<call_path> start(const std::string& name, std::uint16_t& port,
                                 const call_path_callbacks& callbacks, const header_names& names) {
    for (int tries = 0; tries < 20; ++tries) {
        port = find_port();
        try {
            return start_call_path(make_settings(name, port), callbacks, names);
        } catch (const std::runtime_error&) {
            continue;
        }
    }
    throw std::runtime_error("no free port");
}

lone_node start_lone(const std::string& name, asio::io_context& io, const std::string& link_rate,
                     std::function<void(const outgoing&)> on_send) {
    call_path_callbacks callbacks;
    callbacks.send = [on_send = std::move(on_send)](const outgoing& message) {
        if (on_send) {
            on_send(message);
        }
    };
    callbacks.view = [view = make_view(true)] { return view; };
    callbacks.record_samples = [](const std::vector<call::call_sample>&) {};
    const auto port = find_port();
    auto settings = make_settings(name, port);
    settings.listen->link_rate = link_rate;
    return {start_call_path(settings, callbacks, {}, &io), port};
}

} // namespace

joined_paths::joined_paths(std::uint16_t upstream_port, const header_names& names)
    : names_(names), view_(make_view(true)) {
    entry_ = start("entry", entry_port_, make_callbacks("entry"), names_);
    gate_ = start("gate", gate_port_, make_callbacks("gate"), names_);
    announce(msg::upstream_state::ready, upstream_port);
}

joined_paths::~joined_paths() {
    // Both stop before either goes: each may be sending to the other.
    (void)stop(*entry_);
    (void)stop(*gate_);
}

call_path_callbacks joined_paths::make_callbacks(const std::string& self) {
    call_path_callbacks callbacks;
    callbacks.send = [this, self](outgoing message) {
        const bool is_answer = std::holds_alternative<msg::call_answer_msg>(message.message) ||
                               std::holds_alternative<msg::call_refused_msg>(message.message);
        bool is_dropped = false;
        {
            const std::lock_guard guard(lock_);
            is_dropped = is_link_cut_ && message.to == node_id("gate");
            undelivered_ += is_dropped ? 1 : 0;
        }
        if (is_dropped) {
            on_undelivered(*entry_, message);
            return;
        }
        {
            const std::lock_guard guard(lock_);
            if (should_lose_ && should_lose_(message.to, message.message)) {
                ++lost_count_;
                return;
            }
            if (is_answer && answers_to_lose_ > 0) {
                --answers_to_lose_;
                return;
            }
            if (change_) {
                change_(message.to, message.message);
            }
        }
        auto& receiver = message.to == node_id("gate") ? gate_ : entry_;
        on_message(*receiver, incoming{node_id(self), std::move(message.message)});
    };
    callbacks.view = [this, is_entry = self == "entry"] {
        const std::lock_guard guard(lock_);
        return is_entry && entry_view_ ? entry_view_ : view_;
    };
    callbacks.record_samples = [this](const std::vector<call::call_sample>& samples) {
        const std::lock_guard guard(lock_);
        errors_ +=
            static_cast<int>(std::count_if(samples.begin(), samples.end(), [](const auto& sample) {
                return sample.kind == call::sample_kind::error;
            }));
        changed_.notify_all();
    };
    callbacks.log = [this](log_event event) {
        const std::lock_guard guard(lock_);
        events_.push_back(std::move(event));
    };
    callbacks.on_upstream_crash = [this](call::upstream_crash crash) {
        const std::lock_guard guard(lock_);
        crashes_.push_back(std::move(crash));
        changed_.notify_all();
    };
    callbacks.on_suspect_ran_well = [this](const request_digest& digest) {
        const std::lock_guard guard(lock_);
        ran_well_.push_back(digest);
    };
    return callbacks;
}

void joined_paths::add_endpoint_at_entry(std::uint16_t port, const std::string& data_centre) {
    set_upstream(*entry_, make_record(msg::upstream_state::ready, "at-entry"), port);
    const std::lock_guard guard(lock_);
    auto view = std::make_shared<call::routing_view>(*view_);
    auto& endpoints = view->endpoints[service_id("ledger")];
    endpoints.push_back(endpoints.front());
    endpoints.back().node = node_id("entry");
    if (!data_centre.empty()) {
        endpoints.back().data_centre = data_centre_id(data_centre);
    }
    view_ = std::move(view);
}

void joined_paths::set_quarantine(const call::quarantine_view& suspects, bool only_gate) {
    const std::lock_guard guard(lock_);
    entry_view_ = only_gate ? view_ : nullptr;
    auto view = std::make_shared<call::routing_view>(*view_);
    view->quarantine = std::make_shared<const call::quarantine_view>(suspects);
    view_ = std::move(view);
}

std::vector<call::upstream_crash> joined_paths::wait_for_crashes(std::size_t count) {
    std::unique_lock guard(lock_);
    changed_.wait_for(guard, std::chrono::seconds(2), [&] { return crashes_.size() >= count; });
    return crashes_;
}

int joined_paths::wait_for_errors(int count) {
    std::unique_lock guard(lock_);
    changed_.wait_for(guard, std::chrono::seconds(2), [&] { return errors_ >= count; });
    return errors_;
}

std::vector<request_digest> joined_paths::ran_well() {
    const std::lock_guard guard(lock_);
    return ran_well_;
}

std::vector<log_event> joined_paths::events(const std::string& name) {
    const std::lock_guard guard(lock_);
    std::vector<log_event> found;
    std::copy_if(events_.begin(), events_.end(), std::back_inserter(found),
                 [&](const auto& event) { return event.name == name; });
    return found;
}

std::vector<log_event> joined_paths::all_events() {
    const std::lock_guard guard(lock_);
    return events_;
}

void joined_paths::announce(msg::upstream_state state, std::uint16_t port,
                            const std::string& instance, milliseconds cold_for) {
    auto record = make_record(state, instance);
    record.cold_ms = static_cast<std::uint32_t>(cold_for.count());
    set_upstream(*gate_, record, port);
}

void joined_paths::set_warm_up(double calls_per_s, milliseconds warm_up_time) {
    const std::lock_guard guard(lock_);
    auto view = std::make_shared<call::routing_view>(*view_);
    view->config = make_config({}, calls_per_s, warm_up_time);
    view_ = std::move(view);
}

void joined_paths::restart_gate() {
    (void)stop(*gate_);
    gate_ = start("gate", gate_port_, make_callbacks("gate"), names_);
}

void joined_paths::cut_link() {
    const std::lock_guard guard(lock_);
    is_link_cut_ = true;
}

int joined_paths::undelivered_count() {
    const std::lock_guard guard(lock_);
    return undelivered_;
}

void joined_paths::lose_answers(int count) {
    const std::lock_guard guard(lock_);
    answers_to_lose_ = count;
}

void joined_paths::lose(
    std::function<bool(const node_id& receiver, const peer_message&)> should_lose) {
    const std::lock_guard guard(lock_);
    should_lose_ = std::move(should_lose);
}

void joined_paths::alter(std::function<void(const node_id& receiver, peer_message&)> change) {
    const std::lock_guard guard(lock_);
    change_ = std::move(change);
}

int joined_paths::lost_count() {
    const std::lock_guard guard(lock_);
    return lost_count_;
}

void joined_paths::set_workspaces(const std::vector<workspace>& workspaces) {
    const std::lock_guard guard(lock_);
    auto view = std::make_shared<call::routing_view>(*view_);
    view->config = make_config(workspaces);
    view->peers = {{node_id("gate"), {}}};
    view_ = std::move(view);
}

void joined_paths::forget_endpoint() {
    const std::lock_guard guard(lock_);
    view_ = make_view(false);
}

std::string joined_paths::ask(const std::string& request, bool at_gate) {
    namespace http = boost::beast::http;
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), at_gate ? gate_port_ : entry_port_});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(request), error);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    http::read(socket, buffer, parser, error);
    if (error) {
        return "broken off";
    }
    const auto& answer = parser.get();
    std::string summary = std::to_string(answer.result_int());
    if (!answer["cyclamenhatch-outcome"].empty()) {
        summary += " " + std::string(answer["cyclamenhatch-outcome"]);
    }
    if (!answer["Retry-After"].empty()) {
        summary += " later";
    }
    if (!answer["X-From"].empty()) {
        summary += " " + std::string(answer["X-From"]);
    }
    const bool is_short = answer.body().size() < 20;
    return summary + " " +
           (is_short ? answer.body() : std::to_string(answer.body().size()) + " bytes");
}

std::string joined_paths::fetch(const std::string& request) {
    namespace http = boost::beast::http;
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), entry_port_});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(request), error);
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    http::read(socket, buffer, parser, error);
    return error ? "broken off" : parser.get().body();
}

std::string joined_paths::ask_raw(const std::string& request) {
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), entry_port_});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(request), error);
    std::string received;
    asio::read(socket, asio::dynamic_buffer(received), error);
    return received;
}

std::vector<std::string> joined_paths::ask_many(const std::string& requests, int answers) {
    namespace http = boost::beast::http;
    asio::io_context io;
    tcp::socket socket(io);
    socket.connect({asio::ip::make_address("127.0.0.1"), entry_port_});
    boost::system::error_code error;
    asio::write(socket, asio::buffer(requests), error);
    boost::beast::flat_buffer buffer;
    std::vector<std::string> bodies;
    for (int i = 0; i < answers; ++i) {
        http::response_parser<http::string_body> parser;
        http::read(socket, buffer, parser, error);
        bodies.push_back(error ? "closed" : parser.get().body());
    }
    return bodies;
}

std::string joined_paths::get(const std::string& path, const std::string& headers) {
    return ask("GET " + path + " HTTP/1.1\r\nHost: shop\r\n" + headers + "\r\n");
}

std::string request(const std::string& line, const std::string& headers, const std::string& body) {
    return line + " HTTP/1.1\r\nHost: shop:80\r\n" + headers + "\r\n" + body;
}

lone_node start_lone_node(std::uint16_t upstream_port, boost::asio::io_context& io,
                          const std::string& link_rate,
                          std::function<void(const outgoing&)> on_send) {
    auto node = start_lone("gate", io, link_rate, std::move(on_send));
    msg::upstream_record_msg upstream;
    upstream.service = "ledger";
    upstream.version = "v1";
    upstream.state = msg::upstream_state::ready;
    upstream.slots = 4;
    set_upstream(*node.path, upstream, upstream_port);
    return node;
}

lone_node start_lone_entry(boost::asio::io_context& io,
                           std::function<void(const outgoing&)> on_send) {
    return start_lone("entry", io, {}, std::move(on_send));
}

incoming make_open(std::uint64_t number, const std::string& path) {
    msg::call_open_msg message;
    message.call = call::make_key({1, number});
    message.service = "ledger";
    message.version = "v1";
    message.route = "all";
    message.method = "GET";
    message.target = path;
    message.idempotent = true;
    message.last = true;
    message.deadline_us = 10'000'000;
    return {node_id("entry"), std::move(message)};
}

incoming make_cancel(std::uint64_t number) {
    msg::call_cancel_msg message;
    message.call = call::make_key({1, number});
    return {node_id("entry"), std::move(message)};
}

} // namespace cyclamenhatch::edge::testing

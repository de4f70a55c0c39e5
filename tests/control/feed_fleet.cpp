#include "control/feed_fleet.h"

#include <sstream>

namespace cyclamenhatch::control::testing {
namespace {

constexpr milliseconds time_step{5};
constexpr milliseconds tick_interval{100};
constexpr double cheap_request_cost = 0.1;
constexpr std::uint16_t link_port = 7400;

std::string name_of(std::size_t node) {
    return "n" + std::to_string(1000 + node);
}

std::string ip_of(std::size_t node) {
    return "10.0." + std::to_string(node / 200) + "." + std::to_string(node % 200 + 1);
}

section make_section(std::string_view prefix) {
    section content;
    content.service.name = service_id("ledger");
    content.service.owner = owner_id("members");
    route only;
    only.name = route_id("all");
    only.service = content.service.name;
    only.path_prefix = prefix;
    content.routes.push_back(only);
    return content;
}

result<feed::move_record> read_record(std::string_view text) {
    std::istringstream words{std::string(text)};
    std::string state;
    feed::move_record record{.service = service_id("ledger"), .target_version = version_id("v2")};
    words >> state >> record.move.value >> record.started_ms;
    record.state = state == "done"   ? feed::record_state::done
                   : state == "back" ? feed::record_state::taken_back
                                     : feed::record_state::running;
    return record;
}

std::string write_record(const feed::move_record& record) {
    const auto* state = record.state == feed::record_state::done         ? "done "
                        : record.state == feed::record_state::taken_back ? "back "
                                                                         : "running ";
    return state + record.move.value + " " + std::to_string(record.started_ms);
}

} // namespace

feed::config_format make_format() {
    feed::config_format format;
    format.document_key = document_key;
    format.orders_prefix = "op/orders/";
    format.evacuations_prefix = "op/evacuate/";
    format.watched_prefix = "op/";
    format.records_prefix = "records/";
    format.read_document = [](std::string_view text) -> result<feed::operators_document> {
        const auto space = text.find(' ');
        return feed::operators_document{.version = std::stoull(std::string(text.substr(0, space))),
                                        .sections = {make_section(text.substr(space + 1))}};
    };
    format.read_order = [](std::string_view text) -> result<feed::move_order> {
        return feed::move_order{service_id("ledger"), version_id(std::string(text)), seconds{16}};
    };
    format.read_record = read_record;
    format.write_record = write_record;
    return format;
}

feed_fleet::feed_fleet(std::size_t count) {
    settings.identity = std::make_unique<msg::identity_settings_msg>();
    settings.listen = std::make_unique<msg::listen_settings_msg>();
    settings.cluster = std::make_unique<msg::cluster_settings_msg>();
    settings.store = std::make_unique<msg::store_settings_msg>();
    settings.store->contact_lease_s = 3;
    settings.store->start_spread_ms = 200;
    settings.membership = std::make_unique<msg::membership_settings_msg>();
    settings.membership->join_patience_ms = 400;
    settings.membership->join_spread_ms = 300;
    settings.distribution = std::make_unique<msg::distribution_settings_msg>();
    settings.distribution->watchers_per_data_centre = 1;
    settings.distribution->store_alone_ms = 0;
    settings.call = std::make_unique<msg::call_settings_msg>();
    settings.move = std::make_unique<msg::move_settings_msg>();
    nodes.resize(count);
}

void feed_fleet::start(std::size_t node) {
    auto own = settings;
    own.identity->node = name_of(node);
    own.identity->data_centre = data_centres[node % data_centres.size()];
    own.listen->ip = ip_of(node);
    own.listen->link_port = link_port;
    nodes[node] = std::make_unique<state>(make_state(own, random(), now, make_format()));
}

void feed_fleet::carry_out(std::size_t node, actions&& out) {
    for (const auto& request : out.requests) {
        const auto* read = std::get_if<store::kv_range>(&request.operation);
        const bool is_stale = read != nullptr && read->may_be_stale;
        const bool is_cheap =
            is_stale || std::holds_alternative<store::kv_lease_keepalive>(request.operation);
        stale_reads_ += is_stale ? 1 : 0;
        store_cost_ += is_cheap ? cheap_request_cost : 1;
        fakes::send(store, name_of(node), request, now);
    }
    for (auto& send : out.sends) {
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            const bool is_receiver = send.address.ip.empty() ? send.to.value == name_of(other)
                                                             : send.address.ip == ip_of(other);
            if (!is_receiver || !nodes[other]) {
                continue;
            }
            actions answers;
            on_message(*nodes[other], {node_id(name_of(node)), send.message}, now, answers);
            carry_out(other, std::move(answers));
        }
    }
}

void feed_fleet::deliver_responses() {
    for (const auto& delivery : fakes::advance(store, now)) {
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            if (delivery.client == name_of(node) && nodes[node]) {
                actions out;
                on_store_response(*nodes[node], delivery.response, now, out);
                carry_out(node, std::move(out));
            }
        }
    }
}

void feed_fleet::run(milliseconds duration) {
    for (const auto end = now + duration; now < end;) {
        now += time_step;
        deliver_responses();
        for (std::size_t node = 0; node < nodes.size(); ++node) {
            // The nodes tick at different times.
            const auto phase = milliseconds{static_cast<std::int64_t>(node) * 5} % tick_interval;
            if (nodes[node] && (now - start_time) % tick_interval == phase) {
                actions out;
                on_tick(*nodes[node], now, out);
                carry_out(node, std::move(out));
            }
        }
    }
}

void feed_fleet::crash(std::size_t node, const request_digest& digest) {
    actions out;
    const call::upstream_crash witnessed{
        .service = service_id("ledger"),
        .runs = {{.digest = digest, .route = route_id("all"), .request_id = "q"}}};
    record_crash(*nodes[node], witnessed, now, out);
    carry_out(node, std::move(out));
}

void feed_fleet::announce(std::size_t node, const msg::upstream_record_msg& upstream) {
    actions out;
    set_upstream(*nodes[node], upstream, now, out);
    carry_out(node, std::move(out));
}

void feed_fleet::run_well(std::size_t node, const request_digest& digest) {
    actions out;
    record_good_run(*nodes[node], digest, now, out);
    carry_out(node, std::move(out));
}

std::size_t feed_fleet::count_holding(const request_digest& digest) const {
    return static_cast<std::size_t>(
        std::count_if(nodes.begin(), nodes.end(), [&](const auto& node) {
            const auto view = make_routing_view(*node, now);
            const auto* found = call::find_suspect(view.quarantine, digest);
            return view.is_ready && found != nullptr && now < found->held_until;
        }));
}

void feed_fleet::cut_off(std::size_t node) {
    fakes::cut_off(store, name_of(node), now);
}

void feed_fleet::reconnect(std::size_t node) {
    store.cut_off.erase(name_of(node));
}

void feed_fleet::write(std::string_view key, const std::string& value) {
    store::kv_transaction transaction;
    transaction.puts.push_back({std::string(key), value, 0});
    fakes::send(store, "operator", {1, std::move(transaction)}, now);
}

void feed_fleet::erase(std::string_view key) {
    store::kv_transaction transaction;
    transaction.deletes.emplace_back(key);
    fakes::send(store, "operator", {1, std::move(transaction)}, now);
}

std::size_t feed_fleet::count_ready() const {
    return static_cast<std::size_t>(std::count_if(nodes.begin(), nodes.end(), [](const auto& node) {
        return node != nullptr && is_ready(*node);
    }));
}

std::string feed_fleet::stored(std::string_view key) const {
    const auto it = store.entries.find(std::string(key));
    return it == store.entries.end() ? "none" : it->second.value;
}

std::string feed_fleet::prefix_at(std::size_t node) const {
    const auto& config = nodes[node]->distribution.config;
    return config && !config->sections.empty()
               ? config->sections.at(service_id("ledger"))->content.routes.front().path_prefix
               : "none";
}

bool feed_fleet::is_evacuated_at(std::size_t node, std::string_view data_centre) const {
    const auto& config = nodes[node]->distribution.config;
    return config && is_evacuated(*config, data_centre_id(std::string(data_centre)));
}

} // namespace cyclamenhatch::control::testing

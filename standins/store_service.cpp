#include "store_service.h"

#include "document/document.h"
#include "etcd_server_json.h"
#include "http_server.h"
#include "support/fake_store.h"

#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <optional>
#include <random>
#include <utility>

namespace cyclamenhatch::standin {
namespace {

namespace asio = boost::asio;

/// Upper bound of the extra delay of answers and of the expiry of leases.
constexpr milliseconds pump_interval{5};
/// The in-memory store itself must not time out, since the clients do.
constexpr milliseconds no_timeout{3'600'000};
/// Number of changes kept for watches that resume; older ones are compacted.
constexpr std::size_t history_limit = 4096;

/// A request that the in-memory store has not answered yet.
struct pending_call {
    std::shared_ptr<exchange> connection;
    bool is_watch = false;
    bool is_keepalive = false;
    bool loses_answer = false;
};

struct store_counts {
    std::uint64_t calls = 0;
    std::uint64_t refused = 0;
    std::uint64_t lost_answers = 0;
    std::uint64_t watches_opened = 0;
};

struct store_service {
    store_service(asio::io_context& io, store_options store_config)
        : context(io), options(std::move(store_config)), pump_timer(io) {}

    asio::io_context& context;
    store_options options;
    asio::steady_timer pump_timer;
    std::shared_ptr<http_server> main_server;
    std::shared_ptr<http_server> control_server;
    fakes::fake_store store;
    std::optional<fakes::saved_store> backup;
    std::map<std::uint64_t, pending_call> pending_calls;
    store_counts counts;
    double lose_answers = 0;
    bool is_unavailable = false;
    std::mt19937_64 random{1};
};

instant read_clock() {
    return std::chrono::time_point_cast<microseconds>(
        instant{} + std::chrono::duration_cast<microseconds>(
                        std::chrono::steady_clock::now().time_since_epoch()));
}

/// Sends a response of the in-memory store to the connection that waits for it.
void deliver(store_service& service, const store::kv_response& response) {
    const auto match = service.pending_calls.find(response.id);
    if (match == service.pending_calls.end()) {
        return;
    }
    const auto call = match->second;
    const bool is_failure = std::holds_alternative<store::kv_failure>(response.outcome);
    if (!call.is_watch || is_failure) {
        service.pending_calls.erase(match);
    }
    if (call.loses_answer) {
        ++service.counts.lost_answers;
        abandon(call.connection);
    } else if (!call.is_watch) {
        answer(call.connection,
               encode_answer(response.outcome, service.store.revision, call.is_keepalive));
    } else {
        start_stream(call.connection);
        const auto* changes = std::get_if<store::kv_changes>(&response.outcome);
        const bool is_confirmation = changes != nullptr && changes->changes.empty();
        stream_line(call.connection,
                    is_confirmation ? encode_watch_created(service.store.revision)
                                    : encode_watch_line(response.outcome, service.store.revision));
    }
}

void trim_history(fakes::fake_store& store) {
    if (store.history.size() > 2 * history_limit) {
        const auto first_kept = store.history.end() - history_limit;
        store.compacted = (first_kept - 1)->entry.mod_revision;
        store.history.erase(store.history.begin(), first_kept);
    }
}

/// Delivers the responses that are due.
void pump(store_service& service) {
    for (const auto& delivery : fakes::advance(service.store, read_clock())) {
        deliver(service, delivery.response);
    }
    trim_history(service.store);
}

void schedule_pump(const std::shared_ptr<store_service>& service) {
    service->pump_timer.expires_after(pump_interval);
    service->pump_timer.async_wait([service](const boost::system::error_code& error) {
        if (!error) {
            pump(*service);
            schedule_pump(service);
        }
    });
}

void handle_call(const std::shared_ptr<store_service>& service,
                 const std::shared_ptr<exchange>& connection) {
    ++service->counts.calls;
    const auto& request = request_of(*connection);
    const auto operation = decode_operation(path_of(request.target), request.body);
    if (!operation) {
        answer(connection, {.status = 400, .body = R"({"error":"not understood","code":3})"});
        return;
    }
    if (service->is_unavailable) {
        ++service->counts.refused;
        answer(connection, {.status = 503, .body = R"({"error":"unavailable","code":14})"});
        return;
    }
    const bool is_watch = std::holds_alternative<store::kv_watch>(*operation);
    std::uniform_real_distribution<double> chance(0, 1);
    const auto id = id_of(*connection);
    service->counts.watches_opened += is_watch ? 1 : 0;
    service->pending_calls[id] = {
        .connection = connection,
        .is_watch = is_watch,
        .is_keepalive = std::holds_alternative<store::kv_lease_keepalive>(*operation),
        .loses_answer = !is_watch && chance(service->random) < service->lose_answers};
    set_close_handler(*connection, [service, id] {
        service->pending_calls.erase(id);
        fakes::send(service->store, "", {0, store::kv_watch_cancel{id}}, read_clock());
    });
    fakes::send(service->store, "", {id, *operation}, read_clock());
    pump(*service);
}

http_reply make_counters_reply(const store_service& service) {
    const auto number = [](auto value) { return static_cast<std::int64_t>(value); };
    const auto& store = service.store;
    return {.body = write_json(
                document::table{{"calls", number(service.counts.calls)},
                                {"reads", number(store.reads)},
                                {"writes", number(store.writes)},
                                {"watches_opened", number(service.counts.watches_opened)},
                                {"watches_waiting", number(store.watches.size())},
                                {"refused", number(service.counts.refused)},
                                {"lost_answers", number(service.counts.lost_answers)},
                                {"revision", number(store.revision)},
                                {"keys", number(store.entries.size())},
                                {"leases", number(store.leases.size())}})};
}

void drop_watches(store_service& service) {
    fakes::close_watches(service.store, read_clock());
    const auto pending_calls = service.pending_calls;
    for (const auto& [id, call] : pending_calls) {
        if (call.is_watch) {
            service.pending_calls.erase(id);
            abandon(call.connection);
        }
    }
}

void handle_request(const std::shared_ptr<store_service>& service,
                    const std::shared_ptr<exchange>& connection);

void set_down(const std::shared_ptr<store_service>& service, bool is_down) {
    if (is_down && service->main_server) {
        drop_watches(*service);
        stop(*service->main_server);
        service->main_server.reset();
    } else if (!is_down && !service->main_server) {
        service->main_server =
            start_http_server(service->context, service->options.ip, service->options.port,
                              [service](const std::shared_ptr<exchange>& connection) {
                                  handle_request(service, connection);
                              });
    }
}

double read_share(const document& json, std::string_view key, double fallback) {
    const document* member = find_member(json, key);
    if (member == nullptr) {
        return fallback;
    }
    const auto* share = std::get_if<double>(&member->value);
    return share == nullptr ? static_cast<double>(number_or(json, key, 0)) : *share;
}

void set_faults(const std::shared_ptr<store_service>& service, const document& json) {
    auto& store = service->store;
    const auto now = read_clock();
    service->lose_answers = read_share(json, "lose_answers", service->lose_answers);
    service->is_unavailable = flag_or(json, "unavailable", service->is_unavailable);
    store.faults.is_silent = flag_or(json, "silent", store.faults.is_silent);
    store.faults.answer_delay =
        milliseconds{number_or(json, "slow_ms", store.faults.answer_delay.count())};
    if (flag_or(json, "lapse_leases", false)) {
        fakes::lapse_leases(store, now);
    }
    if (flag_or(json, "compact", false)) {
        fakes::compact(store);
    }
    if (flag_or(json, "close_watches", false)) {
        drop_watches(*service);
    }
    if (find_member(json, "down") != nullptr) {
        // Posted so that the answer is sent first: going down may close its connection.
        const bool is_down = flag_or(json, "down", false);
        asio::post(service->context, [service, is_down] { set_down(service, is_down); });
    }
    pump(*service);
}

void handle_control(const std::shared_ptr<store_service>& service,
                    const std::shared_ptr<exchange>& connection) {
    const auto& request = request_of(*connection);
    const auto path = path_of(request.target);
    if (path == "/standin/counters") {
        answer(connection, make_counters_reply(*service));
    } else if (path == "/standin/faults") {
        const auto parsed = parse_json(request.body, "faults");
        const auto* json = std::get_if<document>(&parsed);
        if (json == nullptr) {
            answer(connection, {.status = 400, .body = R"({"error":"not JSON"})"});
            return;
        }
        answer(connection, {.body = "{}"});
        set_faults(service, *json);
    } else if (path == "/standin/save") {
        service->backup = fakes::save(service->store);
        answer(connection, make_counters_reply(*service));
    } else if (path == "/standin/restore" && service->backup) {
        drop_watches(*service);
        fakes::restore(service->store, *service->backup, read_clock());
        answer(connection, make_counters_reply(*service));
    } else {
        answer(connection, {.status = 404, .body = R"({"error":"not found"})"});
    }
}

void handle_request(const std::shared_ptr<store_service>& service,
                    const std::shared_ptr<exchange>& connection) {
    if (request_of(*connection).target.rfind("/standin/", 0) == 0) {
        handle_control(service, connection);
    } else {
        handle_call(service, connection);
    }
}

} // namespace

int run_store(const store_options& options) {
    asio::io_context context(1);
    const auto service = std::make_shared<store_service>(context, options);
    service->store.faults.request_delay = milliseconds{0};
    service->store.faults.answer_delay = milliseconds{0};
    service->store.faults.timeout = no_timeout;
    const auto control_port = options.control_port != 0
                                  ? options.control_port
                                  : static_cast<std::uint16_t>(options.port + 1);
    service->control_server = start_http_server(
        context, options.ip, control_port, [service](const std::shared_ptr<exchange>& connection) {
            handle_request(service, connection);
        });
    set_down(service, false);
    schedule_pump(service);
    std::cout << "event=store_listening port=" << options.port << " control_port=" << control_port
              << std::endl;
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code&, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace cyclamenhatch::standin

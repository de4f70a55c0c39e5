#include "edge/call_path.h"

#include "call/call_key.h"
#include "clock/process_clock.h"
#include "edge/call_path_state.h"
#include "edge/entry_allowance.h"
#include "messages/address_text.h"
#include "model/byte_rate.h"
#include "model/handler_guard.h"

#include <algorithm>
#include <cstdlib>
#include <limits>
#include <random>
#include <utility>

namespace cyclamenhatch::edge {
namespace {

constexpr std::chrono::milliseconds busy_tick{10};
constexpr std::chrono::milliseconds idle_tick{50};
constexpr std::chrono::milliseconds silence_check{500};
/// Idle connections kept beyond the number of slots, for calls that end while others begin.
constexpr std::size_t spare_connections = 4;

entry_limits entry_limits_from(const msg::call_settings_msg& settings) {
    return {.retries = {.percent = settings.retry_budget_percent,
                        .window = milliseconds(settings.retry_window_ms),
                        .slack = static_cast<double>(settings.retry_slack)},
            .max_attempts = settings.max_attempts,
            .max_hops = settings.max_hops,
            .ejection = milliseconds(settings.ejection_ms),
            .max_ejected_percent = settings.max_ejected_percent,
            .lingers = settings.drain_linger_ms > 0};
}

/// Bytes that a link carries in the time for which other messages may wait behind large answers:
/// 100 ms, a tenth of the time after which the platform checks a silent link.
std::uint64_t link_window_from(const msg::listen_settings_msg& listen) {
    constexpr std::uint64_t waits_per_s = 10;
    const auto rate = parse_byte_rate(listen.link_rate);
    return rate ? rate->bytes_per_s / waits_per_s : std::numeric_limits<std::uint64_t>::max();
}

call::gate_settings gate_settings_from(const msg::call_settings_msg& call_settings) {
    call::gate_settings settings;
    settings.queue_limit = call_settings.queue_limit;
    settings.has_limits = call_settings.has_limits;
    settings.has_adaptive_limit = call_settings.adaptive_limit;
    settings.memory.keep_answers = milliseconds(call_settings.outcome_memory_ms);
    settings.memory.max_answer_bytes = call_settings.outcome_memory_bytes;
    return settings;
}

std::uint64_t draw_seed() {
    std::random_device device;
    return (static_cast<std::uint64_t>(device()) << 32U) | device();
}

template <class Message> const Message* find_kind(const incoming& envelope) {
    return std::get_if<Message>(&envelope.message);
}

void handle(call_path& path, const incoming& envelope, msg::call_cancel_msg& message) {
    on_cancel(path.gate, call::from_key(message.call.get()), envelope.delay);
}

void handle(call_path& path, const incoming& envelope, msg::call_open_msg& message) {
    on_open(path.gate, envelope.from, std::move(message), envelope.delay);
}

void handle(call_path& path, const incoming& envelope, msg::call_answer_msg& message) {
    on_answer(path.entry, envelope.from, std::move(message));
}

void handle(call_path& path, const incoming& envelope, msg::call_refused_msg& message) {
    on_refused(path.entry, envelope.from, message);
}

/// The id of a call between two nodes is known only to the gate or only to the entry of this node,
/// so the gate is tried first.
void handle(call_path& path, const incoming& envelope, msg::call_data_msg& message) {
    if (!on_data(path.gate, message)) {
        on_data(path.entry, envelope.from, std::move(message));
    }
}

void handle(call_path& path, const incoming& envelope, msg::call_credit_msg& message) {
    if (!on_credit(path.gate, message)) {
        on_credit(path.entry, envelope.from, message);
    }
}

void handle(call_path& path, const incoming& envelope, msg::allowance_loan_msg& message) {
    on_allowance_loan(path.entry, envelope.from, message);
}

template <class Message>
void handle(call_path& /*path*/, const incoming& /*envelope*/, Message& /*message*/) {}

/// Delivers a message from this node's entry to its own gate.
void handle_at_gate(call_path& path, peer_message message) {
    if (auto* data = std::get_if<msg::call_data_msg>(&message)) {
        (void)on_data(path.gate, *data);
    } else if (auto* credit = std::get_if<msg::call_credit_msg>(&message)) {
        (void)on_credit(path.gate, *credit);
    } else {
        on_message(path, incoming{path.self, std::move(message)});
    }
}

/// Delivers a message from this node's gate to its own entry.
void handle_at_entry(call_path& path, peer_message message) {
    if (auto* data = std::get_if<msg::call_data_msg>(&message)) {
        on_data(path.entry, path.self, std::move(*data));
    } else if (auto* credit = std::get_if<msg::call_credit_msg>(&message)) {
        on_credit(path.entry, path.self, *credit);
    } else {
        on_message(path, incoming{path.self, std::move(message)});
    }
}

void connect_sides(call_path& path) {
    path.entry.runs_parent = [&path](instant deadline) {
        const std::lock_guard guard(path.gate.lock);
        return call::runs_parent(path.gate.gate, deadline);
    };
    path.entry.send_to_gate = [&path](const node_id& node, const peer_address& address,
                                      peer_message message) {
        if (node == path.self) {
            handle_at_gate(path, std::move(message));
            return;
        }
        path.callbacks.send({node, address, std::move(message)});
    };
    path.entry.send_to_keeper = [&path](const node_id& node, const peer_address& address,
                                        peer_message message) {
        if (node != path.self) {
            path.callbacks.send({node, address, std::move(message)});
        } else if (path.callbacks.ask_own_keeper) {
            path.callbacks.ask_own_keeper(std::move(std::get<msg::allowance_request_msg>(message)));
        }
    };
    path.gate.send_to_entry = [&path](const node_id& node, peer_message message) {
        if (node == path.self) {
            handle_at_entry(path, std::move(message));
            return;
        }
        path.callbacks.send({node, {}, std::move(message)});
    };
}

listener_events make_events(call_path& path) {
    listener_events events;
    events.on_request = [&path](const caller_exchange_ptr& exchange, request_head head,
                                body_piece first) {
        on_request(path.entry, exchange, std::move(head), std::move(first));
    };
    events.on_disconnect = [&path](const caller_exchange_ptr& exchange, disconnect_cause cause) {
        on_caller_gone(path.entry, exchange, cause);
    };
    events.on_fault = [&path](request_fault fault) {
        ++path.request_faults.at(static_cast<std::size_t>(fault));
    };
    events.may_overlap = [&path](const request_head& head) {
        return may_overlap(path.entry, head);
    };
    events.on_exception = [&path](const std::string& request_id, const std::string& reason) {
        if (path.callbacks.log) {
            path.callbacks.log(make_handler_failed("caller_connection", request_id, reason));
        }
    };
    events.request_id_header = path.names.request_id;
    return events;
}

/// The refusal that stands for a gate that could not be reached.
peer_message make_refusal(const msg::call_open_msg& open) {
    msg::call_refused_msg refused;
    refused.call = std::make_unique<msg::call_key>(*open.call);
    refused.outcome = msg::call_outcome::not_run;
    refused.reason = msg::refusal_reason::upstream_unreachable;
    refused.retry_helps = true;
    return refused;
}

void check_silence_if_due(call_path& path, std::chrono::steady_clock::time_point& checked_at) {
    const auto now = std::chrono::steady_clock::now();
    if (now - checked_at > silence_check) {
        checked_at = now;
        close_silent(*path.listener);
        close_unusable(*path.gate.client);
    }
}

/// Applies the caller limits of a new configuration.
void refresh_limits(call_path& path) {
    const auto config = path.callbacks.view()->config;
    if (!config || config == path.limits_config) {
        return;
    }
    path.limits_config = config;
    const auto widest = compute_max_caller_limits(*config);
    const listener_limits configured{.max_header_bytes = path.settings.max_header_bytes,
                                     .max_body_bytes = path.settings.max_body_bytes};
    set_limits(*path.listener,
               {.max_header_bytes = std::min(configured.max_header_bytes, widest.max_header_bytes),
                .max_body_bytes = std::min(configured.max_body_bytes, widest.max_body_bytes),
                .header_timeout = widest.header_timeout,
                .idle_timeout = widest.idle_timeout});
}

void tick(call_path& path, std::chrono::steady_clock::time_point checked_at) {
    const bool is_busy = count_in_flight(path) > 0;
    path.timer.expires_after(is_busy ? busy_tick : idle_tick);
    path.timer.async_wait([&path, checked_at](boost::system::error_code error) mutable {
        if (error || path.is_stopped) {
            return;
        }
        on_timer(path.entry);
        on_timer(path.gate, path.callbacks.view()->config);
        refresh_limits(path);
        check_silence_if_due(path, checked_at);
        tick(path, checked_at);
    });
}

void run_worker(call_path& path) {
    const bool has_ended = run_logged([&] { path.io.run(); },
                                      [&](const log_event& event) {
                                          if (path.callbacks.log) {
                                              path.callbacks.log(event);
                                          }
                                      });
    if (!has_ended) {
        std::abort();
    }
}

void start_workers(call_path& path, std::uint32_t count) {
    for (std::uint32_t i = 0; i < std::max(1U, count); ++i) {
        path.workers.emplace_back([&path] { run_worker(path); });
    }
}

} // namespace

call_path::call_path(const msg::settings_msg& all_settings, call_path_callbacks handlers,
                     header_names headers, boost::asio::io_context* shared)
    : self(all_settings.identity->node), settings(*all_settings.call), ip(all_settings.listen->ip),
      callbacks(std::move(handlers)), names(std::move(headers)),
      own_io(shared != nullptr ? nullptr
                               : std::make_unique<boost::asio::io_context>(static_cast<int>(
                                     std::max(1U, all_settings.process->workers)))),
      io(shared != nullptr ? *shared : *own_io),
      work(io.get_executor()), entry{.limits = entry_limits_from(settings),
                                     .data_centre =
                                         data_centre_id(all_settings.identity->data_centre),
                                     .names = names,
                                     .host_service = all_settings.identity->upstream_service,
                                     .callbacks = callbacks,
                                     .send_to_gate = {},
                                     .send_to_keeper = {},
                                     .histograms = histograms},
      gate{.self = self,
           .data_centre = data_centre_id(all_settings.identity->data_centre),
           .link_window = link_window_from(*all_settings.listen),
           .client = make_upstream_client(io),
           .send_to_entry = {},
           .log = callbacks.log,
           .on_upstream_leaving = callbacks.on_upstream_leaving,
           .suspects = [this] { return callbacks.view()->quarantine; },
           .on_upstream_crash = callbacks.on_upstream_crash,
           .on_suspect_ran_well = callbacks.on_suspect_ran_well,
           .histograms = histograms,
           .names = names},
      timer(io) {
    entry.random.seed(draw_seed());
    entry.allowances.self = self;
    entry.allowances.stated = allowance::read_rules(all_settings);
    gate.gate.settings = gate_settings_from(settings);
    gate.gate.instance = std::max<std::uint64_t>(1, draw_seed());
}

std::shared_ptr<call_path> start_call_path(const msg::settings_msg& settings,
                                           call_path_callbacks callbacks, const header_names& names,
                                           boost::asio::io_context* shared) {
    auto path = std::shared_ptr<call_path>(
        new call_path(settings, std::move(callbacks), names, shared), [](call_path* raw_path) {
            (void)stop(*raw_path);
            delete raw_path; // NOLINT(cppcoreguidelines-owning-memory)
        });
    connect_sides(*path);
    const auto address = parse_address(settings.listen->caller_address)
                             .value_or(peer_address{path->ip, settings.listen->caller_port});
    path->listener = start_listener(path->io, address.ip, address.port,
                                    {.max_header_bytes = path->settings.max_header_bytes,
                                     .max_body_bytes = path->settings.max_body_bytes},
                                    make_events(*path));
    tick(*path, std::chrono::steady_clock::now());
    if (shared == nullptr) {
        start_workers(*path, settings.process->workers);
    }
    return path;
}

void on_message(call_path& path, const incoming& envelope) {
    on_message(path, incoming(envelope));
}

void on_message(call_path& path, incoming&& envelope) {
    std::visit([&](auto& message) { handle(path, envelope, message); }, envelope.message);
}

void on_link_lost(call_path& path, const node_id& peer) {
    on_link_lost(path.entry, peer);
}

void on_undelivered(call_path& path, const outgoing& message) {
    const auto* open = std::get_if<msg::call_open_msg>(&message.message);
    if (open != nullptr && open->call && !open->reattach) {
        on_message(path, {message.to, make_refusal(*open)});
    } else if (std::holds_alternative<msg::call_data_msg>(message.message)) {
        on_link_lost(path, message.to);
    } else if (const auto* cancel = std::get_if<msg::call_cancel_msg>(&message.message)) {
        on_undelivered_cancel(path.entry, message.to, call::from_key(cancel->call.get()));
    }
}

void set_upstream(call_path& path, const msg::upstream_record_msg& upstream, std::uint16_t port,
                  const std::string& ip) {
    const std::vector<std::string> local_ips{path.ip, "127.0.0.1"};
    set_target(*path.gate.client, ip.empty() ? local_ips : std::vector<std::string>{ip}, port,
               upstream.slots + spare_connections);
    on_upstream(path.gate, upstream);
}

void set_upstream_state(call_path& path, const msg::upstream_record_msg& upstream) {
    on_upstream(path.gate, upstream);
}

void begin_drain(call_path& path, instant runs_end) {
    limit_runs(path.entry, runs_end);
    if (!path.entry.limits.lingers) {
        path.entry.is_draining = true;
    }
    begin_drain(*path.listener);
}

void close_gate(call_path& path) {
    on_drain(path.gate);
}

void set_limits(call_path& path, const msg::settings_msg& settings) {
    const std::lock_guard guard(path.entry.lock);
    path.entry.limits = entry_limits_from(*settings.call);
    path.entry.host_service = settings.identity->upstream_service;
}

void stop_accepting(call_path& path) {
    stop_accepting(*path.listener);
}

std::size_t count_in_flight(const call_path& path) {
    return count_in_flight(path.entry) + count_remote(path.gate, path.self);
}

std::size_t answer_pending_calls(call_path& path) {
    return answer_pending_calls(path.entry);
}

std::size_t stop(call_path& path) {
    if (path.is_stopped.exchange(true)) {
        return 0;
    }
    const auto cut_count = count_in_flight(path);
    if (path.listener) {
        stop_accepting(*path.listener);
    }
    (void)cut_off(path.entry);
    (void)cut_off(path.gate);
    if (path.listener) {
        close_listener(*path.listener);
    }
    close_client(*path.gate.client);
    path.work.reset();
    path.timer.cancel();
    if (path.own_io) {
        path.io.stop();
    }
    for (auto& worker : path.workers) {
        worker.join();
    }
    return cut_count;
}

} // namespace cyclamenhatch::edge

#include "store/store_client.h"

#include "store/etcd_json.h"

#include <algorithm>
#include <atomic>
#include <cpprest/http_client.h>
#include <map>
#include <mutex>
#include <shared_mutex>
#include <string>
#include <system_error>
#include <utility>

namespace cyclamenhatch::store {
namespace {

namespace http = web::http;

constexpr std::uint32_t max_in_flight = 64;
/// A watch without data for this long is closed; the reader opens it again.
constexpr seconds watch_quiet_limit{600};
constexpr milliseconds shortest_timeout{50};

http::client::http_client_config make_config(milliseconds timeout) {
    http::client::http_client_config config;
    config.set_timeout(timeout);
    return config;
}

/// Whether the connection failed before any byte of the request was sent. Only then is it proven
/// that the request was not carried out.
bool is_connect_failure(const http::http_exception& error) {
    const auto& code = error.error_code();
    const bool is_unreachable =
        code == std::errc::host_unreachable || code == std::errc::connection_refused;
    return is_unreachable && std::string(error.what()).rfind("Failed to connect", 0) == 0;
}

kv_failure describe_status(const http::http_response& answer) {
    const auto status = answer.status_code();
    const bool is_refusal = status >= 400 && status < 500;
    return {is_refusal ? kv_failure_kind::not_run : kv_failure_kind::unknown,
            "HTTP status " + std::to_string(status)};
}

http::http_request make_post(const etcd_call& call) {
    http::http_request post(http::methods::POST);
    post.set_request_uri(call.path);
    post.set_body(call.body, "application/json");
    return post;
}

} // namespace

struct store_client : std::enable_shared_from_this<store_client> {
    store_client(const msg::store_settings_msg& settings, std::function<void(kv_response)> callback)
        : url(settings.url),
          read_calls(url,
                     make_config(std::max(milliseconds{settings.timeout_ms}, shortest_timeout))),
          streams(url, make_config(watch_quiet_limit)), respond(std::move(callback)) {}

    std::string url;

    http::client::http_client read_calls;
    http::client::http_client streams;
    std::function<void(kv_response)> respond;

    /// Held shared while responding and exclusively by stop. Taken before `watches_lock`.
    std::shared_mutex respond_lock;
    bool is_stopped = false;

    std::mutex watches_lock;
    std::map<std::uint64_t, pplx::cancellation_token_source> watches;
    pplx::cancellation_token_source all_calls;

    std::atomic<std::uint32_t> in_flight{0};
    std::atomic<std::uint64_t> reads{0};
    std::atomic<std::uint64_t> writes{0};
    std::atomic<std::uint64_t> watches_opened{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
};

namespace {

/// A watch's stream and the part of a line that has been read.
struct watch_stream {
    std::uint64_t id = 0;
    concurrency::streams::istream body;
    concurrency::streams::container_buffer<std::string> line;
};

void count_failure(store_client& client, const kv_outcome& outcome) {
    const auto* failure = std::get_if<kv_failure>(&outcome);
    if (failure == nullptr) {
        return;
    }
    if (failure->kind == kv_failure_kind::not_run) {
        ++client.not_run;
    } else {
        ++client.unknown;
    }
}

void deliver(store_client& client, std::uint64_t id, kv_outcome outcome) {
    count_failure(client, outcome);
    const std::shared_lock lock(client.respond_lock);
    if (!client.is_stopped) {
        client.respond({id, std::move(outcome)});
    }
}

/// Removes the watch and reports its end, unless it was cancelled.
void end_watch(store_client& client, std::uint64_t id, const kv_failure& failure) {
    {
        const std::lock_guard lock(client.watches_lock);
        if (client.watches.erase(id) == 0) {
            return;
        }
    }
    deliver(client, id, failure);
}

bool is_open(store_client& client, std::uint64_t id) {
    const std::lock_guard lock(client.watches_lock);
    return client.watches.count(id) > 0;
}

/// Delivers one line. False when the watch has ended.
bool deliver_line(store_client& client, std::uint64_t id, const std::string& line) {
    auto outcome = decode_watch_line(line);
    if (const auto* failure = std::get_if<kv_failure>(&outcome)) {
        end_watch(client, id, *failure);
        return false;
    }
    if (!is_open(client, id)) {
        return false;
    }
    deliver(client, id, std::move(outcome));
    return true;
}

void read_lines(const std::shared_ptr<store_client>& client,
                const std::shared_ptr<watch_stream>& stream) {
    stream->body.read_to_delim(stream->line, '\n')
        .then([=](const pplx::task<std::size_t>& read_task) {
            try {
                read_task.get();
            } catch (const std::exception& error) {
                end_watch(*client, stream->id, {kv_failure_kind::watch_closed, error.what()});
                return;
            }
            const std::string line = std::move(stream->line.collection());
            if (line.empty()) {
                end_watch(*client, stream->id, {kv_failure_kind::watch_closed, "end of stream"});
                return;
            }
            stream->line = concurrency::streams::container_buffer<std::string>();
            if (deliver_line(*client, stream->id, line)) {
                read_lines(client, stream);
            }
        });
}

void open_watch(const std::shared_ptr<store_client>& client, std::uint64_t id,
                const etcd_call& call) {
    pplx::cancellation_token_source cancel;
    {
        const std::lock_guard lock(client->watches_lock);
        client->watches[id] = cancel;
    }
    client->streams.request(make_post(call), cancel.get_token())
        .then([client, id](const pplx::task<http::http_response>& answer_task) {
            try {
                const auto answer = answer_task.get();
                if (answer.status_code() != http::status_codes::OK) {
                    end_watch(*client, id, describe_status(answer));
                    return;
                }
                auto stream = std::make_shared<watch_stream>();
                stream->id = id;
                stream->body = answer.body();
                read_lines(client, stream);
            } catch (const http::http_exception& error) {
                const bool is_proven = is_connect_failure(error);
                end_watch(*client, id,
                          {is_proven ? kv_failure_kind::not_run : kv_failure_kind::unknown,
                           error.what()});
            } catch (const std::exception& error) {
                end_watch(*client, id, {kv_failure_kind::unknown, error.what()});
            }
        });
}

void cancel_watch(store_client& client, std::uint64_t id) {
    pplx::cancellation_token_source cancel;
    {
        const std::lock_guard lock(client.watches_lock);
        const auto it = client.watches.find(id);
        if (it == client.watches.end()) {
            return;
        }
        cancel = it->second;
        client.watches.erase(it);
    }
    cancel.cancel();
}

kv_outcome read_outcome(const kv_operation& operation, const pplx::task<std::string>& read_task) {
    try {
        return decode_answer(operation, read_task.get());
    } catch (const std::exception& error) {
        return kv_failure{kv_failure_kind::unknown, error.what()};
    }
}

void finish(store_client& client, std::uint64_t id, kv_outcome outcome) {
    --client.in_flight;
    deliver(client, id, std::move(outcome));
}

void on_answer(const std::shared_ptr<store_client>& client, const kv_request& request,
               const pplx::task<http::http_response>& answer_task) {
    kv_outcome outcome;
    try {
        auto answer = answer_task.get();
        if (answer.status_code() == http::status_codes::OK) {
            answer.extract_utf8string(true).then([=](const pplx::task<std::string>& read_task) {
                finish(*client, request.id, read_outcome(request.operation, read_task));
            });
            return;
        }
        outcome = describe_status(answer);
    } catch (const http::http_exception& error) {
        outcome = kv_failure{is_connect_failure(error) ? kv_failure_kind::not_run
                                                       : kv_failure_kind::unknown,
                             error.what()};
    } catch (const std::exception& error) {
        outcome = kv_failure{kv_failure_kind::unknown, error.what()};
    }
    finish(*client, request.id, std::move(outcome));
}

http::client::http_client make_single_client(const store_client& client) {
    return {client.url, client.read_calls.client_config()};
}

void send_call(const std::shared_ptr<store_client>& client, const kv_request& request) {
    if (client->in_flight.fetch_add(1) >= max_in_flight) {
        // Responds from another thread, since the caller may hold a lock that `respond` takes.
        pplx::create_task([client, id = request.id] {
            finish(*client, id,
                   kv_failure{kv_failure_kind::not_run, "too many requests under way"});
        });
        return;
    }
    const bool is_read = std::holds_alternative<kv_range>(request.operation);
    ++(is_read ? client->reads : client->writes);
    // The library resends a request by itself when a reused connection turns out to be closed,
    // even if the service has read the request. So each write gets a connection of its own.
    auto sender = is_read ? client->read_calls : make_single_client(*client);
    sender.request(make_post(encode_call(request.operation)), client->all_calls.get_token())
        .then([client, sender, request](const pplx::task<http::http_response>& answer_task) {
            on_answer(client, request, answer_task);
        });
}

} // namespace

std::shared_ptr<store_client> start_store_client(const msg::store_settings_msg& settings,
                                                 std::function<void(kv_response)> respond) {
    return std::make_shared<store_client>(settings, std::move(respond));
}

void execute(store_client& client, const kv_request& request) {
    const auto shared = client.shared_from_this();
    if (const auto* cancel = std::get_if<kv_watch_cancel>(&request.operation)) {
        cancel_watch(client, cancel->watch);
    } else if (std::holds_alternative<kv_watch>(request.operation)) {
        ++client.watches_opened;
        open_watch(shared, request.id, encode_call(request.operation));
    } else {
        send_call(shared, request);
    }
}

void stop(store_client& client) {
    {
        const std::unique_lock lock(client.respond_lock);
        client.is_stopped = true;
    }
    std::map<std::uint64_t, pplx::cancellation_token_source> watches;
    {
        const std::lock_guard lock(client.watches_lock);
        watches.swap(client.watches);
    }
    for (auto& [id, cancel] : watches) {
        cancel.cancel();
    }
    client.all_calls.cancel();
}

store_counters counters(const store_client& client) {
    return {.reads = client.reads,
            .writes = client.writes,
            .watches = client.watches_opened,
            .not_run = client.not_run,
            .unknown = client.unknown,
            .in_flight = client.in_flight};
}

} // namespace cyclamenhatch::store

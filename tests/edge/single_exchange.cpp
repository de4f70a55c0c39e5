#include "single_exchange.h"

#include <chrono>
#include <utility>

namespace cyclamenhatch::edge::testing {
namespace {

constexpr std::chrono::milliseconds any_idle{60'000};

} // namespace

std::shared_ptr<upstream_client> make_client(boost::asio::io_context& io, std::uint16_t port) {
    auto client = make_upstream_client(io);
    set_target(*client, {"127.0.0.1"}, port, client_slots);
    return client;
}

single_exchange::single_exchange(boost::asio::io_context& io,
                                 const std::shared_ptr<upstream_client>& client,
                                 const std::string& path, answer_match match)
    : context(io), exchange(prepare_exchange(client, any_idle)) {
    start({.method = "GET", .target = path, .headers = {{"x-id", "mine"}}}, {{}, true},
          std::move(match));
}

single_exchange::single_exchange(boost::asio::io_context& io,
                                 const std::shared_ptr<upstream_client>& client,
                                 const std::string& path, body_piece first,
                                 const std::string& method)
    : context(io), exchange(prepare_exchange(client, any_idle)) {
    start({.method = method, .target = path, .headers = {{"x-id", "mine"}}}, std::move(first),
          {"x-id", "mine"});
}

void single_exchange::start(request_head request, body_piece first, answer_match match) {
    upstream_events events;
    events.on_answer = [this](const answer_head& head, const body_piece& piece) {
        end.status = head.status;
        take(piece);
    };
    events.on_failure = [this](bool is_not_run) {
        end.is_failed = true;
        end.is_not_run = is_not_run;
    };
    events.on_taken = [] {};
    send_request(exchange, std::move(request), std::move(first), std::move(match),
                 std::move(events));
}

void single_exchange::write_last(body_bytes bytes) {
    write_body(exchange, {std::move(bytes), true}, [] {});
}

const exchange_result& single_exchange::wait() {
    while (!end.is_whole && !end.is_failed) {
        // The loop may have run out of work before.
        context.restart();
        context.run_one();
    }
    return end;
}

void single_exchange::take(const body_piece& piece) {
    end.body.append(piece.bytes.begin(), piece.bytes.end());
    end.is_whole = piece.is_last;
    if (!piece.is_last) {
        read_body(exchange, [this](const body_piece& next) { take(next); });
    }
}

} // namespace cyclamenhatch::edge::testing

#include "edge/upstream_client.h"
#include "fake_upstream.h"
#include "model/handler_guard.h"
#include "single_exchange.h"

#include <boost/asio/io_context.hpp>
#include <gtest/gtest.h>

#include <new>
#include <stdexcept>
#include <string>
#include <vector>

/// Exceptions while an exchange with an upstream is handled.
namespace cyclamenhatch::edge::testing {
namespace {

constexpr std::chrono::milliseconds any_idle{60'000};
constexpr std::size_t several_pieces = 3 * piece_bytes;

/// The handler of an exchange that throws.
enum class faulty_handler { head, whole_answer, further_piece, last_piece, taken, written };

struct faulty_row {
    const char* name;
    faulty_handler handler;
};

std::string test_name(const ::testing::TestParamInfo<faulty_row>& row) {
    return row.param.name;
}

/// An exchange one of whose handlers throws std::length_error.
struct faulty_exchange {
    faulty_exchange(const std::shared_ptr<upstream_client>& client, faulty_handler which)
        : handler(which), exchange(prepare_exchange(client, any_idle)) {
        upstream_events events;
        events.on_answer = [this](const answer_head&, const body_piece& piece) {
            take(piece, handler == faulty_handler::head || handler == faulty_handler::whole_answer);
        };
        events.on_failure = [this](bool is_not_run) {
            ++failures;
            is_proven_not_run = is_not_run;
        };
        events.on_taken = [this] {
            throw_if(handler == faulty_handler::taken);
            write_body(exchange, {body_bytes(1, 'y'), true},
                       [this] { throw_if(handler == faulty_handler::written); });
        };
        events.on_exception = [this](const std::string& reason) { reasons.push_back(reason); };
        const bool has_one_piece = handler == faulty_handler::whole_answer;
        const bool sends_pieces =
            handler == faulty_handler::taken || handler == faulty_handler::written;
        request_head head{.method = sends_pieces ? "POST" : "GET",
                          .target = "/bytes/" + std::to_string(has_one_piece ? 1 : several_pieces),
                          .headers = {}};
        if (sends_pieces) {
            head.headers.push_back({"Content-Length", "2"});
        }
        send_request(exchange, std::move(head),
                     {body_bytes(sends_pieces ? 1 : 0, 'x'), !sends_pieces}, answer_match{},
                     std::move(events));
    }

    static void throw_if(bool is_faulty) {
        if (is_faulty) {
            throw std::length_error("vector::_M_default_append");
        }
    }

    void take(const body_piece& piece, bool is_faulty) {
        throw_if(is_faulty);
        if (piece.is_last) {
            return;
        }
        read_body(exchange, [this](const body_piece& next) {
            take(next, handler == faulty_handler::further_piece ||
                           (handler == faulty_handler::last_piece && next.is_last));
        });
    }

    const faulty_handler handler;
    int failures = 0;
    bool is_proven_not_run = false;
    std::vector<std::string> reasons;
    upstream_exchange_ptr exchange;
};

class fault_of_an_exchange : public ::testing::TestWithParam<faulty_row> {};

/// Guards against one call whose handling fails and that ends all calls of its node, and against
/// its caller hearing nothing, or that it was not run.
TEST_P(fault_of_an_exchange, ends_that_exchange_as_unknown_and_no_other) {
    fake_upstream upstream;
    boost::asio::io_context io;
    const auto client = make_client(io, upstream.port());
    single_exchange other(io, client, "/hold", answer_match{});
    faulty_exchange faulty(client, GetParam().handler);
    while (faulty.failures == 0) {
        io.restart();
        io.run_one();
    }
    EXPECT_FALSE(faulty.is_proven_not_run) << "the upstream had the request";
    EXPECT_EQ(faulty.reasons, std::vector<std::string>{"vector::_M_default_append"});
    upstream.release();
    EXPECT_TRUE(other.wait().is_whole);
    EXPECT_TRUE(single_exchange(io, client, "/ok", answer_match{}).wait().is_whole);
    io.restart();
    io.run();
    EXPECT_EQ(faulty.failures, 1) << "its end was reported again";
}

INSTANTIATE_TEST_SUITE_P(handlers, fault_of_an_exchange,
                         ::testing::Values(faulty_row{"head", faulty_handler::head},
                                           faulty_row{"whole_answer", faulty_handler::whole_answer},
                                           faulty_row{"further_piece",
                                                      faulty_handler::further_piece},
                                           faulty_row{"last_piece", faulty_handler::last_piece},
                                           faulty_row{"taken", faulty_handler::taken},
                                           faulty_row{"written", faulty_handler::written}),
                         test_name);

/// Guards against calls that go on with a table that an exception has left half changed.
TEST(fault_in_shared_state, ends_the_loop) {
    fake_upstream upstream;
    boost::asio::io_context io;
    const auto client = make_client(io, upstream.port());
    std::mutex table_lock;
    upstream_events events;
    events.on_answer = [&](const answer_head&, const body_piece&) {
        const state_lock guard(table_lock);
        throw std::bad_alloc();
    };
    events.on_failure = [](bool) { FAIL() << "the exchange alone was ended"; };
    const auto exchange = prepare_exchange(client, any_idle);
    send_request(exchange, {.method = "GET", .target = "/ok", .headers = {}}, {{}, true},
                 answer_match{}, std::move(events));
    EXPECT_THROW(io.run(), std::bad_alloc);
}

} // namespace
} // namespace cyclamenhatch::edge::testing

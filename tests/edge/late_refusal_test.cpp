#include "joined_paths.h"
#include "scripted_upstream.h"
#include "single_exchange.h"

#include <gtest/gtest.h>

#include <ostream>
#include <string>

/// Refusals that an upstream writes once more on a kept connection.
namespace cyclamenhatch::edge::testing {
namespace {

const std::string no_id;

std::string refusal(int status, const std::string& id) {
    return "HTTP/1.1 " + std::to_string(status) + " No\r\n" +
           (id.empty() ? "" : "x-id: " + id + "\r\n") +
           "x-unrun: 1\r\nContent-Length: 4\r\n\r\nfull";
}

std::string success(const std::string& id) {
    return "HTTP/1.1 200 OK\r\nx-id: " + id + "\r\nContent-Length: 4\r\n\r\ndone";
}

header_names names_of_refusals() {
    header_names names;
    names.request_id = "x-id";
    names.expected_instance = "x-instance";
    names.not_run = "x-unrun";
    return names;
}

struct refusal_row {
    const char* name;
    int status;

    friend std::ostream& operator<<(std::ostream& out, const refusal_row& row) {
        return out << row.name;
    }
};

class late_refusal : public ::testing::TestWithParam<refusal_row> {
protected:
    static std::string repeated(const std::string& id) { return refusal(GetParam().status, id); }

    /// A run that refused a call as misdirected gets no more; the next run does.
    static void announce(joined_paths& paths, const running_upstream& running,
                         const std::string& instance) {
        if (GetParam().status == 421) {
            paths.announce(msg::upstream_state::ready, running.upstream.port(), instance);
        }
    }

    /// The answer to the second of two calls: one with the id "first", which is
    /// refused, and one that must not run twice, before whose answer the upstream
    /// writes `copy`.
    static std::string ask_twice(const std::string& copy, const std::string& second_id) {
        running_upstream running([&](const request_place& place) -> upstream_script {
            return {place.id == "first" ? repeated("first") : copy + success(place.id)};
        });
        joined_paths paths(running.upstream.port(), names_of_refusals());
        announce(paths, running, "i-1");
        EXPECT_EQ(paths.get("/once/a", "x-id: first\r\n").substr(0, 11), "503 not-run");
        announce(paths, running, "i-2");
        auto answer = paths.get("/once/b", second_id.empty() ? "" : "x-id: " + second_id + "\r\n");
        EXPECT_EQ(running.upstream.requests(second_id), 1) << "it must not run twice";
        return answer;
    }
};

/// Guards against a caller that is told "not run" for a call that runs, since
/// the upstream refused an earlier one (REFUSED, TWICE).
TEST_P(late_refusal, of_an_earlier_call_is_skipped) {
    EXPECT_EQ(ask_twice(repeated("first"), "second"), "200 done");
    EXPECT_EQ(ask_twice(repeated("first") + repeated("first"), "second"), "200 done");
}

/// Guards against a refusal that names no call and counts as a proof (REFUSED,
/// TWICE).
TEST_P(late_refusal, that_names_no_call_proves_nothing) {
    EXPECT_EQ(ask_twice(repeated(no_id), "second").substr(0, 11), "504 unknown");
}

/// Guards against a refusal that names two calls and counts as a proof
/// (REFUSED, TWICE).
TEST_P(late_refusal, that_names_two_calls_proves_nothing) {
    EXPECT_EQ(ask_twice(repeated("second\r\nx-id: first"), "second").substr(0, 11), "504 unknown");
    EXPECT_EQ(ask_twice(repeated("first\r\nx-id: second"), "second").substr(0, 11), "504 unknown");
}

/// Guards against a refusal of a call's first attempt that counts as one of its
/// second, which runs: both have the same id (REFUSED, TWICE).
TEST_P(late_refusal, of_an_earlier_attempt_is_not_taken_for_one_of_a_later) {
    boost::asio::io_context io;
    scripted_upstream upstream(io, [&](const request_place& place) -> upstream_script {
        if (place.connection == 1 && place.request == 1) {
            return {repeated(place.id)};
        }
        return {(place.request == 1 ? "" : repeated("mine")) + success(place.id)};
    });
    const auto client = make_client(io, upstream.port());
    EXPECT_EQ(single_exchange(io, client, "/a").wait().status,
              static_cast<unsigned>(GetParam().status));
    const auto second = single_exchange(io, client, "/a").wait();
    EXPECT_EQ(second.status, 200U);
    EXPECT_EQ(second.body, "done");
    EXPECT_EQ(upstream.connections(), 2) << "only another connection is free of late answers";
}

/// Guards against a proof in a late answer that a call without an id takes for its own (REFUSED).
TEST_P(late_refusal, of_an_earlier_call_does_not_reach_a_call_without_an_id) {
    for (const auto& copied_id : {std::string("first"), no_id}) {
        running_upstream running([&](const request_place& place) -> upstream_script {
            if (place.id == "first") {
                return {repeated("first")};
            }
            const auto* answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";
            return {(place.connection == 1 ? repeated(copied_id) : "") + answer};
        });
        joined_paths paths(running.upstream.port(), names_of_refusals());
        announce(paths, running, "i-1");
        EXPECT_EQ(paths.get("/once/a", "x-id: first\r\n").substr(0, 11), "503 not-run");
        announce(paths, running, "i-2");
        EXPECT_EQ(paths.get("/once/b"), "200 done");
        EXPECT_EQ(paths.get("/once/b"), "200 done");
    }
}

/// Guards against a kept connection that is used although a late refusal is on it already.
TEST_P(late_refusal, on_an_idle_connection_ends_it) {
    boost::asio::io_context io;
    scripted_upstream upstream(io, [&](const request_place& place) -> upstream_script {
        return {success(place.id) + (place.connection == 1 ? repeated(place.id) : "")};
    });
    const auto client = make_client(io, upstream.port());
    for (int call = 1; call <= 2; ++call) {
        const auto result = single_exchange(io, client, "/a", answer_match{}).wait();
        EXPECT_EQ(result.status, 200U);
        EXPECT_EQ(result.body, "done");
        while (call == 1 && count_idle(*client) > 0) {
            io.poll();
            close_unusable(*client);
        }
    }
    EXPECT_EQ(upstream.connections(), 2);
}

INSTANTIATE_TEST_SUITE_P(statuses, late_refusal,
                         ::testing::Values(refusal_row{"full", 503}, refusal_row{"too_many", 429},
                                           refusal_row{"misdirected", 421},
                                           refusal_row{"bad_request", 400}),
                         [](const auto& row) { return std::string(row.param.name); });

} // namespace
} // namespace cyclamenhatch::edge::testing

#include "model/handler_guard.h"

#include <gtest/gtest.h>

#include <new>
#include <stdexcept>
#include <string>
#include <vector>

namespace cyclamenhatch {
namespace {

/// Guards against a fault of one exchange that ends the process.
TEST(handler_guard, ends_only_what_the_handler_belongs_to) {
    std::string reason;
    guard_handler([] { throw std::length_error("too long"); },
                  [&](const std::string& text) { reason = text; });
    EXPECT_EQ(reason, "too long");
    guard_handler([] { throw std::bad_alloc(); }, [&](const std::string& text) { reason = text; });
    EXPECT_EQ(reason, std::bad_alloc().what());
    guard_handler([] { throw 1; }, [&](const std::string& text) { reason = text; });
    EXPECT_EQ(reason, "exception of an unknown type");
}

/// Guards against calls that go on with a table whose change is half made.
TEST(handler_guard, passes_on_what_has_left_shared_state) {
    std::mutex mutex;
    bool is_contained = false;
    const auto run = [&](bool is_unlocked_before) {
        guard_handler(
            [&] {
                state_lock guard(mutex);
                if (is_unlocked_before) {
                    guard.unlock();
                }
                throw std::out_of_range("no such call");
            },
            [&](const std::string&) { is_contained = true; });
    };
    EXPECT_THROW(run(false), std::out_of_range);
    EXPECT_THROW(run(true), std::out_of_range);
    EXPECT_FALSE(is_contained);
    EXPECT_TRUE(mutex.try_lock()) << "the exception left the lock held";
    mutex.unlock();
}

/// Guards against a fault in a handler that runs within a shared scope and was contained there, but
/// ends the process nevertheless.
TEST(handler_guard, contains_a_fault_of_a_handler_that_runs_within_a_shared_scope) {
    int contained = 0;
    guard_handler(
        [&] {
            const shared_state_scope scope;
            guard_handler([] { throw std::runtime_error("inner"); },
                          [&](const std::string&) { ++contained; });
        },
        [&](const std::string&) { FAIL() << "the outer handler had no fault"; });
    EXPECT_EQ(contained, 1);
}

/// Guards against a fault that is passed on by the innermost guard and contained by another.
TEST(handler_guard, passes_a_fault_of_shared_state_through_all_guards) {
    const auto run = [] {
        guard_handler(
            [] {
                guard_handler(
                    [] {
                        const shared_state_scope scope;
                        throw std::runtime_error("inner");
                    },
                    [](const std::string&) {});
            },
            [](const std::string&) {});
    };
    EXPECT_THROW(run(), std::runtime_error);
    bool is_contained = false;
    guard_handler([] { throw std::runtime_error("later"); },
                  [&](const std::string&) { is_contained = true; });
    EXPECT_TRUE(is_contained) << "an earlier fault decides about a later one";
}

/// Guards against a loop that ends by an exception as if it had been stopped, or without a line.
TEST(handler_guard, logs_an_exception_that_ends_a_loop) {
    std::vector<std::string> lines;
    const auto log = [&](const log_event& event) { lines.push_back(to_line(event)); };
    EXPECT_TRUE(run_logged([] {}, log));
    EXPECT_FALSE(run_logged([] { throw std::runtime_error("no timer"); }, log));
    EXPECT_EQ(lines, std::vector<std::string>{"event=node_failed place=loop reason=\"no timer\""});
}

/// Guards against a process that ends without a line that says where.
TEST(handler_guard, names_the_place_of_a_fault_in_shared_state) {
    try {
        guard_handler(
            [] {
                const shared_state_scope scope("src/edge/gate_side.cpp", 12);
                throw std::length_error("vector::_M_default_append");
            },
            [](const std::string&) {});
        FAIL() << "the fault was contained";
    } catch (...) {
        EXPECT_EQ(to_line(make_node_failed()), "event=node_failed place=gate_side.cpp:12 "
                                               "reason=vector::_M_default_append");
    }
}

} // namespace
} // namespace cyclamenhatch

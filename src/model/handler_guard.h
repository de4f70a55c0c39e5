#pragma once

#include "model/log_event.h"

#include <mutex>
#include <string>
#include <string_view>

/// Decides what an exception in a handler ends: one exchange or connection, or the process.
namespace cyclamenhatch {

/// Marks a scope that changes state which other calls rely on. Handler guards pass an exception on
/// that leaves such a scope, since the change may be half made.
class shared_state_scope {
public:
    explicit shared_state_scope(const char* file = __builtin_FILE(),
                                int line = __builtin_LINE()) noexcept;
    shared_state_scope(const shared_state_scope&) = delete;
    shared_state_scope& operator=(const shared_state_scope&) = delete;
    ~shared_state_scope();

private:
    const char* file_;
    int line_;
    int exceptions_before_;
};

/// Lock of such state, and a shared_state_scope also after unlock: what follows carries out what
/// was decided under the lock.
class state_lock : public std::unique_lock<std::mutex> {
public:
    explicit state_lock(std::mutex& mutex, const char* file = __builtin_FILE(),
                        int line = __builtin_LINE())
        : std::unique_lock<std::mutex>(mutex), scope_(file, line) {}

private:
    shared_state_scope scope_;
};

namespace detail {

/// Handler guards of this thread nest when a handler calls another one directly.
class guard_depth {
public:
    guard_depth() noexcept;
    guard_depth(const guard_depth&) = delete;
    guard_depth& operator=(const guard_depth&) = delete;
    ~guard_depth();
};

/// Whether the exception being handled has left a shared_state_scope.
[[nodiscard]] bool has_left_shared_state() noexcept;

} // namespace detail

/// Text of the exception being handled. Precondition: called while one is handled.
[[nodiscard]] std::string describe_exception();

/// Log event for a handler's exception that ends one exchange or connection.
[[nodiscard]] log_event make_handler_failed(std::string_view place, std::string request,
                                            std::string reason);

/// Log event for an exception that ends the process. Precondition: called while it is handled.
[[nodiscard]] log_event make_node_failed();

/// Runs a handler's body. On an exception that has left no shared_state_scope, `on_fault(reason)`
/// must end what the handler belongs to and log it; it must not call back into code that may be
/// running below this handler. Other exceptions are passed on.
template <class Body, class On_fault> void guard_handler(Body&& body, On_fault&& on_fault) {
    const detail::guard_depth depth;
    try {
        body();
    } catch (...) {
        if (detail::has_left_shared_state()) {
            throw;
        }
        on_fault(describe_exception());
    }
}

/// Runs the body of a thread that handles events. Returns false after an exception, which is passed
/// to `log` as node_failed: the process must then end.
template <class Body, class Log> [[nodiscard]] bool run_logged(Body&& body, Log&& log) {
    try {
        body();
        return true;
    } catch (...) {
        log(make_node_failed());
        return false;
    }
}

} // namespace cyclamenhatch

#include "model/handler_guard.h"

#include <exception>
#include <utility>

namespace cyclamenhatch {
namespace {

/// The innermost shared_state_scope that an exception has left; `file` is null when none was left.
struct left_scope {
    const char* file = nullptr;
    int line = 0;
};

struct thread_state {
    int depth = 0;
    left_scope left;
};

thread_state& current_thread() noexcept {
    thread_local thread_state state;
    return state;
}

std::string_view base_name(std::string_view path) {
    return path.substr(path.rfind('/') + 1);
}

std::string left_place() {
    const auto& left = current_thread().left;
    return left.file == nullptr
               ? "loop"
               : std::string(base_name(left.file)) + ":" + std::to_string(left.line);
}

} // namespace

shared_state_scope::shared_state_scope(const char* file, int line) noexcept
    : file_(file), line_(line), exceptions_before_(std::uncaught_exceptions()) {}

shared_state_scope::~shared_state_scope() {
    auto& left = current_thread().left;
    if (left.file == nullptr && std::uncaught_exceptions() > exceptions_before_) {
        left = {file_, line_};
    }
}

namespace detail {

guard_depth::guard_depth() noexcept {
    auto& thread = current_thread();
    if (thread.depth++ == 0) {
        thread.left = {};
    }
}

guard_depth::~guard_depth() {
    --current_thread().depth;
}

bool has_left_shared_state() noexcept {
    return current_thread().left.file != nullptr;
}

} // namespace detail

std::string describe_exception() {
    try {
        throw;
    } catch (const std::exception& error) {
        return error.what();
    } catch (...) {
        return "exception of an unknown type";
    }
}

log_event make_handler_failed(std::string_view place, std::string request, std::string reason) {
    return {log_level::error,
            "handler_failed",
            {{"place", std::string(place)},
             {"request", std::move(request)},
             {"reason", std::move(reason)}}};
}

log_event make_node_failed() {
    return {log_level::error,
            "node_failed",
            {{"place", left_place()}, {"reason", describe_exception()}}};
}

} // namespace cyclamenhatch

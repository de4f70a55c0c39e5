#include "clock/process_clock.h"

#include <ctime>

namespace cyclamenhatch {

instant current_time() {
    using std::chrono::floor;
    static const auto steady_start = std::chrono::steady_clock::now();
    static const auto start = floor<microseconds>(std::chrono::system_clock::now());
    return start + floor<microseconds>(std::chrono::steady_clock::now() - steady_start);
}

microseconds time_since_boot() {
    constexpr std::int64_t ns_per_us = 1'000;
    timespec time{};
    (void)::clock_gettime(CLOCK_BOOTTIME, &time);
    return seconds(time.tv_sec) + microseconds(time.tv_nsec / ns_per_us);
}

} // namespace cyclamenhatch

#include "clock/process_clock.h"

namespace cyclamenhatch {

instant current_time() {
    using std::chrono::floor;
    static const auto steady_start = std::chrono::steady_clock::now();
    static const auto start = floor<microseconds>(std::chrono::system_clock::now());
    return start + floor<microseconds>(std::chrono::steady_clock::now() - steady_start);
}

} // namespace cyclamenhatch

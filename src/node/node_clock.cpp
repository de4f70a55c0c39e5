#include "node/node_clock.h"

namespace cyclamenhatch::node {

instant now() {
    static const auto wall_start = std::chrono::system_clock::now();
    static const auto steady_start = std::chrono::steady_clock::now();
    const auto since_start = std::chrono::steady_clock::now() - steady_start;
    return std::chrono::time_point_cast<microseconds>(
        wall_start + std::chrono::duration_cast<std::chrono::system_clock::duration>(since_start));
}

} // namespace cyclamenhatch::node

#pragma once

#include "model/time.h"

#include <string>
#include <utility>
#include <vector>

namespace cyclamenhatch {

enum class log_level { info, warning, error };

/// One key=value pair of a log line.
struct log_field {
    std::string key;
    std::string value;
};

/// One line of the log. Code that decides returns events; only the node writes them.
struct log_event {
    log_level level = log_level::info;
    std::string name;
    std::vector<log_field> fields;
};

/// "event=NAME key=value ..."; values with spaces, quotes or '=' are quoted.
[[nodiscard]] std::string to_line(const log_event& event);

/// Whole milliseconds of a time, as the value of a key that ends in _ms.
[[nodiscard]] std::string ms_text(microseconds span);

} // namespace cyclamenhatch

#include "model/time.h"

#include <charconv>
#include <cmath>
#include <cstdio>
#include <ctime>

namespace cyclamenhatch {
namespace {

constexpr int microsecond_digits = 6;
constexpr int minutes_per_hour = 60;

/// Consumes exactly `count` digits from the front of the text.
std::optional<int> take_number(std::string_view& text, std::size_t count) {
    if (text.size() < count) {
        return std::nullopt;
    }
    int number = 0;
    for (std::size_t i = 0; i < count; ++i) {
        const char digit = text[i];
        if (digit < '0' || digit > '9') {
            return std::nullopt;
        }
        number = number * 10 + (digit - '0');
    }
    text.remove_prefix(count);
    return number;
}

bool take_char(std::string_view& text, std::string_view allowed) {
    if (text.empty() || allowed.find(text.front()) == std::string_view::npos) {
        return false;
    }
    text.remove_prefix(1);
    return true;
}

/// Reads an optional fraction of a second; digits beyond microseconds are dropped.
std::optional<microseconds> take_fraction(std::string_view& text) {
    if (!take_char(text, ".")) {
        return microseconds{0};
    }
    int digits = 0;
    std::int64_t micros = 0;
    while (!text.empty() && text.front() >= '0' && text.front() <= '9') {
        if (digits < microsecond_digits) {
            micros = micros * 10 + (text.front() - '0');
        }
        ++digits;
        text.remove_prefix(1);
    }
    if (digits == 0) {
        return std::nullopt;
    }
    for (int i = digits; i < microsecond_digits; ++i) {
        micros *= 10;
    }
    return microseconds{micros};
}

std::optional<std::chrono::minutes> take_offset(std::string_view& text) {
    if (take_char(text, "Zz")) {
        return std::chrono::minutes{0};
    }
    const bool is_negative = !text.empty() && text.front() == '-';
    if (!take_char(text, "+-")) {
        return std::nullopt;
    }
    const auto hours = take_number(text, 2);
    if (!hours || !take_char(text, ":")) {
        return std::nullopt;
    }
    const auto minutes = take_number(text, 2);
    if (!minutes || *hours > 23 || *minutes > 59) {
        return std::nullopt;
    }
    const std::chrono::minutes offset{*hours * minutes_per_hour + *minutes};
    return is_negative ? -offset : offset;
}

} // namespace

std::int64_t to_unix_ms(instant time) {
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

instant from_unix_ms(std::int64_t unix_ms) {
    return instant{milliseconds{unix_ms}};
}

std::optional<instant> parse_rfc3339(std::string_view text) {
    const auto year = take_number(text, 4);
    if (!year || !take_char(text, "-")) {
        return std::nullopt;
    }
    const auto month = take_number(text, 2);
    if (!month || !take_char(text, "-")) {
        return std::nullopt;
    }
    const auto day = take_number(text, 2);
    if (!day || !take_char(text, "Tt ")) {
        return std::nullopt;
    }
    const auto hour = take_number(text, 2);
    if (!hour || !take_char(text, ":")) {
        return std::nullopt;
    }
    const auto minute = take_number(text, 2);
    if (!minute || !take_char(text, ":")) {
        return std::nullopt;
    }
    const auto second = take_number(text, 2);
    if (!second) {
        return std::nullopt;
    }
    const auto fraction = take_fraction(text);
    const auto offset = take_offset(text);
    const std::chrono::year_month_day date{std::chrono::year{*year},
                                           std::chrono::month{static_cast<unsigned>(*month)},
                                           std::chrono::day{static_cast<unsigned>(*day)}};
    const bool is_in_range = date.ok() && *hour <= 23 && *minute <= 59 && *second <= 60;
    if (!fraction || !offset || !text.empty() || !is_in_range) {
        return std::nullopt;
    }
    return instant{std::chrono::sys_days{date}} + std::chrono::hours{*hour} +
           std::chrono::minutes{*minute} + seconds{*second} + *fraction - *offset;
}

std::optional<microseconds> parse_duration(std::string_view text) {
    constexpr double us_per_s = 1'000'000;
    constexpr double max_s = 1e9;
    double number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    const std::string_view unit(parsed.ptr, text.data() + text.size());
    if (parsed.ec != std::errc{} || unit != " s" || !(number > 0) || number > max_s) {
        return std::nullopt;
    }
    return microseconds(std::llround(number * us_per_s));
}

std::string format_rfc3339(instant time) {
    const auto unix_ms = to_unix_ms(time);
    const auto whole_seconds = std::chrono::floor<seconds>(time);
    const auto millis =
        unix_ms -
        std::chrono::duration_cast<milliseconds>(whole_seconds.time_since_epoch()).count();
    const std::time_t unix_s = whole_seconds.time_since_epoch().count();
    std::tm parts{};
    gmtime_r(&unix_s, &parts);
    char text[64] = {};
    std::snprintf(text, sizeof text, "%04d-%02d-%02dT%02d:%02d:%02d.%03dZ", parts.tm_year + 1900,
                  parts.tm_mon + 1, parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec,
                  static_cast<int>(millis));
    return text;
}

} // namespace cyclamenhatch

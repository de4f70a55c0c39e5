#include "edge/answer_length.h"

#include <algorithm>
#include <charconv>

namespace cyclamenhatch::edge {
namespace {

constexpr std::string_view length_header = "content-length";
constexpr unsigned first_status_with_body = 200;
constexpr unsigned no_content = 204;
constexpr unsigned not_modified = 304;

std::string_view trim_blanks(std::string_view text) {
    const auto first = std::min(text.find_first_not_of(" \t"), text.size());
    text.remove_prefix(first);
    return text.substr(0, text.find_last_not_of(" \t") + 1);
}

/// Adds one value of a list.
void add_value(answer_length& length, std::string_view value) {
    const auto text = trim_blanks(value);
    std::uint64_t bytes = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), bytes);
    const bool is_number = error == std::errc{} && end == text.data() + text.size();
    length.is_invalid =
        length.is_invalid || !is_number || (length.stated && *length.stated != bytes);
    length.stated = bytes;
}

/// Adds a header of the answer; those of another name change nothing.
void add_header(answer_length& length, std::string_view name, std::string_view value) {
    if (!equals_without_case(name, length_header)) {
        return;
    }
    while (true) {
        const auto comma = std::min(value.find(','), value.size());
        add_value(length, value.substr(0, comma));
        if (comma == value.size()) {
            break;
        }
        value.remove_prefix(comma + 1);
    }
    if (length.is_invalid) {
        length.stated.reset();
    }
}

answer_length make_length(unsigned status, std::string_view method) {
    return {.stated = {},
            .is_invalid = false,
            .is_bodiless = method == "HEAD" || is_bodiless_status(status)};
}

} // namespace

bool is_bodiless_status(unsigned status) {
    return status < first_status_with_body || status == no_content || status == not_modified;
}

answer_length find_answer_length(unsigned status, std::string_view method,
                                 const header_fields& headers) {
    auto length = make_length(status, method);
    for (const auto& header : headers) {
        add_header(length, header.name, header.value);
    }
    return length;
}

answer_length find_answer_length(unsigned status, std::string_view method,
                                 const wire_headers& headers) {
    auto length = make_length(status, method);
    for (const auto& header : headers) {
        add_header(length, header->name, header->value);
    }
    return length;
}

body_fit fit_body(const answer_length& length, std::uint64_t bytes, bool is_ended) {
    if (length.is_invalid) {
        return body_fit::invalid;
    }
    const auto due = length.is_bodiless ? std::optional<std::uint64_t>(0) : length.stated;
    if (!due) {
        return is_ended ? body_fit::complete : body_fit::partial;
    }
    if (bytes > *due || (bytes == *due && !is_ended)) {
        return body_fit::too_long;
    }
    if (bytes == *due) {
        return body_fit::complete;
    }
    return is_ended ? body_fit::too_short : body_fit::partial;
}

bool is_mismatch(body_fit fit) {
    return fit != body_fit::partial && fit != body_fit::complete;
}

std::string stated_text(const answer_length& length) {
    if (length.is_invalid) {
        return "invalid";
    }
    return length.stated ? std::to_string(*length.stated) : "none";
}

} // namespace cyclamenhatch::edge

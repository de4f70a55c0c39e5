#include "model/log_event.h"

#include <string_view>

namespace cyclamenhatch {
namespace {

bool needs_quotes(std::string_view value) {
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string quote(std::string_view value) {
    std::string text = "\"";
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            text += '\\';
        }
        const bool is_line_break = character == '\n' || character == '\r';
        text += is_line_break ? ' ' : character;
    }
    return text + "\"";
}

} // namespace

std::string to_line(const log_event& event) {
    std::string line = "event=" + event.name;
    for (const auto& field : event.fields) {
        line += " " + field.key + "=";
        line += needs_quotes(field.value) ? quote(field.value) : field.value;
    }
    return line;
}

std::string ms_text(microseconds span) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

} // namespace cyclamenhatch

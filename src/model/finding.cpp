#include "model/finding.h"

namespace cyclamenhatch {

std::string to_string(const finding& found) {
    std::string text;
    if (!found.where.file.empty()) {
        text += found.where.file + ":";
    }
    if (found.where.line > 0) {
        text += std::to_string(found.where.line) + ":" + std::to_string(found.where.column) + ":";
    }
    if (!text.empty()) {
        text += " ";
    }
    if (!found.path.empty()) {
        text += found.path + ": ";
    }
    text += found.problem;
    if (!found.remedy.empty()) {
        text += "; " + found.remedy;
    }
    return text;
}

} // namespace cyclamenhatch

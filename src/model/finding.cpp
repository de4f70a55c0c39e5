#include "model/finding.h"

namespace cyclamenhatch {

std::string to_string(const finding& item) {
    std::string text;
    if (!item.where.file.empty()) {
        text += item.where.file + ":";
    }
    if (item.where.line > 0) {
        text += std::to_string(item.where.line) + ":" + std::to_string(item.where.column) + ":";
    }
    if (!text.empty()) {
        text += " ";
    }
    if (!item.path.empty()) {
        text += item.path + ": ";
    }
    text += item.problem;
    if (!item.remedy.empty()) {
        text += "; " + item.remedy;
    }
    return text;
}

} // namespace cyclamenhatch

#include "model/finding.h"

namespace cyclamenhatch {

std::string to_string(const finding& item) {
    std::string text;
    if (!item.location.file.empty()) {
        text += item.location.file + ":";
    }
    if (item.location.line > 0) {
        text +=
            std::to_string(item.location.line) + ":" + std::to_string(item.location.column) + ":";
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

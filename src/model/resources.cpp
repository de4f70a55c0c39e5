#include "model/resources.h"

#include <algorithm>

namespace cyclamenhatch {

const move* find_open_move(const section& content) {
    const auto it =
        std::find_if(content.moves.begin(), content.moves.end(),
                     [](const move& candidate) { return !candidate.ending.has_value(); });
    return it == content.moves.end() ? nullptr : &*it;
}

const service_id& fleet_section_name() {
    static const service_id name{"*"};
    return name;
}

bool is_fleet_section(const section& content) {
    return content.service.name == fleet_section_name();
}

bool is_empty_fleet_section(const section& content) {
    return is_fleet_section(content) && content.workspaces.empty() && content.evacuated.empty() &&
           !content.requires_access_key;
}

void sort_resources(section& content) {
    const auto by_name = [](const auto& left, const auto& right) { return left.name < right.name; };
    std::stable_sort(content.routes.begin(), content.routes.end(), by_name);
    std::stable_sort(content.workspaces.begin(), content.workspaces.end(), by_name);
    std::sort(content.evacuated.begin(), content.evacuated.end());
}

} // namespace cyclamenhatch

#include "store/change_context.h"

namespace cyclamenhatch::store {
namespace {

section& open_fleet_section(change_context& context) {
    if (section* working_copy = open_section(context, fleet_section_name())) {
        return *working_copy;
    }
    auto& added = context.changed_sections[fleet_section_name()];
    added.service.name = fleet_section_name();
    return added;
}

} // namespace

std::string indexed(std::string_view kind, std::size_t index, std::string_view field) {
    return std::string(kind) + "[" + std::to_string(index) + "]." + std::string(field);
}

section* open_section(change_context& context, const service_id& name) {
    const auto copied = context.changed_sections.find(name);
    if (copied != context.changed_sections.end()) {
        return &copied->second;
    }
    const auto stored = context.current.find(name);
    if (stored == context.current.end()) {
        return nullptr;
    }
    return &context.changed_sections.emplace(name, stored->second->content).first->second;
}

bool add_key(change_context& context, const resource_key& key, const std::string& path) {
    if (context.named_keys.insert(key).second) {
        return true;
    }
    context.add_invalid(path, describe(key) + " is named twice in this write",
                        "name each resource once");
    return false;
}

void put_workspaces(change_context& context, const std::vector<workspace>& workspaces) {
    for (std::size_t i = 0; i < workspaces.size(); ++i) {
        const auto& name = workspaces[i].name.value;
        if (add_key(context, {resource_kind::workspace, fleet_section_name(), name},
                    indexed("workspace", i, "name"))) {
            put_resource(open_fleet_section(context).workspaces, workspaces[i], context.stamp);
        }
    }
}

} // namespace cyclamenhatch::store

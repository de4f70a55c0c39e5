#include "distribution/refresh.h"

#include "membership/record_merge.h"

#include <algorithm>

namespace cyclamenhatch::distribution {
namespace {

constexpr std::size_t compared_members = 2;
/// After this time a node that finds neither members nor the store uses the held configuration.
constexpr seconds isolated_refresh_timeout{10};

std::size_t count_live_others(const membership::table& members) {
    return static_cast<std::size_t>(
        std::count_if(members.members.begin(), members.members.end(), [](const auto& member) {
            return membership::is_live(member.second.record);
        }));
}

bool has_compared_enough(const state& self, const step_context& context) {
    const auto elapsed = context.now - self.refresh.started;
    if (self.refresh.has_store_answer && elapsed >= milliseconds{self.settings.store_alone_ms}) {
        return true;
    }
    if (!context.members.has_joined) {
        return false;
    }
    const auto others = count_live_others(context.members);
    if (others == 0) {
        return self.refresh.has_store_answer || elapsed >= isolated_refresh_timeout;
    }
    return self.refresh.compared.size() >= std::min(compared_members, others);
}

} // namespace

void start_refresh(state& self, instant now) {
    self.needs_refresh = true;
    self.refresh = {.started = now};
    self.pull = {.not_before = now};
}

void note_compared(state& self, const node_id& member) {
    if (self.needs_refresh && self.config) {
        self.refresh.compared.insert(member);
    }
}

void tick_refresh(state& self, const step_context& context) {
    if (!self.needs_refresh || !self.config || !has_compared_enough(self, context)) {
        return;
    }
    self.needs_refresh = false;
    context.out.logs.push_back(
        {.name = "config_refreshed",
         .fields = {{"version", std::to_string(self.config->version.value)},
                    {"members", std::to_string(self.refresh.compared.size())},
                    {"store", self.refresh.has_store_answer ? "true" : "false"}}});
}

} // namespace cyclamenhatch::distribution

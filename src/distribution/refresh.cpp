#include "distribution/refresh.h"

#include "membership/record_merge.h"

#include <algorithm>

namespace cyclamenhatch::distribution {
namespace {

constexpr std::size_t compared_members = 2;
/// A node that finds neither members nor the store goes on with what it held before.
constexpr seconds lonely_refresh{10};

std::size_t count_others(const membership::table& members) {
    return static_cast<std::size_t>(
        std::count_if(members.members.begin(), members.members.end(),
                      [](const auto& each) { return membership::is_live(each.second.record); }));
}

bool is_compared(const state& self, const step& now) {
    const auto waited = now.now - self.refresh.started;
    if (self.refresh.has_store_answer && waited >= milliseconds{self.settings.store_alone_ms}) {
        return true;
    }
    if (!now.members.has_joined) {
        return false;
    }
    const auto others = count_others(now.members);
    if (others == 0) {
        return self.refresh.has_store_answer || waited >= lonely_refresh;
    }
    return self.refresh.compared.size() >= std::min(compared_members, others);
}

} // namespace

void start_refresh(state& self, instant now) {
    self.needs_refresh = true;
    self.refresh = {.started = now};
    self.pull = {.not_before = now};
}

void note_compared(state& self, const node_id& with) {
    if (self.needs_refresh && self.held) {
        self.refresh.compared.insert(with);
    }
}

void tick_refresh(state& self, const step& now) {
    if (!self.needs_refresh || !self.held || !is_compared(self, now)) {
        return;
    }
    self.needs_refresh = false;
    now.wanted.logs.push_back(
        {.name = "config_refreshed",
         .fields = {{"version", std::to_string(self.held->version.value)},
                    {"members", std::to_string(self.refresh.compared.size())},
                    {"store", self.refresh.has_store_answer ? "true" : "false"}}});
}

} // namespace cyclamenhatch::distribution

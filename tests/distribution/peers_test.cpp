#include "distribution/peers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <set>

namespace cyclamenhatch::distribution {
namespace {

msg::member_record_msg make_record(std::size_t index, unsigned data_centre) {
    msg::member_record_msg record;
    record.node = "n" + std::to_string(index);
    record.data_centre = "dc-" + std::to_string(data_centre);
    return record;
}

/// Node names that a push of one node reaches in the end.
std::set<std::string> reach(const std::vector<msg::member_record_msg>& all, std::size_t start) {
    std::set<std::string> reached{all[start].node};
    std::vector<std::size_t> open{start};
    while (!open.empty()) {
        membership::table table;
        table.self = all[open.back()];
        open.pop_back();
        for (const auto& each : all) {
            if (each.node != table.self.node) {
                table.members[node_id{each.node}].record = each;
            }
        }
        for (const auto* target : push_targets(table, 1, 1)) {
            if (reached.insert(target->node).second) {
                open.push_back(std::stoul(target->node.substr(1)));
            }
        }
    }
    return reached;
}

RC_GTEST_PROP(push_targets, one_inside_and_one_across_reach_every_member,
              (const std::vector<unsigned char>& data_centres)) {
    RC_PRE(!data_centres.empty());
    std::vector<msg::member_record_msg> all;
    for (std::size_t i = 0; i < data_centres.size() && i < 30; ++i) {
        all.push_back(make_record(i, data_centres[i] % 7U));
    }
    const auto start = *rc::gen::inRange<std::size_t>(0, all.size());
    RC_ASSERT(reach(all, start).size() == all.size());
}

} // namespace
} // namespace cyclamenhatch::distribution

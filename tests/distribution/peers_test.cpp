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

/// Names of the nodes that a push from one node reaches directly or through others.
std::set<std::string> reach(const std::vector<msg::member_record_msg>& all, std::size_t start) {
    std::set<std::string> reached{all[start].node};
    std::vector<std::size_t> unvisited{start};
    while (!unvisited.empty()) {
        membership::table table;
        table.self = all[unvisited.back()];
        unvisited.pop_back();
        for (const auto& record : all) {
            if (record.node != table.self.node) {
                table.members[node_id{record.node}].record = record;
            }
        }
        for (const auto* target : push_targets(table, 1, 1)) {
            if (reached.insert(target->node).second) {
                unvisited.push_back(std::stoul(target->node.substr(1)));
            }
        }
    }
    return reached;
}

RC_GTEST_PROP(push_targets, one_local_and_one_remote_target_reach_every_member,
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

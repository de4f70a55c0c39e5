#include "distribution/counting.h"

#include <memory>
#include <numeric>

namespace cyclamenhatch::distribution {
namespace {

std::size_t bytes_of(const std::string& text) {
    return text.size();
}

std::size_t bytes_of(const std::unique_ptr<msg::head_entry_msg>& entry) {
    return entry ? entry->service.size() + entry->digest.size() : 0;
}

std::size_t bytes_of(const std::unique_ptr<msg::section_blob_msg>& blob) {
    return blob ? blob->service.size() + blob->digest.size() + blob->body.size() : 0;
}

template <class Item> std::size_t bytes_of(const std::vector<Item>& items) {
    return std::accumulate(items.begin(), items.end(), std::size_t{0},
                           [](std::size_t sum, const Item& item) { return sum + bytes_of(item); });
}

std::size_t bytes_of(const std::unique_ptr<msg::section_patch_msg>& patch) {
    return patch ? patch->service.size() + patch->digest.size() + patch->body.size() +
                       bytes_of(patch->removed_routes)
                 : 0;
}

} // namespace

std::size_t payload_bytes(const msg::config_delta_msg& message) {
    const auto patched =
        std::accumulate(message.patched.begin(), message.patched.end(), std::size_t{0},
                        [](std::size_t sum, const auto& patch) { return sum + bytes_of(patch); });
    return message.digest.size() + bytes_of(message.operations) + bytes_of(message.changed) +
           bytes_of(message.removed) + patched;
}

std::size_t payload_bytes(const msg::config_snapshot_msg& message) {
    return message.digest.size() + bytes_of(message.operations) + bytes_of(message.sections) +
           bytes_of(message.kept);
}

std::size_t payload_bytes(const msg::config_pull_msg& message) {
    return bytes_of(message.have);
}

void send_counted(state& self, outgoing message, const step_context& context) {
    auto& counts = self.counts;
    if (const auto* delta = std::get_if<msg::config_delta_msg>(&message.message)) {
        ++counts.delta_messages;
        counts.delta_bytes += payload_bytes(*delta);
    } else if (const auto* whole = std::get_if<msg::config_snapshot_msg>(&message.message)) {
        ++counts.snapshot_messages;
        counts.snapshot_bytes += payload_bytes(*whole);
    } else if (const auto* pull = std::get_if<msg::config_pull_msg>(&message.message)) {
        ++counts.pull_messages;
        counts.pull_bytes += payload_bytes(*pull);
    }
    context.out.sends.push_back(std::move(message));
}

} // namespace cyclamenhatch::distribution

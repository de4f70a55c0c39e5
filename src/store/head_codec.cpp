#include "store/head_codec.h"

#include "resources_generated.h"

#include <algorithm>

namespace cyclamenhatch::store {
namespace {

findings malformed(std::string problem) {
    return {{.path = "head", .problem = std::move(problem), .remedy = "restore the stored head"}};
}

} // namespace

std::string encode_head(const stored_head& from) {
    msg::head_msg to;
    to.version = from.version.value;
    for (const auto& [service, digest] : from.entries) {
        auto entry = std::make_unique<msg::head_entry_msg>();
        entry->service = service.value;
        entry->digest = digest.value;
        to.entries.push_back(std::move(entry));
    }
    for (const auto& each : from.operations) {
        to.operations.push_back(each.value);
    }
    for (const auto& each : from.recent) {
        auto recent = std::make_unique<msg::recent_operation_msg>();
        recent->operation = each.operation.value;
        recent->version = each.version.value;
        to.recent.push_back(std::move(recent));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(msg::head::Pack(builder, &to));
    const auto* bytes = static_cast<const void*>(builder.GetBufferPointer());
    return {static_cast<const char*>(bytes), builder.GetSize()};
}

result<stored_head> decode_head(std::string_view bytes) {
    const auto* data = static_cast<const std::uint8_t*>(static_cast<const void*>(bytes.data()));
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !verifier.VerifyBuffer<msg::head>(nullptr)) {
        return malformed("the bytes are not a head");
    }
    msg::head_msg from;
    flatbuffers::GetRoot<msg::head>(data)->UnPackTo(&from);
    stored_head to;
    to.version = config_version{from.version};
    for (const auto& each : from.entries) {
        if (!to.entries.emplace(service_id{each->service}, digest_id{each->digest}).second) {
            return malformed("service \"" + each->service + "\" stands twice");
        }
    }
    for (auto& each : from.operations) {
        to.operations.emplace_back(std::move(each));
    }
    for (auto& each : from.recent) {
        to.recent.push_back(
            {operation_id{std::move(each->operation)}, config_version{each->version}});
    }
    return to;
}

bool names_sections(const stored_head& head, const std::map<service_id, section_ptr>& sections) {
    return std::equal(head.entries.begin(), head.entries.end(), sections.begin(), sections.end(),
                      [](const auto& entry, const auto& part) {
                          return entry.first == part.first && entry.second == part.second->digest;
                      });
}

std::string head_key(const std::string& prefix) {
    return prefix + "head";
}

std::string section_prefix(const std::string& prefix) {
    return prefix + "section/";
}

std::string section_key(const std::string& prefix, const digest_id& digest) {
    return section_prefix(prefix) + digest.value;
}

std::string contact_prefix(const std::string& prefix) {
    return prefix + "contact/";
}

std::string contact_key(const std::string& prefix, const std::string& node) {
    return contact_prefix(prefix) + node;
}

} // namespace cyclamenhatch::store

#include "store/head_codec.h"

#include "resources_generated.h"

#include <algorithm>

namespace cyclamenhatch::store {
namespace {

findings malformed(std::string problem) {
    return {{.path = "head", .problem = std::move(problem), .remedy = "restore the stored head"}};
}

} // namespace

std::string encode_head(const stored_head& head) {
    msg::head_msg message;
    message.version = head.version.value;
    for (const auto& [service, digest] : head.entries) {
        auto entry = std::make_unique<msg::head_entry_msg>();
        entry->service = service.value;
        entry->digest = digest.value;
        message.entries.push_back(std::move(entry));
    }
    for (const auto& operation : head.operations) {
        message.operations.push_back(operation.value);
    }
    for (const auto& accepted : head.recent) {
        auto recent = std::make_unique<msg::recent_operation_msg>();
        recent->operation = accepted.operation.value;
        recent->version = accepted.version.value;
        message.recent.push_back(std::move(recent));
    }
    flatbuffers::FlatBufferBuilder builder;
    builder.Finish(msg::head::Pack(builder, &message));
    const auto* bytes = static_cast<const void*>(builder.GetBufferPointer());
    return {static_cast<const char*>(bytes), builder.GetSize()};
}

result<stored_head> decode_head(std::string_view bytes) {
    const auto* data = static_cast<const std::uint8_t*>(static_cast<const void*>(bytes.data()));
    flatbuffers::Verifier verifier(data, bytes.size());
    if (bytes.empty() || !verifier.VerifyBuffer<msg::head>(nullptr)) {
        return malformed("the bytes are not a head");
    }
    msg::head_msg message;
    flatbuffers::GetRoot<msg::head>(data)->UnPackTo(&message);
    stored_head decoded;
    decoded.version = config_version{message.version};
    for (const auto& entry : message.entries) {
        if (!decoded.entries.emplace(service_id{entry->service}, digest_id{entry->digest}).second) {
            return malformed("service \"" + entry->service + "\" is defined twice");
        }
    }
    for (auto& operation : message.operations) {
        decoded.operations.emplace_back(std::move(operation));
    }
    for (auto& accepted : message.recent) {
        decoded.recent.push_back(
            {operation_id{std::move(accepted->operation)}, config_version{accepted->version}});
    }
    return decoded;
}

bool matches_sections(const stored_head& head, const std::map<service_id, section_ptr>& sections) {
    return std::equal(head.entries.begin(), head.entries.end(), sections.begin(), sections.end(),
                      [](const auto& entry, const auto& stored) {
                          return entry.first == stored.first &&
                                 entry.second == stored.second->digest;
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

std::string leave_key(const std::string& prefix, const std::string& node) {
    return contact_prefix(prefix) + "leave/" + node;
}

bool is_leave_key(const std::string& prefix, std::string_view key) {
    return key.starts_with(leave_key(prefix, {}));
}

} // namespace cyclamenhatch::store

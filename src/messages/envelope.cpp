#include "messages/envelope.h"

#include <array>
#include <utility>

namespace cyclamenhatch {
namespace {

finding malformed(std::string problem) {
    return {.path = "envelope",
            .problem = std::move(problem),
            .remedy = "check that both nodes run the same protocol version"};
}

/// Unpacks the body when it has the type at Index in peer_message; returns whether it has.
template <std::size_t Index> bool unpack_as(const msg::envelope& envelope, peer_message& message) {
    using message_type = std::variant_alternative_t<Index, peer_message>;
    using table_type = typename message_type::TableType;
    if (envelope.body_type() != msg::bodyUnionTraits<message_type>::enum_value) {
        return false;
    }
    static_cast<const table_type*>(envelope.body())->UnPackTo(&message.emplace<Index>());
    return true;
}

template <std::size_t... Indexes>
bool unpack_any(const msg::envelope& envelope, peer_message& message,
                std::index_sequence<Indexes...>) {
    return (unpack_as<Indexes>(envelope, message) || ...);
}

} // namespace

std::string encode_envelope(const node_id& sender, const peer_message& message, microseconds sent) {
    flatbuffers::FlatBufferBuilder builder;
    const auto sender_offset = builder.CreateString(sender.value);
    const auto body_offset = std::visit(
        [&](const auto& body) {
            using table_type = typename std::decay_t<decltype(body)>::TableType;
            return table_type::Pack(builder, &body).Union();
        },
        message);
    const auto kind = std::visit(
        [](const auto& body) {
            return msg::bodyUnionTraits<std::decay_t<decltype(body)>>::enum_value;
        },
        message);
    builder.Finish(msg::Createenvelope(builder, sender_offset, kind, body_offset,
                                       static_cast<std::uint64_t>(sent.count())));
    return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

result<incoming> decode_envelope(std::string_view bytes) {
    const auto* data = reinterpret_cast<const std::uint8_t*>(bytes.data());
    flatbuffers::Verifier verifier(data, bytes.size());
    if (!msg::VerifyenvelopeBuffer(verifier)) {
        return findings{malformed("the bytes are not an envelope")};
    }
    const auto* envelope = msg::Getenvelope(data);
    incoming decoded;
    decoded.sent = microseconds(static_cast<std::int64_t>(envelope->sent_us()));
    if (envelope->from() != nullptr) {
        decoded.from = node_id{envelope->from()->str()};
    }
    constexpr auto kinds = std::make_index_sequence<std::variant_size_v<peer_message>>{};
    if (envelope->body() == nullptr || !unpack_any(*envelope, decoded.message, kinds)) {
        return findings{malformed("the envelope holds no message of a known kind")};
    }
    return decoded;
}

} // namespace cyclamenhatch

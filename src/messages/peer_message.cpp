#include "messages/peer_message.h"

namespace cyclamenhatch {

std::string_view kind_name(const peer_message& message) {
    return std::visit(
        [](const auto& each) -> std::string_view {
            using message_type = std::decay_t<decltype(each)>;
            return msg::EnumNamebody(msg::bodyUnionTraits<message_type>::enum_value);
        },
        message);
}

} // namespace cyclamenhatch

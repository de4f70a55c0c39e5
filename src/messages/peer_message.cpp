#include "messages/peer_message.h"

namespace cyclamenhatch {

bool is_call_message(const peer_message& message) {
    return std::holds_alternative<msg::call_open_msg>(message) ||
           std::holds_alternative<msg::call_data_msg>(message) ||
           std::holds_alternative<msg::call_credit_msg>(message) ||
           std::holds_alternative<msg::call_answer_msg>(message) ||
           std::holds_alternative<msg::call_refused_msg>(message) ||
           std::holds_alternative<msg::call_cancel_msg>(message);
}

std::string_view kind_name(const peer_message& message) {
    return std::visit(
        [](const auto& body) -> std::string_view {
            using message_type = std::decay_t<decltype(body)>;
            return msg::EnumNamebody(msg::bodyUnionTraits<message_type>::enum_value);
        },
        message);
}

} // namespace cyclamenhatch

#include "edge/caller_request.h"

#include <sys/socket.h>

namespace cyclamenhatch::edge {

using boost::system::error_code;

bool is_request_fault(error_code error) {
    static const auto& category = error_code(http::error::bad_method).category();
    return error.category() == category && error != http::error::end_of_stream &&
           error != http::error::partial_message;
}

request_head take_head(const caller_exchange& exchange) {
    const auto& request = exchange.parser->get();
    request_head head{.method = std::string(request.method_string()),
                      .target = std::string(request.target()),
                      .headers = {}};
    for (const auto& field : request) {
        head.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    drop_named_by_connection(head.headers);
    return head;
}

bool has_caller_left(caller_session& session) {
    char byte = 0;
    return ::recv(session.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace cyclamenhatch::edge

#include "edge/caller_request.h"

#include <sys/socket.h>

namespace cyclamenhatch::edge {

using boost::system::error_code;

bool is_request_fault(error_code failed) {
    static const auto& category = error_code(http::error::bad_method).category();
    return failed.category() == category && failed != http::error::end_of_stream &&
           failed != http::error::partial_message;
}

request_head take_head(const caller_exchange& of) {
    const auto& request = of.parser->get();
    request_head head{.method = std::string(request.method_string()),
                      .target = std::string(request.target()),
                      .headers = {}};
    for (const auto& each : request) {
        head.headers.push_back({std::string(each.name_string()), std::string(each.value())});
    }
    drop_named_by_connection(head.headers);
    return head;
}

bool has_caller_left(caller_session& of) {
    char byte = 0;
    return ::recv(of.socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

} // namespace cyclamenhatch::edge

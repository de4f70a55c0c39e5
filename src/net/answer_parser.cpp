#include "net/answer_parser.h"

namespace cyclamenhatch::net {

bool has_continuation(boost::beast::string_view name, boost::beast::string_view value) {
    const char* place = name.data() + name.size() + 1;
    while (*place == ' ' || *place == '\t') {
        ++place;
    }
    return place != value.data();
}

} // namespace cyclamenhatch::net

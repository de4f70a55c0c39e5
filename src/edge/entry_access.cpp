#include "edge/entry_access.h"

#include "call/caller_access.h"

#include <string>
#include <string_view>
#include <vector>

namespace cyclamenhatch::edge {

std::variant<local_answer, const workspace*> resolve_caller(const header_names& names,
                                                            const snapshot& config,
                                                            const route& matched,
                                                            const header_fields& headers) {
    std::vector<std::string_view> credentials;
    for (const auto& header : headers) {
        if (equals_without_case(header.name, names.access_key)) {
            credentials.emplace_back(header.value);
        }
    }
    const auto access = call::decide_access(config, matched, credentials);
    if (access.verdict == call::access_verdict::granted) {
        return access.caller;
    }
    auto answer = make_failure(names, {.reason = msg::refusal_reason::unauthorized});
    answer.reason += "_" + std::string(call::name_of(access.verdict));
    return answer;
}

} // namespace cyclamenhatch::edge

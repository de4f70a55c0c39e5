#include "call/caller_access.h"

#include <algorithm>

namespace cyclamenhatch::call {
namespace {

constexpr std::string_view bearer_scheme = "bearer";

char to_lower(char character) {
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                : character;
}

bool is_bearer(std::string_view scheme) {
    return std::equal(scheme.begin(), scheme.end(), bearer_scheme.begin(), bearer_scheme.end(),
                      [](char left, char right) { return to_lower(left) == right; });
}

std::string_view trim(std::string_view text) {
    constexpr std::string_view blanks = " \t";
    const auto first = text.find_first_not_of(blanks);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blanks) - first + 1);
}

caller_access find_caller(const snapshot& config,
                          const std::vector<std::string_view>& credentials) {
    if (credentials.empty()) {
        return {.verdict = access_verdict::missing_key};
    }
    if (credentials.size() > 1) {
        return {.verdict = access_verdict::several_keys};
    }
    const auto credential = trim(credentials.front());
    const auto scheme = credential.substr(0, credential.find_first_of(" \t"));
    const auto key = trim(credential.substr(scheme.size()));
    if (!is_bearer(scheme)) {
        return {.verdict = credential.empty() ? access_verdict::missing_key
                                              : access_verdict::other_scheme};
    }
    if (key.empty()) {
        return {.verdict = access_verdict::missing_key};
    }
    const auto* holder = find_workspace(config, key);
    return {.verdict = holder == nullptr ? access_verdict::unknown_key : access_verdict::granted,
            .caller = holder};
}

} // namespace

caller_access decide_access(const snapshot& config, const route& matched,
                            const std::vector<std::string_view>& credentials) {
    if (!requires_access_key(config)) {
        return {};
    }
    auto access = find_caller(config, credentials);
    if (matched.is_anonymous) {
        access.verdict = access_verdict::granted;
    }
    return access;
}

std::string_view name_of(access_verdict verdict) {
    switch (verdict) {
    case access_verdict::granted:
        return "granted";
    case access_verdict::missing_key:
        return "missing_key";
    case access_verdict::several_keys:
        return "several_keys";
    case access_verdict::other_scheme:
        return "other_scheme";
    case access_verdict::unknown_key:
        return "unknown_key";
    }
    return "unknown_key";
}

} // namespace cyclamenhatch::call

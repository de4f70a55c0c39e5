#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace cyclamenhatch {

/// A string id that cannot be mixed up with ids of another kind. An empty id identifies nothing.
/// Thread safety: as std::string.
template <class Tag> struct strong_id {
    std::string value;

    strong_id() = default;
    explicit strong_id(std::string text) : value(std::move(text)) {}

    [[nodiscard]] bool empty() const { return value.empty(); }
    friend auto operator<=>(const strong_id&, const strong_id&) = default;
    friend std::ostream& operator<<(std::ostream& out, const strong_id& id) {
        return out << id.value;
    }
};

} // namespace cyclamenhatch

template <class Tag> struct std::hash<cyclamenhatch::strong_id<Tag>> {
    std::size_t operator()(const cyclamenhatch::strong_id<Tag>& id) const noexcept {
        return std::hash<std::string>{}(id.value);
    }
};

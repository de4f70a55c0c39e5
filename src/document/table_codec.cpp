#include "document/table_codec.h"
#include "document/suggestion.h"

#include <array>
#include <limits>
#include <optional>

namespace cyclamenhatch {
namespace {

using flatbuffers::ElementaryType;
using flatbuffers::TypeCode;
using flatbuffers::TypeTable;
using flatbuffers::uoffset_t;
using flatbuffers::voffset_t;

constexpr voffset_t first_field_offset = 4;

voffset_t field_offset(std::size_t index) {
    return static_cast<voffset_t>(first_field_offset + index * sizeof(voffset_t));
}

const TypeTable* referenced_type(const TypeTable& type, const TypeCode& code) {
    return code.sequence_ref < 0 ? nullptr : type.type_refs[code.sequence_ref]();
}

std::vector<std::string> list_names(const TypeTable& type, is_system_field is_forbidden) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < type.num_elems; ++i) {
        if (is_forbidden == nullptr || !is_forbidden(type.names[i])) {
            names.emplace_back(type.names[i]);
        }
    }
    return names;
}

std::string join(const std::vector<std::string>& names) {
    std::string text;
    for (const auto& each : names) {
        text += (text.empty() ? "" : ", ") + each;
    }
    return text;
}

std::optional<std::size_t> find_name(const TypeTable& type, std::string_view name) {
    for (std::size_t i = 0; i < type.num_elems; ++i) {
        if (name == type.names[i]) {
            return i;
        }
    }
    return std::nullopt;
}

std::string_view describe_type(const document& from) {
    constexpr std::array<std::string_view, 7> names{
        "nothing", "a flag",   "a whole number", "a number with a fraction",
        "a text",  "an array", "a table"};
    return names[from.value.index()];
}

struct integer_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

template <class Number> integer_range range_of() {
    using limits = std::numeric_limits<Number>;
    constexpr auto top = static_cast<std::uint64_t>(limits::max());
    constexpr auto held = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return {static_cast<std::int64_t>(limits::min()),
            static_cast<std::int64_t>(top > held ? held : top)};
}

integer_range range_of(ElementaryType type) {
    switch (type) {
    case flatbuffers::ET_CHAR:
        return range_of<std::int8_t>();
    case flatbuffers::ET_UCHAR:
        return range_of<std::uint8_t>();
    case flatbuffers::ET_SHORT:
        return range_of<std::int16_t>();
    case flatbuffers::ET_USHORT:
        return range_of<std::uint16_t>();
    case flatbuffers::ET_INT:
        return range_of<std::int32_t>();
    case flatbuffers::ET_UINT:
        return range_of<std::uint32_t>();
    case flatbuffers::ET_ULONG:
        return range_of<std::uint64_t>();
    default:
        return range_of<std::int64_t>();
    }
}

/// One field's value: an offset to what stands outside the table, or a number within it.
struct field_value {
    std::size_t index = 0;
    TypeCode code{};
    uoffset_t offset = 0;
    std::int64_t number = 0;
};

/// Encodes tables from the inside out and collects findings on the way.
struct table_encoder {
    flatbuffers::FlatBufferBuilder builder{};
    is_system_field is_forbidden = nullptr;
    findings& found;

    void report(const place& where, const std::string& path, std::string problem,
                std::string remedy) {
        found.push_back({.where = where,
                         .path = path,
                         .problem = std::move(problem),
                         .remedy = std::move(remedy)});
    }

    void report_type(const document& from, const std::string& path, std::string_view expected) {
        report(from.where, path, "is " + std::string(describe_type(from)),
               "use " + std::string(expected));
    }

    void report_unknown(const TypeTable& type, const document_member& member,
                        const std::string& path) {
        const auto known = list_names(type, is_forbidden);
        const auto meant = suggest_name(member.key, known);
        report(member.where, path, "unknown key",
               meant.empty() ? "known keys: " + join(known) : suggestion_remedy(meant));
    }

    std::optional<std::int64_t> read_enum(const TypeTable& type, const document& from,
                                          const std::string& path) {
        const auto names = list_names(type, nullptr);
        const auto* text = std::get_if<std::string>(&from.value);
        if (text == nullptr) {
            report_type(from, path, "one of " + join(names));
            return std::nullopt;
        }
        const auto index = find_name(type, *text);
        if (!index) {
            const auto meant = suggest_name(*text, names);
            report(from.where, path, "unknown value \"" + *text + "\"",
                   meant.empty() ? "use one of " + join(names) : suggestion_remedy(meant));
            return std::nullopt;
        }
        return type.values == nullptr ? static_cast<std::int64_t>(*index) : type.values[*index];
    }

    std::optional<std::int64_t> read_flag(const document& from, const std::string& path) {
        const auto* flag = std::get_if<bool>(&from.value);
        if (flag == nullptr) {
            report_type(from, path, "true or false");
            return std::nullopt;
        }
        return *flag ? 1 : 0;
    }

    std::optional<std::int64_t> read_number(const TypeTable* enumeration, const TypeCode& code,
                                            const document& from, const std::string& path) {
        if (enumeration != nullptr) {
            return read_enum(*enumeration, from, path);
        }
        if (code.base_type == flatbuffers::ET_BOOL) {
            return read_flag(from, path);
        }
        const auto* number = std::get_if<std::int64_t>(&from.value);
        const auto range = range_of(static_cast<ElementaryType>(code.base_type));
        const auto allowed = std::to_string(range.lowest) + " to " + std::to_string(range.highest);
        if (number == nullptr) {
            report_type(from, path, "a whole number from " + allowed);
            return std::nullopt;
        }
        if (*number < range.lowest || *number > range.highest) {
            report(from.where, path, std::to_string(*number) + " is out of range",
                   "use " + allowed);
            return std::nullopt;
        }
        return *number;
    }

    /// A text or a table; other element types do not occur in vectors of these schemas.
    std::optional<uoffset_t> encode_outside(const TypeTable* table, const document& from,
                                            const std::string& path) {
        if (table != nullptr) {
            return encode(*table, from, path);
        }
        const auto* text = std::get_if<std::string>(&from.value);
        if (text == nullptr) {
            report_type(from, path, "a text");
            return std::nullopt;
        }
        return builder.CreateString(*text).o;
    }

    std::optional<uoffset_t> encode_vector(const TypeTable* table, const document& from,
                                           const std::string& path) {
        const auto* items = std::get_if<document::array>(&from.value);
        if (items == nullptr) {
            report_type(from, path, table == nullptr ? "an array of texts" : "an array of tables");
            return std::nullopt;
        }
        std::vector<flatbuffers::Offset<void>> offsets;
        for (std::size_t i = 0; i < items->size(); ++i) {
            const auto offset =
                encode_outside(table, (*items)[i], path + "[" + std::to_string(i) + "]");
            if (offset) {
                offsets.emplace_back(*offset);
            }
        }
        return builder.CreateVector(offsets).o;
    }

    /// Encodes what stands outside the table and reads what stands within.
    std::optional<field_value> read_field(const TypeTable& type, std::size_t index,
                                          const document& from, const std::string& path) {
        field_value value{.index = index, .code = type.type_codes[index]};
        const auto* inner = referenced_type(type, value.code);
        const bool is_outside = value.code.base_type == flatbuffers::ET_STRING ||
                                value.code.base_type == flatbuffers::ET_SEQUENCE;
        if (!is_outside) {
            const auto number = read_number(inner, value.code, from, path);
            value.number = number.value_or(0);
            return number ? std::optional(value) : std::nullopt;
        }
        const auto offset = value.code.is_repeating ? encode_vector(inner, from, path)
                                                    : encode_outside(inner, from, path);
        value.offset = offset.value_or(0);
        return offset ? std::optional(value) : std::nullopt;
    }

    void add_number(const field_value& value) {
        const auto at = field_offset(value.index);
        switch (value.code.base_type) {
        case flatbuffers::ET_BOOL:
        case flatbuffers::ET_CHAR:
        case flatbuffers::ET_UCHAR:
            return builder.AddElement(at, static_cast<std::uint8_t>(value.number));
        case flatbuffers::ET_SHORT:
        case flatbuffers::ET_USHORT:
            return builder.AddElement(at, static_cast<std::uint16_t>(value.number));
        case flatbuffers::ET_INT:
        case flatbuffers::ET_UINT:
            return builder.AddElement(at, static_cast<std::uint32_t>(value.number));
        default:
            return builder.AddElement(at, value.number);
        }
    }

    uoffset_t encode(const TypeTable& type, const document& from, const std::string& path) {
        std::vector<field_value> values;
        const auto* members = std::get_if<document::table>(&from.value);
        if (members == nullptr) {
            report_type(from, path, "a table");
            return builder.EndTable(builder.StartTable());
        }
        for (const auto& each : *members) {
            const std::string below = path.empty() ? each.key : path + "." + each.key;
            const auto index = find_name(type, each.key);
            if (!index) {
                report_unknown(type, each, below);
                continue;
            }
            if (is_forbidden != nullptr && is_forbidden(each.key)) {
                report(each.where, below, "is set by the system", "leave it out");
                continue;
            }
            if (const auto value = read_field(type, *index, each.value, below)) {
                values.push_back(*value);
            }
        }
        const auto start = builder.StartTable();
        for (const auto& each : values) {
            if (each.offset != 0) {
                builder.AddOffset(field_offset(each.index), flatbuffers::Offset<void>(each.offset));
            } else {
                add_number(each);
            }
        }
        return builder.EndTable(start);
    }
};

document decode_number(const TypeTable* enumeration, const TypeCode& code,
                       const flatbuffers::Table& table, voffset_t at) {
    const auto number = [&]() -> std::int64_t {
        switch (code.base_type) {
        case flatbuffers::ET_BOOL:
        case flatbuffers::ET_UCHAR:
            return table.GetField<std::uint8_t>(at, 0);
        case flatbuffers::ET_CHAR:
            return table.GetField<std::int8_t>(at, 0);
        case flatbuffers::ET_SHORT:
            return table.GetField<std::int16_t>(at, 0);
        case flatbuffers::ET_USHORT:
            return table.GetField<std::uint16_t>(at, 0);
        case flatbuffers::ET_INT:
            return table.GetField<std::int32_t>(at, 0);
        case flatbuffers::ET_UINT:
            return table.GetField<std::uint32_t>(at, 0);
        default:
            return table.GetField<std::int64_t>(at, 0);
        }
    }();
    if (enumeration != nullptr) {
        return {flatbuffers::EnumName(static_cast<std::uint8_t>(number), enumeration)};
    }
    if (code.base_type == flatbuffers::ET_BOOL) {
        return {number != 0};
    }
    return {number};
}

document decode(const TypeTable& type, const flatbuffers::Table& table);

document decode_vector(const TypeTable* inner, const flatbuffers::Table& table, voffset_t at) {
    document::array items;
    if (inner != nullptr) {
        using vector = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::Table>>;
        for (const auto* each : *table.GetPointer<const vector*>(at)) {
            items.push_back(decode(*inner, *each));
        }
        return {std::move(items)};
    }
    using vector = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;
    for (const auto* each : *table.GetPointer<const vector*>(at)) {
        items.emplace_back(each->str());
    }
    return {std::move(items)};
}

document decode_field(const TypeTable& type, std::size_t index, const flatbuffers::Table& table) {
    const auto& code = type.type_codes[index];
    const auto* inner = referenced_type(type, code);
    const auto at = field_offset(index);
    if (code.is_repeating) {
        return decode_vector(inner, table, at);
    }
    if (code.base_type == flatbuffers::ET_STRING) {
        return {table.GetPointer<const flatbuffers::String*>(at)->str()};
    }
    if (code.base_type == flatbuffers::ET_SEQUENCE) {
        return decode(*inner, *table.GetPointer<const flatbuffers::Table*>(at));
    }
    return decode_number(inner, code, table, at);
}

document decode(const TypeTable& type, const flatbuffers::Table& table) {
    document::table members;
    for (std::size_t i = 0; i < type.num_elems; ++i) {
        if (table.CheckField(field_offset(i))) {
            members.push_back({.key = type.names[i], .value = decode_field(type, i, table)});
        }
    }
    return {std::move(members)};
}

} // namespace

std::string encode_table(const TypeTable& type, const document& from, const std::string& path,
                         is_system_field is_forbidden, findings& found) {
    table_encoder encoder{.is_forbidden = is_forbidden, .found = found};
    encoder.builder.Finish(flatbuffers::Offset<void>(encoder.encode(type, from, path)));
    return {reinterpret_cast<const char*>(encoder.builder.GetBufferPointer()),
            encoder.builder.GetSize()};
}

document decode_table(const TypeTable& type, const std::uint8_t* bytes) {
    return decode(type, *flatbuffers::GetRoot<flatbuffers::Table>(bytes));
}

} // namespace cyclamenhatch

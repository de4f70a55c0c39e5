#include "document/table_codec.h"
#include "document/suggestion.h"

#include <array>
#include <bit>
#include <cmath>
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

std::vector<std::string> list_names(const TypeTable& type, field_predicate is_system_field) {
    std::vector<std::string> names;
    for (std::size_t i = 0; i < type.num_elems; ++i) {
        if (is_system_field == nullptr || !is_system_field(type.names[i])) {
            names.emplace_back(type.names[i]);
        }
    }
    return names;
}

std::string join(const std::vector<std::string>& names) {
    std::string text;
    for (const auto& name : names) {
        text += (text.empty() ? "" : ", ") + name;
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

std::string_view describe_type(const document& source) {
    constexpr std::array<std::string_view, 7> names{
        "nothing", "a flag",   "a whole number", "a number with a fraction",
        "a text",  "an array", "a table"};
    return names[source.value.index()];
}

struct integer_range {
    std::int64_t lowest = 0;
    std::int64_t highest = 0;
};

template <class Number> integer_range range_of() {
    using limits = std::numeric_limits<Number>;
    constexpr auto type_max = static_cast<std::uint64_t>(limits::max());
    constexpr auto int64_max = static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    return {static_cast<std::int64_t>(limits::min()),
            static_cast<std::int64_t>(type_max > int64_max ? int64_max : type_max)};
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

/// The value of a field: the offset of a string, vector or table, or an inline number.
struct field_value {
    std::size_t index = 0;
    TypeCode code{};
    uoffset_t offset = 0;
    /// The bits of a floating-point number.
    std::int64_t number = 0;
};

/// Encodes tables, nested ones first, and collects findings.
struct table_encoder {
    flatbuffers::FlatBufferBuilder builder{};
    field_predicate is_system_field = nullptr;
    findings& problems;

    void report(const source_location& location, const std::string& path, std::string problem,
                std::string remedy) {
        problems.push_back({.location = location,
                            .path = path,
                            .problem = std::move(problem),
                            .remedy = std::move(remedy)});
    }

    void report_type(const document& source, const std::string& path, std::string_view expected) {
        report(source.location, path, "is " + std::string(describe_type(source)),
               "use " + std::string(expected));
    }

    void report_unknown(const TypeTable& type, const document_member& member,
                        const std::string& path) {
        const auto keys = list_names(type, is_system_field);
        const auto suggestion = suggest_name(member.key, keys);
        report(member.key_location, path, "unknown key",
               suggestion.empty() ? "known keys: " + join(keys) : suggestion_remedy(suggestion));
    }

    std::optional<std::int64_t> read_enum(const TypeTable& type, const document& source,
                                          const std::string& path) {
        const auto names = list_names(type, nullptr);
        const auto* text = std::get_if<std::string>(&source.value);
        if (text == nullptr) {
            report_type(source, path, "one of " + join(names));
            return std::nullopt;
        }
        const auto index = find_name(type, *text);
        if (!index) {
            const auto suggestion = suggest_name(*text, names);
            report(source.location, path, "unknown value \"" + *text + "\"",
                   suggestion.empty() ? "use one of " + join(names)
                                      : suggestion_remedy(suggestion));
            return std::nullopt;
        }
        return type.values == nullptr ? static_cast<std::int64_t>(*index) : type.values[*index];
    }

    std::optional<std::int64_t> read_flag(const document& source, const std::string& path) {
        const auto* flag = std::get_if<bool>(&source.value);
        if (flag == nullptr) {
            report_type(source, path, "true or false");
            return std::nullopt;
        }
        return *flag ? 1 : 0;
    }

    /// The bits of a finite floating-point number; whole numbers are taken as well.
    std::optional<std::int64_t> read_fraction(const document& source, const std::string& path) {
        const auto* whole = std::get_if<std::int64_t>(&source.value);
        const auto* fraction = std::get_if<double>(&source.value);
        if (whole == nullptr && (fraction == nullptr || !std::isfinite(*fraction))) {
            report_type(source, path, "a finite number");
            return std::nullopt;
        }
        return std::bit_cast<std::int64_t>(whole != nullptr ? static_cast<double>(*whole)
                                                            : *fraction);
    }

    std::optional<std::int64_t> read_number(const TypeTable* enumeration, const TypeCode& code,
                                            const document& source, const std::string& path) {
        if (enumeration != nullptr) {
            return read_enum(*enumeration, source, path);
        }
        if (code.base_type == flatbuffers::ET_BOOL) {
            return read_flag(source, path);
        }
        if (code.base_type == flatbuffers::ET_DOUBLE) {
            return read_fraction(source, path);
        }
        const auto* number = std::get_if<std::int64_t>(&source.value);
        const auto range = range_of(static_cast<ElementaryType>(code.base_type));
        const auto allowed = std::to_string(range.lowest) + " to " + std::to_string(range.highest);
        if (number == nullptr) {
            report_type(source, path, "a whole number from " + allowed);
            return std::nullopt;
        }
        if (*number < range.lowest || *number > range.highest) {
            report(source.location, path, std::to_string(*number) + " is out of range",
                   "use " + allowed);
            return std::nullopt;
        }
        return *number;
    }

    /// Encodes a string or a table, which are stored outside the enclosing table. Vectors of these
    /// schemas have no other element types.
    std::optional<uoffset_t> encode_referenced(const TypeTable* table, const document& source,
                                               const std::string& path) {
        if (table != nullptr) {
            return encode(*table, source, path);
        }
        const auto* text = std::get_if<std::string>(&source.value);
        if (text == nullptr) {
            report_type(source, path, "a text");
            return std::nullopt;
        }
        return builder.CreateString(*text).o;
    }

    std::optional<uoffset_t> encode_vector(const TypeTable* table, const document& source,
                                           const std::string& path) {
        const auto* items = std::get_if<document::array>(&source.value);
        if (items == nullptr) {
            report_type(source, path,
                        table == nullptr ? "an array of texts" : "an array of tables");
            return std::nullopt;
        }
        std::vector<flatbuffers::Offset<void>> offsets;
        for (std::size_t i = 0; i < items->size(); ++i) {
            const auto offset =
                encode_referenced(table, (*items)[i], path + "[" + std::to_string(i) + "]");
            if (offset) {
                offsets.emplace_back(*offset);
            }
        }
        return builder.CreateVector(offsets).o;
    }

    /// Encodes a value that is stored outside the table, or reads an inline number.
    std::optional<field_value> read_field(const TypeTable& type, std::size_t index,
                                          const document& source, const std::string& path) {
        field_value value{.index = index, .code = type.type_codes[index]};
        const auto* inner = referenced_type(type, value.code);
        const bool is_referenced = value.code.base_type == flatbuffers::ET_STRING ||
                                   value.code.base_type == flatbuffers::ET_SEQUENCE;
        if (!is_referenced) {
            const auto number = read_number(inner, value.code, source, path);
            value.number = number.value_or(0);
            return number ? std::optional(value) : std::nullopt;
        }
        const auto offset = value.code.is_repeating ? encode_vector(inner, source, path)
                                                    : encode_referenced(inner, source, path);
        value.offset = offset.value_or(0);
        return offset ? std::optional(value) : std::nullopt;
    }

    void add_number(const field_value& value) {
        const auto offset = field_offset(value.index);
        switch (value.code.base_type) {
        case flatbuffers::ET_BOOL:
        case flatbuffers::ET_CHAR:
        case flatbuffers::ET_UCHAR:
            return builder.AddElement(offset, static_cast<std::uint8_t>(value.number));
        case flatbuffers::ET_SHORT:
        case flatbuffers::ET_USHORT:
            return builder.AddElement(offset, static_cast<std::uint16_t>(value.number));
        case flatbuffers::ET_INT:
        case flatbuffers::ET_UINT:
            return builder.AddElement(offset, static_cast<std::uint32_t>(value.number));
        default:
            return builder.AddElement(offset, value.number);
        }
    }

    uoffset_t encode(const TypeTable& type, const document& source, const std::string& path) {
        std::vector<field_value> values;
        const auto* members = std::get_if<document::table>(&source.value);
        if (members == nullptr) {
            report_type(source, path, "a table");
            return builder.EndTable(builder.StartTable());
        }
        for (const auto& member : *members) {
            const std::string member_path = path.empty() ? member.key : path + "." + member.key;
            const auto index = find_name(type, member.key);
            if (!index) {
                report_unknown(type, member, member_path);
                continue;
            }
            if (is_system_field != nullptr && is_system_field(member.key)) {
                report(member.key_location, member_path, "is set by the system", "leave it out");
                continue;
            }
            if (const auto value = read_field(type, *index, member.value, member_path)) {
                values.push_back(*value);
            }
        }
        const auto start = builder.StartTable();
        for (const auto& value : values) {
            if (value.offset != 0) {
                builder.AddOffset(field_offset(value.index),
                                  flatbuffers::Offset<void>(value.offset));
            } else {
                add_number(value);
            }
        }
        return builder.EndTable(start);
    }
};

document decode_number(const TypeTable* enumeration, const TypeCode& code,
                       const flatbuffers::Table& table, voffset_t offset) {
    if (code.base_type == flatbuffers::ET_DOUBLE) {
        return {table.GetField<double>(offset, 0)};
    }
    const auto number = [&]() -> std::int64_t {
        switch (code.base_type) {
        case flatbuffers::ET_BOOL:
        case flatbuffers::ET_UCHAR:
            return table.GetField<std::uint8_t>(offset, 0);
        case flatbuffers::ET_CHAR:
            return table.GetField<std::int8_t>(offset, 0);
        case flatbuffers::ET_SHORT:
            return table.GetField<std::int16_t>(offset, 0);
        case flatbuffers::ET_USHORT:
            return table.GetField<std::uint16_t>(offset, 0);
        case flatbuffers::ET_INT:
            return table.GetField<std::int32_t>(offset, 0);
        case flatbuffers::ET_UINT:
            return table.GetField<std::uint32_t>(offset, 0);
        default:
            return table.GetField<std::int64_t>(offset, 0);
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

document decode_vector(const TypeTable* inner, const flatbuffers::Table& table, voffset_t offset) {
    document::array items;
    if (inner != nullptr) {
        using vector = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::Table>>;
        for (const auto* item : *table.GetPointer<const vector*>(offset)) {
            items.push_back(decode(*inner, *item));
        }
        return {std::move(items)};
    }
    using vector = flatbuffers::Vector<flatbuffers::Offset<flatbuffers::String>>;
    for (const auto* item : *table.GetPointer<const vector*>(offset)) {
        items.emplace_back(item->str());
    }
    return {std::move(items)};
}

document decode_field(const TypeTable& type, std::size_t index, const flatbuffers::Table& table) {
    const auto& code = type.type_codes[index];
    const auto* inner = referenced_type(type, code);
    const auto offset = field_offset(index);
    if (code.is_repeating) {
        return decode_vector(inner, table, offset);
    }
    if (code.base_type == flatbuffers::ET_STRING) {
        return {table.GetPointer<const flatbuffers::String*>(offset)->str()};
    }
    if (code.base_type == flatbuffers::ET_SEQUENCE) {
        return decode(*inner, *table.GetPointer<const flatbuffers::Table*>(offset));
    }
    return decode_number(inner, code, table, offset);
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

std::string encode_table(const TypeTable& type, const document& source, const std::string& path,
                         field_predicate is_system_field, findings& problems) {
    table_encoder encoder{.is_system_field = is_system_field, .problems = problems};
    encoder.builder.Finish(flatbuffers::Offset<void>(encoder.encode(type, source, path)));
    return {reinterpret_cast<const char*>(encoder.builder.GetBufferPointer()),
            encoder.builder.GetSize()};
}

document decode_table(const TypeTable& type, const std::uint8_t* bytes) {
    return decode(type, *flatbuffers::GetRoot<flatbuffers::Table>(bytes));
}

} // namespace cyclamenhatch

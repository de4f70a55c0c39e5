#pragma once

#include "document/document.h"
#include "model/finding.h"

#include <flatbuffers/minireflect.h>
#include <functional>
#include <string>
#include <string_view>

/// Converts between documents and FlatBuffers tables by the type tables that are generated from the
/// schemas, so that field names are not repeated in code. Strings, vectors, enumerations, numbers
/// and nested tables are supported; the schemas read this way use no unions or structs.
namespace cyclamenhatch {

/// Whether a condition holds for the field of this name.
using field_predicate = bool (*)(std::string_view name);

/// The encoded table with the document's values; absent fields take the schema's defaults. Unknown
/// keys, fields for which `is_system_field` holds (null for none), wrong types and numbers out of
/// range are added to `problems`, with paths below `path`.
[[nodiscard]] std::string encode_table(const flatbuffers::TypeTable& type, const document& source,
                                       const std::string& path, field_predicate is_system_field,
                                       findings& problems);

/// All fields that the encoded table holds. Precondition: `bytes` hold a table of this type.
[[nodiscard]] document decode_table(const flatbuffers::TypeTable& type, const std::uint8_t* bytes);

/// Converts the document to an object of the generated type; parameters are those of encode_table.
template <class Message>
[[nodiscard]] Message read_message(const document& source, const std::string& path,
                                   field_predicate is_system_field, findings& problems) {
    using table_type = typename Message::TableType;
    const auto bytes =
        encode_table(*table_type::MiniReflectTypeTable(), source, path, is_system_field, problems);
    Message message;
    flatbuffers::GetRoot<table_type>(bytes.data())->UnPackTo(&message);
    return message;
}

/// All fields of an object of the generated type.
template <class Message> [[nodiscard]] document write_message(const Message& message) {
    using table_type = typename Message::TableType;
    flatbuffers::FlatBufferBuilder builder;
    builder.ForceDefaults(true);
    builder.Finish(table_type::Pack(builder, &message));
    return decode_table(*table_type::MiniReflectTypeTable(), builder.GetBufferPointer());
}

} // namespace cyclamenhatch

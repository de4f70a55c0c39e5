#pragma once

#include "document/document.h"
#include "model/finding.h"

#include <flatbuffers/minireflect.h>
#include <functional>
#include <string>
#include <string_view>

/// Converts between documents and FlatBuffers tables by the type tables that are generated from the
/// schemas, so that no field is named twice. Strings, vectors, enumerations, numbers and tables
/// within tables are supported; unions and structs are not used by the schemas read this way.
namespace cyclamenhatch {

/// Whether a field is one that only the system sets.
using is_system_field = bool (*)(std::string_view name);

/// The encoded table with the document's values; absent fields take the schema's defaults. Unknown
/// keys, wrong types and numbers out of range are added to `found`, with paths below `path`.
[[nodiscard]] std::string encode_table(const flatbuffers::TypeTable& type, const document& from,
                                       const std::string& path, is_system_field is_forbidden,
                                       findings& found);

/// All fields that the encoded table holds. Precondition: `bytes` hold a table of this type.
[[nodiscard]] document decode_table(const flatbuffers::TypeTable& type, const std::uint8_t* bytes);

/// The document as an object of the generated type.
template <class Message>
[[nodiscard]] Message read_message(const document& from, const std::string& path,
                                   is_system_field is_forbidden, findings& found) {
    using table_type = typename Message::TableType;
    const auto bytes =
        encode_table(*table_type::MiniReflectTypeTable(), from, path, is_forbidden, found);
    Message to;
    flatbuffers::GetRoot<table_type>(bytes.data())->UnPackTo(&to);
    return to;
}

/// All fields of an object of the generated type.
template <class Message> [[nodiscard]] document write_message(const Message& from) {
    using table_type = typename Message::TableType;
    flatbuffers::FlatBufferBuilder builder;
    builder.ForceDefaults(true);
    builder.Finish(table_type::Pack(builder, &from));
    return decode_table(*table_type::MiniReflectTypeTable(), builder.GetBufferPointer());
}

} // namespace cyclamenhatch

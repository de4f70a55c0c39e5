#pragma once

#include "cli/environment.h"
#include "document/schema_reader.h"

namespace cyclamenhatch::cli {

/// Resources of several files, whole and checked, and the document that they came from.
struct resource_files {
    document merged;
    resource_set resources;
};

/// JSON when the name ends in .json, else TOML.
[[nodiscard]] result<document> read_document(const environment& around, const std::string& path);

/// Reads and checks the files together; all findings of all files.
[[nodiscard]] result<resource_files> read_resource_files(const environment& around,
                                                         const std::vector<std::string>& paths);

} // namespace cyclamenhatch::cli

#pragma once

#include "cli/environment.h"
#include "document/schema_reader.h"

namespace cyclamenhatch::cli {

/// Checked resources of one or more files, and the merged document that they were read from.
struct resource_files {
    document merged;
    resource_set resources;
};

/// Reads JSON when the name ends in .json or the text begins with a brace, else TOML.
[[nodiscard]] result<document> read_document(const environment& env, const std::string& path);

/// Reads the files and checks them together. Returns the findings of all files that cannot be
/// parsed, else those of the merged resources.
[[nodiscard]] result<resource_files> read_resource_files(const environment& env,
                                                         const std::vector<std::string>& paths);

} // namespace cyclamenhatch::cli

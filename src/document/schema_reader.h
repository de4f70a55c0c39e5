#pragma once

#include "document/document.h"
#include "model/finding.h"
#include "model/resources.h"
#include "resources_generated.h"
#include "settings_generated.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

/// Reads documents into the types generated from the schemas, by the field names and types of the
/// schemas. All unknown keys, wrong types and numbers out of range are reported as findings.
namespace cyclamenhatch {

/// The resources of a document or an API request.
struct resource_set {
    std::vector<service> services;
    std::vector<route> routes;
    std::vector<upstream_version> versions;
    std::vector<move> moves;
    std::vector<workspace> workspaces;
    /// Findings, by position in `moves`, about fields of a move that only the system sets. They
    /// hold unless the move equals the stored one, which only a holder of the configuration can
    /// check.
    std::map<std::size_t, findings> system_field_findings;
};

/// Reads and checks settings: required fields, ranges, addresses. Every sub-table is present in the
/// result, with defaults where the document has none.
[[nodiscard]] result<msg::settings_msg> read_settings(const document& source);

/// Reads resources as an operator writes them: [[service]], [[route]], [[upstream_version]],
/// [[move]] and [[workspace]] tables, or as the API returns them. `operation` is dropped; a
/// `revision` above 0 is kept in the resource as a precondition; the top-level `version` of a
/// listing is ignored. The attempt and the ending of a move give findings; for a move with a
/// revision, these are put in `system_field_findings` instead of being returned.
[[nodiscard]] result<resource_set> read_resources(const document& source);

/// Checks resources together by model/validation.h and gives findings their locations in `source`,
/// the document that the resources were read from. If the resources include any service, they must
/// include every service that another resource names; otherwise the configuration in force decides.
[[nodiscard]] findings check_resources(const document& source, const resource_set& resources);

/// Joins the resources of several documents; values keep their locations. Versions of listings are
/// left out.
[[nodiscard]] document merge_resources(const std::vector<document>& files);

/// All settings with their values, defaults included, in the order of the schema.
[[nodiscard]] document write_settings(const msg::settings_msg& settings);

/// All fields of the resource, those that the system sets included.
[[nodiscard]] document write_resource(const service& resource);
[[nodiscard]] document write_resource(const route& resource);
[[nodiscard]] document write_resource(const upstream_version& resource);
[[nodiscard]] document write_resource(const move& resource);
[[nodiscard]] document write_resource(const workspace& resource);

/// A JSON array of findings: file, line, column, path, problem, remedy.
[[nodiscard]] document write_findings(const findings& problems);

} // namespace cyclamenhatch

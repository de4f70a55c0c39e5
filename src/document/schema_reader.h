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

/// Reads documents into the types of the schemas, guided by the schemas' own field names and types.
/// Unknown keys, wrong types and numbers out of their type's range are findings; all are collected.
namespace cyclamenhatch {

/// Any number of resources, each with the place that it came from, for findings of later checks.
struct resource_set {
    std::vector<service> services;
    std::vector<route> routes;
    std::vector<upstream_version> versions;
    std::vector<move> moves;
    /// By position in `moves`: what is wrong with a move that shows fields only the system sets,
    /// unless it equals the move that is held. Only whoever holds the configuration can tell.
    std::map<std::size_t, findings> shown_moves;
};

/// Reads and checks settings: required fields, ranges, addresses. Every sub-table is present in the
/// result, with defaults where the document leaves one out.
[[nodiscard]] result<msg::settings_msg> read_settings(const document& from);

/// Reads resources as an operator writes them: [[service]], [[route]], [[upstream_version]] and
/// [[move]] tables, or as the API shows them. `operation` is dropped; a `revision` above 0 stays in
/// the resource as a condition; the top-level `version` of a listing is passed over. The attempt
/// and the ending of a move are findings, which a move that carries a revision keeps in
/// `shown_moves`.
[[nodiscard]] result<resource_set> read_resources(const document& from);

/// All that is wrong with resources as a whole, by the checks of model/validation.h, at the places
/// of `from`, the document that `read` was read from. A service that another resource names must be
/// among the resources when any service is; otherwise the configuration in force decides.
[[nodiscard]] findings check_resources(const document& from, const resource_set& read);

/// One document with the resources of several; values keep their places. Versions of listings are
/// left out.
[[nodiscard]] document merge_resources(const std::vector<document>& files);

/// All settings with their values, defaults included, in the order of the schema.
[[nodiscard]] document write_settings(const msg::settings_msg& from);

/// The whole resource with all fields, those the system sets included.
[[nodiscard]] document write_resource(const service& from);
[[nodiscard]] document write_resource(const route& from);
[[nodiscard]] document write_resource(const upstream_version& from);
[[nodiscard]] document write_resource(const move& from);

/// A JSON array of findings: file, line, column, path, problem, remedy.
[[nodiscard]] document write_findings(const findings& found);

} // namespace cyclamenhatch

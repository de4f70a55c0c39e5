#pragma once

#include "model/finding.h"
#include "model/resources.h"
#include "model/snapshot.h"
#include "store/resource_key.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Configuration changes as data, so that a writer can apply them again to a newer configuration
/// when another writer replaced the head first.
namespace cyclamenhatch::store {

/// Holds when `expected` is the version that last wrote the resource; without a value the resource
/// must not exist.
struct precondition {
    resource_key key;
    std::optional<config_version> expected;
};

/// Creates or replaces resources and deletes others, all or nothing.
struct resource_write {
    std::vector<service> services;
    std::vector<route> routes;
    std::vector<upstream_version> versions;
    std::vector<move> moves;
    std::vector<workspace> workspaces;
    std::vector<resource_key> deletes;
    std::vector<precondition> preconditions;
};

/// Ends a move. Refused as a conflict when that attempt already has an ending. An ending of done
/// also sets the service's version to the move's target.
struct move_close {
    service_id service;
    move_id name;
    std::uint32_t attempt = 1;
    move_ending ending;
};

using change = std::variant<resource_write, move_close>;

enum class refusal_kind { invalid, conflict };

struct change_refused {
    refusal_kind kind = refusal_kind::invalid;
    findings problems;
};

/// Returns the sections after the change, with changed resources stamped with `version` and
/// `operation`, or the reasons for refusing it. Sections that do not change keep their pointers.
[[nodiscard]] std::variant<std::map<service_id, section_ptr>, change_refused>
apply_change(const std::map<service_id, section_ptr>& current, const change& requested,
             config_version version, const operation_id& operation);

} // namespace cyclamenhatch::store

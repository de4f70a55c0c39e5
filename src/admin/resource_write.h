#pragma once

#include "admin/api.h"

namespace cyclamenhatch::admin {

/// One request that changes resources. `operation` is the id from the request or a generated one.
struct write_call {
    const api_context& context;
    const api_request& request;
    instant now;
    operation_id operation;
    reply_function reply;
};

/// Handles PUT of one resource: creates or replaces it.
void put_resource(const write_call& call, const store::resource_key& key);

/// Handles DELETE of one resource. For a service with the query whole=1, also deletes its routes,
/// upstream versions and moves.
void delete_resource(const write_call& call, const store::resource_key& key);

/// Handles POST of a resource set as one change; with the query dry_run=1 only checks it.
void apply_resources(const write_call& call);

/// Handles POST that cancels an open move, which is then taken back.
void cancel_move(const write_call& call, const service_id& service, const move_id& name);

} // namespace cyclamenhatch::admin

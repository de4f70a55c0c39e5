#pragma once

#include "admin/api.h"

namespace cyclamenhatch::admin {

/// One request that changes resources, with its operation's id settled.
struct write_call {
    const api_context& context;
    const api_request& request;
    instant now;
    operation_id operation;
    reply_function reply;
};

/// PUT of one resource: creates or replaces it.
void put_resource(const write_call& call, const store::resource_key& key);

/// DELETE of one resource; of a service with the query whole=1, all that refers to it as well.
void delete_resource(const write_call& call, const store::resource_key& key);

/// POST of a whole resource set as one change; with the query dry_run=1 only checks it.
void apply_resources(const write_call& call);

/// POST that has an open move taken back.
void cancel_move(const write_call& call, const service_id& service, const move_id& name);

} // namespace cyclamenhatch::admin

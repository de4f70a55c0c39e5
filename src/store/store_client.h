#pragma once

#include "settings_generated.h"
#include "store/kv.h"

#include <cstdint>
#include <functional>
#include <memory>

/// Carries out requests on the JSON gateway of etcd version 3 over HTTP.
namespace cyclamenhatch::store {

/// Opaque. Pending calls share its ownership.
struct store_client;

struct store_counters {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
    std::uint64_t watches = 0;
    /// Requests that are proven not to have been carried out.
    std::uint64_t not_run = 0;
    /// Requests whose outcome is unknown.
    std::uint64_t unknown = 0;
    std::uint32_t in_flight = 0;
};

/// Creates a client without sending anything. `respond` is called once for each request, and for a
/// watch once for each line of its stream, from threads of the HTTP library's pool. It must not
/// call stop. Precondition: the URL is a valid http or https URL.
[[nodiscard]] std::shared_ptr<store_client>
start_store_client(const msg::store_settings_msg& settings,
                   std::function<void(kv_response)> respond);

/// Sends a request; never blocks and never calls `respond` itself. When too many requests are
/// pending, the answer is not_run. Thread safe.
void execute(store_client& client, const kv_request& request);

/// Cancels all requests. No response is delivered once this has returned. Thread safe.
void stop(store_client& client);

/// Thread safe.
[[nodiscard]] store_counters counters(const store_client& client);

} // namespace cyclamenhatch::store

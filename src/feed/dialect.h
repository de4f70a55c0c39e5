#pragma once

#include "model/finding.h"
#include "model/ids.h"
#include "model/resources.h"
#include "model/time.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Configuration that operators keep in the key-value service in a form of their own, rather than
/// through this product's API.
namespace cyclamenhatch::feed {

/// An operator's order to move a service's calls to another version.
struct move_order {
    service_id service;
    version_id to;
    milliseconds duration{0};
};

enum class record_state { running, done, taken_back };

/// What is recorded about an order, for operators to read and for nodes that start anew.
struct move_record {
    service_id service;
    version_id to;
    /// Names the order that the record is about, so that a record of an earlier one is told apart.
    move_id move;
    record_state state = record_state::running;
    /// When the order was first acted upon, milliseconds since the Unix epoch; 0 when not stated.
    std::int64_t begun_ms = 0;
    std::string reason;

    friend bool operator==(const move_record&, const move_record&) = default;
};

/// Where a deployment's operators keep their configuration, and how it is written there. The
/// functions read no clock and may be called from any thread.
struct dialect {
    /// Key of the document that holds the whole configuration.
    std::string document_key;
    /// Keys of orders start with this, followed by the service's name.
    std::string orders_prefix;
    /// Covers the document and all orders.
    std::string watched_prefix;
    /// Keys of records start with this, followed by the service's name.
    std::string records_prefix;

    /// The services with their routes; no moves.
    std::function<result<std::vector<section>>(std::string_view)> read_document;
    std::function<result<move_order>(std::string_view)> read_order;
    std::function<result<move_record>(std::string_view)> read_record;
    std::function<std::string(const move_record&)> write_record;
};

} // namespace cyclamenhatch::feed

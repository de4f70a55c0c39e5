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

/// Configuration that operators write to the key-value service in their own format, instead of
/// through this product's API.
namespace cyclamenhatch::feed {

/// An operator's order to move a service's calls to another version.
struct move_order {
    service_id service;
    version_id target_version;
    milliseconds duration{0};
};

enum class record_state { running, done, taken_back };

/// Recorded state of an order, read by operators and by nodes that restart.
struct move_record {
    service_id service;
    version_id target_version;
    /// Identifies the order, to distinguish this record from that of an earlier order.
    move_id move;
    record_state state = record_state::running;
    /// When execution of the order started, in milliseconds since the Unix epoch; 0 if unknown.
    std::int64_t started_ms = 0;
    std::string reason;

    friend bool operator==(const move_record&, const move_record&) = default;
};

/// The document with the whole configuration.
struct operators_document {
    /// Raised by the operators with each document; 0 if they state none.
    std::uint64_t version = 0;
    /// The services with their routes, without moves.
    std::vector<section> sections;
    std::vector<workspace> workspaces;
    /// Whether the document lists workspaces, be the list empty.
    bool requires_access_key = false;
    /// Values that were ignored or read with care, without refusing the document.
    findings notices;
    /// Not part of the document: the reader adds them from the items beside it.
    std::vector<data_centre_id> evacuated;
};

/// Keys and codecs of the operators' configuration. The functions read no clock and may be called
/// from any thread.
struct config_format {
    /// Key of the document with the whole configuration.
    std::string document_key;
    /// The key of an order is this prefix followed by the service's name.
    std::string orders_prefix;
    /// The key of a data centre's evacuation is this prefix followed by the data centre's name; its
    /// value is not read. Empty when operators can't write evacuations.
    std::string evacuations_prefix;
    /// Common prefix of the document's key and the keys of all orders and evacuations.
    std::string watched_prefix;
    /// The key of a record is this prefix followed by the service's name.
    std::string records_prefix;

    std::function<result<operators_document>(std::string_view)> read_document;
    std::function<result<move_order>(std::string_view)> read_order;
    std::function<result<move_record>(std::string_view)> read_record;
    std::function<std::string(const move_record&)> write_record;
};

} // namespace cyclamenhatch::feed

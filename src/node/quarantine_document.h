#pragma once

#include "document/document.h"
#include "quarantine/quarantine.h"

#include <cstddef>

namespace cyclamenhatch::node {

/// Held and suspected requests, those with most crashes first, and this node's counters. Lists at
/// most `max_requests`.
[[nodiscard]] document describe_quarantine(const quarantine::state& known, instant now,
                                           std::size_t max_requests = quarantine::max_records);

} // namespace cyclamenhatch::node

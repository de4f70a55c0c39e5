#pragma once

#include "edge/http_message.h"

#include <boost/beast/http.hpp>

#include <cstddef>

/// Builds the head of a request to an upstream.
namespace cyclamenhatch::edge {

/// Sets method, target, headers and framing. `first_bytes` is the size of the body's first piece;
/// `is_whole`: there is no further piece.
void fill_request(boost::beast::http::request<boost::beast::http::buffer_body>& request,
                  const request_head& head, std::size_t first_bytes, bool is_whole);

} // namespace cyclamenhatch::edge

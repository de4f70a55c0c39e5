#pragma once

#include "messages/peer_message.h"
#include "wire/frame_reader.h"
#include "wire/link_health.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

namespace cyclamenhatch::wire {

/// A frame waiting to be written, with the message that it carries while none of it was written.
struct queued_frame {
    std::string bytes;
    outgoing message;
    bool is_link_message = false;
};

/// One TCP connection to another node. Used from the pool's thread only.
struct link {
    explicit link(boost::asio::io_context& context) : socket(context) {}

    boost::asio::ip::tcp::socket socket;
    node_id peer;
    peer_address address;
    bool is_dialled = false;
    bool is_closed = false;
    bool is_writing = false;
    link_times times;
    frame_reader reader;
    std::deque<queued_frame> queue;
    /// Frames at the front of the queue that the write under way covers.
    std::size_t in_write = 0;
    std::size_t queued_bytes = 0;
};

using link_ptr = std::shared_ptr<link>;

} // namespace cyclamenhatch::wire

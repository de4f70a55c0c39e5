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
#include <vector>

namespace cyclamenhatch::wire {

/// A frame waiting to be written, with the message that it carries while none of it was written.
struct queued_frame {
    std::string bytes;
    outgoing message;
};

/// One TCP connection to another node. Used from the pool's thread only.
struct link {
    explicit link(boost::asio::io_context& context) : socket(context) {}

    boost::asio::ip::tcp::socket socket;
    node_id peer;
    peer_address address;
    bool is_dialled = false;
    bool is_closed = false;
    /// Dialled to find out whether another link is silent or its peer is.
    bool is_spare = false;
    /// The peer has sent messages over this link, and over no other since.
    bool is_peers_choice = false;
    /// Of a spare: the link that it was dialled for.
    std::weak_ptr<link> doubted;
    /// The spare that was dialled for this link last.
    std::weak_ptr<link> spare;
    link_times times;
    frame_reader reader;
    /// Hello, pings and pongs; written before the queue, which may hold seconds of a slow link.
    std::deque<std::string> urgent;
    std::deque<queued_frame> queue;
    /// What the write under way covers.
    std::vector<std::string> writing;
    /// The write under way was taken in part only: the socket was full.
    bool is_full = false;
    /// Bytes in urgent, queue and writing.
    std::size_t queued_bytes = 0;
};

using link_ptr = std::shared_ptr<link>;

} // namespace cyclamenhatch::wire

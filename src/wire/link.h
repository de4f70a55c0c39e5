#pragma once

#include "messages/peer_message.h"
#include "wire/frame_reader.h"
#include "wire/link_health.h"
#include "wire/transit_delay.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace cyclamenhatch::wire {

/// A queued frame, with its message so that it can be returned as undelivered.
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
    /// Dialled to test whether another link to the peer is dead or the peer itself is silent.
    bool is_spare = false;
    /// The link over which the peer last sent a message.
    bool is_used_by_peer = false;
    /// For a spare: the link that it was dialled to test.
    std::weak_ptr<link> suspect;
    /// The last spare dialled to test this link.
    std::weak_ptr<link> spare;
    link_times times;
    frame_reader reader;
    transit_delay transit;
    /// Hello, pings, pongs and cancels; written before `queue`, which may take a slow link seconds
    /// to send. A gate that gets a cancel first does not run the call.
    std::deque<queued_frame> urgent;
    std::deque<queued_frame> queue;
    /// Frames of the write in progress.
    std::vector<std::string> writing;
    /// The socket was full and accepted only part of the write in progress.
    bool is_full = false;
    /// Bytes in urgent, queue and writing.
    std::size_t queued_bytes = 0;
};

using link_ptr = std::shared_ptr<link>;

} // namespace cyclamenhatch::wire

#pragma once

#include "edge/upstream_client.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace cyclamenhatch::edge::testing {

inline constexpr std::size_t client_slots = 4;

/// Outcome of an exchange.
struct exchange_result {
    unsigned status = 0;
    std::string body;
    bool is_whole = false;
    bool is_failed = false;
    bool is_not_run = false;
};

/// A client of the upstream that listens on this port of the loopback address.
[[nodiscard]] std::shared_ptr<upstream_client> make_client(boost::asio::io_context& io,
                                                           std::uint16_t port);

/// One request with the header x-id through a client, whose answer is read whole.
struct single_exchange {
    single_exchange(boost::asio::io_context& io, const std::shared_ptr<upstream_client>& client,
                    const std::string& path, answer_match match = {"x-id", "mine"});
    /// A request whose body begins with this piece.
    single_exchange(boost::asio::io_context& io, const std::shared_ptr<upstream_client>& client,
                    const std::string& path, body_piece first, const std::string& method = "POST");

    /// Writes the rest of the body. Precondition: called once, after the first piece was taken.
    void write_last(body_bytes bytes);

    /// Runs the loop until the exchange has ended.
    const exchange_result& wait();

    void take(const body_piece& piece);
    void start(request_head request, body_piece first, answer_match match);

    boost::asio::io_context& context;
    upstream_exchange_ptr exchange;
    exchange_result end;
};

} // namespace cyclamenhatch::edge::testing

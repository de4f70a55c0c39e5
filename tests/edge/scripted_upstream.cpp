#include "scripted_upstream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <memory>
#include <utility>

namespace cyclamenhatch::edge::testing {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

struct session : std::enable_shared_from_this<session> {
    session(tcp::socket accepted, scripted_upstream::script& answers, std::string& seen_ids,
            int number)
        : socket(std::move(accepted)), script(answers), ids(seen_ids) {
        place.connection = number;
    }

    void read_next() {
        asio::async_read_until(socket, asio::dynamic_buffer(buffer), "\r\n\r\n",
                               [self = shared_from_this()](error_code error, std::size_t bytes) {
                                   if (!error) {
                                       self->answer(bytes);
                                   }
                               });
    }

    void answer(std::size_t head_bytes) {
        const auto head = buffer.substr(0, head_bytes);
        buffer.erase(0, head_bytes);
        const std::string field = "x-id: ";
        const auto position = head.find(field);
        place.id.clear();
        if (position != std::string::npos) {
            const auto begin = position + field.size();
            place.id = head.substr(begin, head.find("\r\n", begin) - begin);
        }
        ids += "<" + place.id + ">";
        ++place.request;
        scripted = script(place);
        asio::async_write(socket, asio::buffer(scripted.bytes),
                          [self = shared_from_this()](error_code error, std::size_t) {
                              if (!error) {
                                  self->end();
                              }
                          });
    }

    void end() {
        error_code ignored;
        if (scripted.end == upstream_end::keep) {
            read_next();
            return;
        }
        const bool ends_in_order = scripted.end == upstream_end::shut_down ||
                                   scripted.end == upstream_end::shut_down_and_reset;
        const bool is_reset = scripted.end == upstream_end::reset ||
                              scripted.end == upstream_end::shut_down_and_reset;
        if (ends_in_order) {
            socket.shutdown(tcp::socket::shutdown_send, ignored);
        }
        if (is_reset) {
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        }
        if (scripted.end == upstream_end::shut_down) {
            wait_for_close();
        } else {
            socket.close(ignored);
        }
        if (scripted.on_end) {
            scripted.on_end();
        }
    }

    void wait_for_close() {
        socket.async_wait(tcp::socket::wait_error,
                          [self = shared_from_this()](error_code /*error*/) {});
    }

    tcp::socket socket;
    scripted_upstream::script& script;
    std::string& ids;
    std::string buffer;
    request_place place;
    upstream_script scripted;
};

} // namespace

scripted_upstream::scripted_upstream(asio::io_context& io, script answers)
    : script_(std::move(answers)),
      acceptor_(io, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0)) {
    accept_next();
}

void scripted_upstream::accept_next() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
        if (error) {
            return;
        }
        std::make_shared<session>(std::move(socket), script_, ids_, ++connections_)->read_next();
        accept_next();
    });
}

int scripted_upstream::requests(const std::string& id) const {
    int count = 0;
    const auto text = "<" + id + ">";
    for (auto position = ids_.find(text); position != std::string::npos;
         position = ids_.find(text, position + 1)) {
        ++count;
    }
    return count;
}

} // namespace cyclamenhatch::edge::testing

#pragma once

#include <boost/beast/http/parser.hpp>

/// The parser of all HTTP/1.1 answers that are read with Beast.
namespace cyclamenhatch::net {

/// Whether a field's value goes on in continuation lines. Beast copies the parts of such a value,
/// or passes over an empty first line, so that it does not begin right behind the field's colon.
/// Preconditions: the views are those that Beast passes to basic_parser::on_field_impl.
[[nodiscard]] bool has_continuation(boost::beast::string_view name,
                                    boost::beast::string_view value);

/// Refuses continuation lines in heads and trailers, with bad_obs_fold, as RFC 9112, 5.2, allows a
/// gateway to: other readers take such a line for a field of its own. Not thread safe.
template <class Body> class answer_parser : public boost::beast::http::response_parser<Body> {
private:
    void on_field_impl(boost::beast::http::field field, boost::beast::string_view name,
                       boost::beast::string_view value, boost::beast::error_code& error) override {
        if (has_continuation(name, value)) {
            error = boost::beast::http::error::bad_obs_fold;
            return;
        }
        this->get().insert(field, name, value);
    }
};

} // namespace cyclamenhatch::net

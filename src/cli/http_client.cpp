#include "cli/http_client.h"

#include <algorithm>
#include <cctype>
#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>
#include <system_error>

namespace cyclamenhatch::cli {
namespace {

namespace http = web::http;

constexpr std::chrono::seconds silence_limit{20};

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char each) { return static_cast<char>(std::tolower(each)); });
    return text;
}

http::http_request make_request(const http_call& from) {
    http::http_request to(from.method);
    to.set_request_uri(from.path);
    if (!from.body.empty()) {
        to.set_body(from.body, "application/json");
    }
    for (const auto& [name, value] : from.headers) {
        to.headers()[name] = value;
    }
    return to;
}

http_answer read_head(const http::http_response& from) {
    http_answer to{.status = from.status_code()};
    for (const auto& [name, value] : from.headers()) {
        to.headers[to_lower(name)] = value;
    }
    return to;
}

http::client::http_client make_client(const std::string& node) {
    http::client::http_client_config config;
    config.set_timeout(silence_limit);
    return {web::uri(node), config};
}

/// Whether no connection was made, so that nothing can have been sent.
bool is_connect_failure(const std::error_code& code) {
    return code == std::errc::connection_refused || code == std::errc::host_unreachable ||
           code == std::errc::network_unreachable || code == std::errc::address_not_available ||
           code == std::errc::invalid_argument;
}

http_failure describe(const http::http_exception& error) {
    return {.was_sent = !is_connect_failure(error.error_code()), .reason = error.what()};
}

http_result send(const std::string& node, const http_call& call) {
    try {
        auto client = make_client(node);
        const auto response = client.request(make_request(call)).get();
        auto answer = read_head(response);
        const auto bytes = response.extract_vector().get();
        answer.body.assign(bytes.begin(), bytes.end());
        return answer;
    } catch (const http::http_exception& error) {
        return describe(error);
    } catch (const web::uri_exception& error) {
        return http_failure{.was_sent = false, .reason = error.what()};
    } catch (const std::exception& error) {
        return http_failure{.was_sent = true, .reason = error.what()};
    }
}

/// Hands over whole lines until the stream or the taker ends.
void read_lines(const http::http_response& response, const line_function& on_line) {
    auto body = response.body();
    while (true) {
        concurrency::streams::container_buffer<std::string> line;
        const auto count = body.read_line(line).get();
        const bool is_end = count == 0 && body.is_eof();
        if (is_end || (count > 0 && !on_line(line.collection()))) {
            return;
        }
    }
}

http_result stream(const std::string& node, const http_call& call, const line_function& on_line) {
    pplx::cancellation_token_source ending;
    try {
        auto client = make_client(node);
        const auto response = client.request(make_request(call), ending.get_token()).get();
        auto answer = read_head(response);
        if (answer.status == http::status_codes::OK) {
            read_lines(response, on_line);
        } else {
            const auto bytes = response.extract_vector().get();
            answer.body.assign(bytes.begin(), bytes.end());
        }
        ending.cancel();
        return answer;
    } catch (const http::http_exception& error) {
        return describe(error);
    } catch (const std::exception& error) {
        return http_failure{.was_sent = true, .reason = error.what()};
    }
}

} // namespace

transport make_http_transport() {
    return {.send = send, .stream = stream};
}

} // namespace cyclamenhatch::cli

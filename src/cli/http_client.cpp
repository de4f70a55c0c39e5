#include "cli/http_client.h"

#include <algorithm>
#include <cctype>
#include <cpprest/containerstream.h>
#include <cpprest/http_client.h>
#include <system_error>

namespace cyclamenhatch::cli {
namespace {

namespace http = web::http;

constexpr std::chrono::seconds receive_timeout{20};

std::string to_lower(std::string text) {
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char character) {
        return static_cast<char>(std::tolower(character));
    });
    return text;
}

http::http_request make_request(const http_call& call) {
    http::http_request request(call.method);
    request.set_request_uri(call.path);
    if (!call.body.empty()) {
        request.set_body(call.body, "application/json");
    }
    for (const auto& [name, value] : call.headers) {
        request.headers()[name] = value;
    }
    return request;
}

http_answer read_head(const http::http_response& response) {
    http_answer answer{.status = response.status_code()};
    for (const auto& [name, value] : response.headers()) {
        answer.headers[to_lower(name)] = value;
    }
    return answer;
}

http::client::http_client make_client(const std::string& node) {
    http::client::http_client_config config;
    config.set_timeout(receive_timeout);
    return {web::uri(node), config};
}

/// Whether the connection could not be made, so nothing was sent.
bool is_connect_failure(const std::error_code& code) {
    return code == std::errc::connection_refused || code == std::errc::host_unreachable ||
           code == std::errc::network_unreachable || code == std::errc::address_not_available ||
           code == std::errc::invalid_argument;
}

http_failure to_failure(const http::http_exception& error) {
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
        return to_failure(error);
    } catch (const web::uri_exception& error) {
        return http_failure{.was_sent = false, .reason = error.what()};
    } catch (const std::exception& error) {
        return http_failure{.was_sent = true, .reason = error.what()};
    }
}

/// Passes whole lines to `on_line` until the stream ends or `on_line` returns false.
void read_lines(const http::http_response& response, const line_handler& on_line) {
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

http_result stream(const std::string& node, const http_call& call, const line_handler& on_line) {
    pplx::cancellation_token_source cancellation;
    try {
        auto client = make_client(node);
        const auto response = client.request(make_request(call), cancellation.get_token()).get();
        auto answer = read_head(response);
        if (answer.status == http::status_codes::OK) {
            read_lines(response, on_line);
        } else {
            const auto bytes = response.extract_vector().get();
            answer.body.assign(bytes.begin(), bytes.end());
        }
        cancellation.cancel();
        return answer;
    } catch (const http::http_exception& error) {
        return to_failure(error);
    } catch (const std::exception& error) {
        return http_failure{.was_sent = true, .reason = error.what()};
    }
}

} // namespace

transport make_http_transport() {
    return {.send = send, .stream = stream};
}

} // namespace cyclamenhatch::cli

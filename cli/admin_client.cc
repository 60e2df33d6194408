// Each call opens one connection on its own io_context and runs it to completion. `sent` decides
// whether a failed call may go to the next daemon: once part of a change may have been sent, the
// change may have been accepted, and only a retry with the same change id is safe. That retry is
// left to the operator.
#include "cli/admin_client.h"

#include "http/http_client.h"
#include "http/response_head.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ssl.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/beast/ssl.hpp>

namespace jaynotch {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr std::size_t max_answer_bytes = 64U << 20U;

struct admin_request {
    std::string address;
    std::string method;
    std::string target;
    std::string body;
};

/// The answer of one daemon, or the reason why there is none.
struct admin_answer {
    bool sent = false;                         ///< part of the request may have reached the daemon
    error_kind failure = error_kind::internal; ///< valid if `status` is 0
    std::string detail;
    unsigned status = 0;
    std::string body;
};

template <class Stream>
asio::awaitable<void> exchange(Stream& stream, const admin_request& request, admin_answer& answer)
{
    http::request<http::string_body> message{http::string_to_verb(request.method), request.target,
                                             11};
    message.set(http::field::host, request.address);
    message.set(http::field::connection, "close");
    if (!request.body.empty())
        message.set(http::field::content_type, "application/json");
    message.body() = request.body;
    message.prepare_payload();
    answer.sent = true;
    co_await http::async_write(stream, message, asio::use_awaitable);
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(max_answer_bytes);
    co_await http::async_read_header(stream, buffer, parser, asio::use_awaitable);
    boost::system::error_code broken = check_response_head(parser.get().base());
    if (!broken && is_interim(parser.get().base())) // a daemon sends none
        broken = http::make_error_code(http::error::bad_status);
    if (broken)
        throw boost::system::system_error{broken};
    co_await http::async_read(stream, buffer, parser, asio::use_awaitable);
    answer.status = parser.get().result_int();
    answer.body = std::move(parser.get().body());
}

asio::awaitable<void> plain_call(const admin_request& request, asio::ip::tcp::endpoint to,
                                 std::chrono::milliseconds timeout, admin_answer& answer)
{
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    stream.expires_after(timeout);
    co_await stream.async_connect(to, asio::use_awaitable);
    co_await exchange(stream, request, answer);
}

asio::awaitable<void> tls_call(const admin_request& request, asio::ip::tcp::endpoint to,
                               const cli_options& options, admin_answer& answer)
{
    asio::ssl::context tls{asio::ssl::context::tls_client};
    tls.use_certificate_chain_file(options.certificate);
    tls.use_private_key_file(options.key, asio::ssl::context::pem);
    tls.set_verify_mode(asio::ssl::verify_peer);
    if (options.authority.empty())
        tls.set_default_verify_paths();
    else
        tls.load_verify_file(options.authority);
    beast::ssl_stream<beast::tcp_stream> stream{co_await asio::this_coro::executor, tls};
    beast::get_lowest_layer(stream).expires_after(options.timeout);
    co_await beast::get_lowest_layer(stream).async_connect(to, asio::use_awaitable);
    answer.failure = error_kind::unauthorized; // reported if the handshake fails
    co_await stream.async_handshake(asio::ssl::stream_base::client, asio::use_awaitable);
    co_await exchange(stream, request, answer);
}

/// True if a TLS alert ended the connection. With TLS 1.3 a server that rejects the client's
/// certificate sends the alert after the client's handshake has completed, so the first read fails
/// with it. Such a request was not processed.
bool is_tls_alert(const boost::system::error_code& code)
{
    return code.category() == asio::error::get_ssl_category();
}

asio::awaitable<void> call_once(const admin_request& request, asio::ip::tcp::endpoint to,
                                const cli_options& options, admin_answer& answer)
{
    try {
        if (options.certificate.empty())
            co_await plain_call(request, to, options.timeout, answer);
        else
            co_await tls_call(request, to, options, answer);
    }
    catch (const boost::system::system_error& failure) {
        answer.detail = failure.code().message();
        if (answer.sent && !is_tls_alert(failure.code()))
            answer.failure = error_kind::unavailable;
    }
}

admin_answer call_and_wait(const admin_request& request, asio::ip::tcp::endpoint to,
                           const cli_options& options)
{
    admin_answer answer;
    answer.failure = error_kind::unavailable;
    asio::io_context io;
    asio::co_spawn(io, call_once(request, to, options, answer), asio::detached);
    io.run();
    return answer;
}

/// Converts the JSON error object of a daemon's answer to an `error`.
error error_of(const admin_answer& answer)
{
    boost::system::error_code parse_error;
    const boost::json::value parsed = boost::json::parse(answer.body, parse_error);
    const boost::json::object* body = parse_error ? nullptr : parsed.if_object();
    const boost::json::value* error_value = body == nullptr ? nullptr : body->if_contains("error");
    const boost::json::object* fields = error_value == nullptr ? nullptr : error_value->if_object();
    if (fields == nullptr)
        return {error_kind::protocol,
                "HTTP status " + std::to_string(answer.status) + " without an error object",
                "check that --admin is the admin port of a daemon"};
    const auto text = [&](std::string_view name) {
        const boost::json::value* field = fields->if_contains(name);
        return field != nullptr && field->is_string()
                   ? std::string{std::string_view{field->as_string()}}
                   : std::string{};
    };
    return {from_name<error_kind>(text("kind")).value_or(error_kind::internal), text("message"),
            text("remedy")};
}

result<boost::json::value> value_of(const admin_answer& answer)
{
    if (answer.status < 200 || answer.status > 299)
        return error_of(answer);
    boost::system::error_code parse_error;
    boost::json::value parsed = boost::json::parse(answer.body, parse_error);
    if (parse_error)
        return error{error_kind::protocol, "the daemon's answer is not JSON",
                     "check that --admin is the admin port of a daemon"};
    return parsed;
}

} // namespace

result<boost::json::value> admin_client::get(const std::string& target)
{
    return call("GET", target, "");
}

result<boost::json::value> admin_client::post(const std::string& target,
                                              const boost::json::value& body)
{
    return call("POST", target, boost::json::serialize(body));
}

result<boost::json::value> admin_client::call(const std::string& method, const std::string& target,
                                              const std::string& body)
{
    error last_error{error_kind::unavailable, "no daemon is configured", "set --admin"};
    for (const std::string& address : m_options.admin) {
        BOOST_OUTCOME_TRY(const auto endpoint, parse_endpoint(address));
        const admin_request request{address, method, target, body};
        const admin_answer answer = call_and_wait(request, endpoint, m_options);
        if (answer.status != 0)
            return value_of(answer);
        if (answer.failure == error_kind::unauthorized)
            return error{error_kind::unauthorized, address + ": " + answer.detail,
                         "use a certificate signed by the daemon's --admin_authority"};
        if (answer.sent && method != "GET")
            return error{error_kind::unknown_outcome,
                         address + " did not answer (" + answer.detail + ")",
                         "retry with the same --change_id"};
        last_error = error{error_kind::unavailable, address + ": " + answer.detail,
                           "start the daemon, or set --admin to another one"};
    }
    return last_error;
}

} // namespace jaynotch

#include "standins/standin_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/serializer.hpp>
#include <boost/beast/http/write.hpp>

#include <sstream>

namespace jaynotch {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr std::uint32_t max_header_bytes = 64 * 1024;
constexpr std::uint64_t max_body_bytes = 64 * 1024 * 1024;

constexpr std::string_view end_of_head = "\r\n\r\n";

std::string_view view(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::size_t head_size(const std::string& text)
{
    return text.find(end_of_head) + end_of_head.size();
}

template <class Message>
std::string text_of(const Message& message)
{
    std::ostringstream text;
    text << message;
    return text.str();
}

} // namespace

awaitable<void> standin_sleep(asio::any_io_executor executor, duration step)
{
    timer wait{executor, step};
    error_code ignored;
    co_await wait.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

awaitable<void> shared_link::pass(asio::any_io_executor executor, std::size_t bytes)
{
    const std::chrono::duration<double> taken{static_cast<double>(bytes) / m_bytes_per_s};
    m_free_at =
        std::max(m_free_at, runtime_clock::now()) + std::chrono::duration_cast<duration>(taken);
    co_await standin_sleep(std::move(executor), m_free_at - runtime_clock::now());
}

standin_exchange::standin_exchange(socket_type& socket, request_type request)
    : m_socket{socket}, m_request{std::move(request)}
{}

std::string_view standin_exchange::path() const
{
    const std::string_view target = view(m_request.target());
    return target.substr(0, target.find('?'));
}

std::string standin_exchange::query(std::string_view name) const
{
    const std::string_view target = view(m_request.target());
    const std::size_t query_start = target.find('?');
    if (query_start == std::string_view::npos)
        return {};
    std::string_view rest = target.substr(query_start + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
        if (pair.starts_with(name) && pair.substr(name.size()).starts_with('='))
            return std::string{pair.substr(name.size() + 1)};
    }
    return {};
}

std::string_view standin_exchange::header(std::string_view name) const
{
    const auto found = m_request.find({name.data(), name.size()});
    return found == m_request.end() ? std::string_view{} : view(found->value());
}

void standin_exchange::set(std::string name, std::string value)
{
    m_headers.push_back({std::move(name), std::move(value)});
}

awaitable<void> standin_exchange::answer(http::status status, std::string body,
                                         std::string content_type)
{
    if (m_unframed) {
        const bool begun = co_await begin_chunks(status, content_type);
        if (begun && co_await write_chunk(body))
            co_await finish_chunks();
        co_return;
    }
    http::response<http::string_body> message{status, 11, std::move(body)};
    message.set(http::field::content_type, content_type);
    for (const auto& header : m_headers)
        message.set(header.name, header.value);
    message.keep_alive(m_request.keep_alive());
    message.prepare_payload();
    if (m_bytes_left) {
        std::string text = text_of(message);
        m_head_bytes = head_size(text);
        co_await write_part(std::move(text));
        co_return;
    }
    http::response_serializer<http::string_body> serializer{message};
    const bool in_turns = m_link != nullptr && m_link->in_turns();
    const bool in_chunks = m_link != nullptr && m_link->limited() && !in_turns;
    if (in_turns)
        co_await m_link->pass(m_socket.get_executor(), message.body().size());
    if (in_chunks)
        serializer.limit(shared_link::chunk_bytes);
    error_code ec;
    while (!ec && !serializer.is_done()) {
        const std::size_t written = co_await http::async_write_some(
            m_socket, serializer, asio::redirect_error(asio::use_awaitable, ec));
        if (in_chunks)
            co_await m_link->pass(m_socket.get_executor(), written);
    }
    if (ec)
        cut();
}

awaitable<bool> standin_exchange::write_part(std::string bytes)
{
    const bool ends = bytes.size() >= *m_bytes_left;
    bytes.resize(std::min(bytes.size(), *m_bytes_left));
    *m_bytes_left -= bytes.size();
    error_code ec;
    co_await asio::async_write(m_socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ends && m_reset_at_end)
        m_socket.set_option(asio::socket_base::linger{true, 0}, ec);
    if (ec || ends)
        cut();
    co_return !ec && !ends;
}

awaitable<bool> standin_exchange::write_raw(std::string bytes)
{
    if (m_bytes_left) {
        co_return co_await write_part(std::move(bytes));
    }
    error_code ec;
    co_await asio::async_write(m_socket, asio::buffer(bytes),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        cut();
    co_return !ec;
}

awaitable<bool> standin_exchange::begin_chunks(http::status status, std::string content_type)
{
    http::response<http::empty_body> message{status, 11};
    message.set(http::field::content_type, content_type);
    message.set(http::field::cache_control, "no-store");
    for (const auto& header : m_headers)
        message.set(header.name, header.value);
    message.chunked(!m_unframed);
    message.keep_alive(!m_unframed);
    if (m_bytes_left) {
        std::string text = text_of(message);
        m_head_bytes = head_size(text);
        text.resize(m_head_bytes);
        co_return co_await write_part(std::move(text));
    }
    http::response_serializer<http::empty_body> serializer{message};
    error_code ec;
    co_await http::async_write_header(m_socket, serializer,
                                      asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        cut();
    co_return !ec;
}

awaitable<bool> standin_exchange::write_chunk(std::string bytes)
{
    if (m_unframed)
        co_return co_await write_raw(std::move(bytes));
    if (m_bytes_left) {
        std::ostringstream size;
        size << std::hex << bytes.size() << "\r\n";
        co_return co_await write_part(size.str() + bytes + "\r\n");
    }
    error_code ec;
    co_await asio::async_write(m_socket, http::make_chunk(asio::buffer(bytes)),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        cut();
    co_return !ec;
}

awaitable<bool> standin_exchange::finish_chunks()
{
    if (m_bytes_left && !m_unframed) {
        co_return co_await write_part("0\r\n\r\n");
    }
    error_code ec;
    if (m_unframed) {
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ec);
        cut();
        co_return !ec;
    }
    co_await asio::async_write(m_socket, http::make_chunk_last(),
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec)
        cut();
    co_return !ec;
}

void standin_exchange::cut()
{
    m_cut = true;
    error_code ignored;
    m_socket.close(ignored);
}

bool standin_exchange::client_disconnected()
{
    if (m_cut || !m_socket.is_open())
        return true;
    error_code ec;
    char byte = 0;
    m_socket.non_blocking(true, ec);
    m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, ec);
    return ec && ec != asio::error::would_block;
}

standin_server::standin_server(const asio::any_io_executor& executor, standin_handler handler)
    : m_executor{executor}, m_acceptor{executor}, m_handler{std::move(handler)}
{}

result<std::shared_ptr<standin_server>>
standin_server::listen(const asio::any_io_executor& executor, const std::string& address,
                       standin_handler handler)
{
    BOOST_OUTCOME_TRY(const tcp::endpoint local, parse_endpoint(address));
    std::shared_ptr<standin_server> server{new standin_server{executor, std::move(handler)}};
    BOOST_OUTCOME_TRYV(server->bind(local));
    return server;
}

result<void> standin_server::bind(const tcp::endpoint& local)
{
    error_code ec;
    m_acceptor.open(local.protocol(), ec);
    if (!ec)
        m_acceptor.set_option(tcp::acceptor::reuse_address{true}, ec);
    if (!ec)
        m_acceptor.bind(local, ec);
    if (!ec)
        m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
    if (ec) {
        error_code ignored;
        m_acceptor.close(ignored);
        return error{error_kind::unavailable, "can't listen: " + ec.message(),
                     "choose a free port, or 0 for any"};
    }
    m_local = m_acceptor.local_endpoint();
    m_address = m_local.address().to_string() + ":" + std::to_string(m_local.port());
    asio::co_spawn(m_executor, accept_loop(shared_from_this()), asio::detached);
    return success();
}

void standin_server::stop()
{
    error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& client : m_connections) {
        // Zero linger sends a reset, as for a killed process, so the peer's reads fail at once.
        client->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        client->socket.close(ignored);
    }
}

void standin_server::set_running(bool should_run)
{
    if (should_run)
        restart().value();
    else
        stop();
}

result<void> standin_server::restart()
{
    if (m_acceptor.is_open())
        return success();
    return bind(m_local);
}

awaitable<void> standin_server::accept_loop(std::shared_ptr<standin_server> self)
{
    for (;;) {
        error_code ec;
        tcp::socket socket =
            co_await self->m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, ec));
        if (!self->m_acceptor.is_open())
            co_return;
        if (ec)
            continue;
        error_code ignored;
        socket.set_option(tcp::no_delay{true}, ignored);
        auto client = std::make_shared<connection>(std::move(socket));
        self->m_connections.insert(client);
        asio::co_spawn(self->m_executor, serve(self, client), asio::detached);
    }
}

awaitable<void> standin_server::serve(std::shared_ptr<standin_server> self,
                                      std::shared_ptr<connection> client)
{
    for (;;) {
        http::request_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_body_bytes);
        error_code ec;
        co_await http::async_read(client->socket, client->buffer, parser,
                                  asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            break;
        standin_exchange exchange{client->socket, parser.release()};
        co_await self->m_handler(exchange);
        if (exchange.is_cut() || !exchange.request().keep_alive())
            break;
    }
    error_code ignored;
    client->socket.close(ignored);
    self->m_connections.erase(client);
}

} // namespace jaynotch

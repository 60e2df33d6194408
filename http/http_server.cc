#include "http/http_server.h"

#include "http/session_table.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// Each connection has one coroutine. It waits for the first byte of a request without a parser or
// buffer, so that idle connections use little memory. The header must then arrive within a timeout
// that starts with this byte, which bounds how long a caller that sends single bytes (slow loris)
// can hold a connection.

namespace jaynotch {

namespace {

/// Input beyond a whole header: the rest of the read that completes it.
constexpr std::size_t input_margin = 2 * 1024;
constexpr duration refuse_linger = std::chrono::seconds{2};
constexpr std::size_t accept_backlog = 1024;
/// How long a connection accepted while the listener closes may take to send its request.
constexpr duration backlog_request_wait = std::chrono::milliseconds{200};

refusal header_refusal(boost::system::error_code failed)
{
    if (failed == http::error::header_limit)
        return {.failure = {error_kind::too_large, "the request's header is too large",
                            "send fewer or shorter header lines"},
                .status = http::status::request_header_fields_too_large};
    if (failed == http::error::bad_version)
        return {
            .failure = {error_kind::invalid_argument, "not HTTP/1.0 or HTTP/1.1", "speak HTTP/1.1"},
            .status = http::status::http_version_not_supported};
    return {.failure = {error_kind::invalid_argument,
                        "the request is malformed: " + failed.message(),
                        "send a request as RFC 9112 says"}};
}

refusal header_timeout()
{
    return {.failure = {error_kind::deadline_exceeded, "the request's header did not come",
                        "send the header without pauses"},
            .status = http::status::request_timeout};
}

refusal head_memory_refusal()
{
    return {.failure = {error_kind::overloaded, "no memory is left here for the request's header",
                        "come back after the time in Retry-After, or send fewer header lines"},
            .retry_after = std::chrono::seconds{1}};
}

/// What a request's head takes in memory beyond the part that is allowed for with each request. It
/// is held twice more on its way to a server.
std::size_t counted_bytes(const http::request_header<>& head)
{
    constexpr std::size_t copies = 3;
    constexpr std::size_t line_overhead = 256; ///< allocations of a line in all copies
    constexpr std::size_t usual_bytes = 8 * 1024;
    std::size_t bytes = head.target().size() * copies;
    for (const auto& field : head)
        bytes += (field.name_string().size() + field.value().size()) * copies + line_overhead;
    return bytes > usual_bytes ? bytes - usual_bytes : 0;
}

/// The response to a connection over the limit, sent before anything is read.
std::string connection_limit_answer()
{
    const std::string body = refusal_body(
        {.failure = {error_kind::overloaded, "this node holds as many connections as it may",
                     "come back later, or raise --max_connections"}});
    return "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
           "jaynotch-ran: no\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace

class http_server::impl : public std::enable_shared_from_this<impl> {
public:
    impl(net::io_context& io, http_server_settings settings, http_handler handler)
        : m_acceptor{io}, m_settings{std::move(settings)}, m_handler{std::move(handler)},
          m_sessions{m_settings.limits.closing}
    {}

    result<void> bind(const std::string& address)
    {
        m_settings.memory->on_short(weak_from_this(), [this](time_point now) {
            const bool freed = m_sessions.free_memory(now);
            if (freed)
                report_shortage(now);
            return freed;
        });
        BOOST_OUTCOME_TRY(const tcp::endpoint endpoint, parse_endpoint(address));
        if (m_settings.tls.enabled()) {
            BOOST_OUTCOME_TRY(load_tls());
        }
        boost::system::error_code failed;
        m_acceptor.open(endpoint.protocol(), failed);
        if (!failed)
            m_acceptor.set_option(net::socket_base::reuse_address{true}, failed);
        if (!failed)
            set_buffers(failed);
        if (!failed)
            m_acceptor.bind(endpoint, failed);
        if (!failed)
            m_acceptor.listen(accept_backlog, failed);
        if (failed)
            return error{error_kind::unavailable,
                         "can't listen on " + address + ": " + failed.message(),
                         "give a free port of this VM"};
        return success();
    }

    /// Accepted connections inherit the buffers' sizes, which must be known before the handshake.
    void set_buffers(boost::system::error_code& failed)
    {
        const auto bytes = static_cast<int>(m_settings.limits.socket_buffer_bytes);
        if (bytes == 0)
            return;
        m_acceptor.set_option(net::socket_base::receive_buffer_size{bytes}, failed);
        if (!failed)
            m_acceptor.set_option(net::socket_base::send_buffer_size{bytes}, failed);
    }

    net::awaitable<void> accept_all()
    {
        const auto self = shared_from_this();
        while (m_acceptor.is_open()) {
            boost::system::error_code failed;
            tcp::socket accepted =
                co_await m_acceptor.async_accept(net::redirect_error(net::use_awaitable, failed));
            // A connection accepted just before the listener closed is served.
            if (!failed)
                start_session(std::move(accepted));
            else if (m_acceptor.is_open()) {
                // Accepting fails while the process has no free file descriptors; the pause keeps
                // the loop from spinning.
                timer pause{m_acceptor.get_executor(), std::chrono::milliseconds{50}};
                co_await pause.async_wait(net::redirect_error(net::use_awaitable, failed));
            }
        }
    }

    void start_session(tcp::socket accepted)
    {
        const time_point now = runtime_clock::now();
        const bool full = m_sessions.open() >= m_settings.limits.connections;
        const bool admitted = !full || m_sessions.make_room(now);
        const auto current = std::make_shared<session>();
        current->caller = std::make_shared<connection>(std::move(accepted),
                                                       m_settings.tls.enabled() ? &*m_tls : nullptr,
                                                       m_settings.memory->open());
        current->accepted_at_close = !m_acceptor.is_open();
        m_refused += admitted ? 0 : 1;
        if (full)
            report_shortage(now);
        current->phase = admitted ? session_phase::idle : session_phase::closing;
        current->since = now;
        m_sessions.add(current);
        net::co_spawn(m_acceptor.get_executor(), serve(current, admitted), net::detached);
    }

    /// Logs that connections give way or are refused, at most once a second.
    void report_shortage(time_point now)
    {
        constexpr duration report_interval = std::chrono::seconds{1};
        if (now - m_reported_at < report_interval)
            return;
        m_reported_at = now;
        const given_way ended = m_sessions.take_given_way();
        log_event(log_level::warning, "connections_short",
                  {{"port", m_acceptor.is_open() ? m_acceptor.local_endpoint().port() : 0},
                   {"limit", m_settings.limits.connections},
                   {"closed_idle", ended.idle},
                   {"ended_slow", ended.slow},
                   {"ended_unread", ended.blocked},
                   {"refused", std::exchange(m_refused, 0)}});
    }

    /// Accepts the connections in the listen backlog; closing the listener would reset them.
    std::vector<tcp::socket> accept_backlogged()
    {
        std::vector<tcp::socket> taken;
        boost::system::error_code failed;
        m_acceptor.non_blocking(true, failed);
        while (!failed) {
            tcp::socket accepted{m_acceptor.get_executor()};
            m_acceptor.accept(accepted, failed);
            if (!failed)
                taken.push_back(std::move(accepted));
        }
        return taken;
    }

    net::awaitable<void> serve(std::shared_ptr<session> current, bool admitted)
    {
        const auto self = shared_from_this();
        try {
            co_await serve_connection(current, admitted);
        }
        catch (const std::exception& thrown) {
            log_event(log_level::error, "connection_failed", {{"message", thrown.what()}});
            current->caller->abort();
        }
        m_sessions.remove(current);
    }

    net::awaitable<void> serve_connection(std::shared_ptr<session> current, bool admitted)
    {
        const bool secure = co_await current->caller->handshake(m_settings.timeouts.header);
        if (secure && admitted) {
            co_await serve_requests(current);
        }
        else if (secure) {
            co_await refuse_connection(*current->caller);
        }
        enter(*current, session_phase::closing);
        co_await current->caller->close(refuse_linger);
    }

    void stop_accepting()
    {
        m_keep_alive_disabled = true;
        std::vector<tcp::socket> backlogged = accept_backlogged();
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (tcp::socket& accepted : backlogged)
            start_session(std::move(accepted));
        // Posted, so that reads that have already completed deliver their bytes first.
        net::post(m_acceptor.get_executor(), [self = shared_from_this()] { self->close_idle(); });
    }

    void close_idle()
    {
        for (const auto& current : m_sessions.all()) {
            if (current->phase == session_phase::idle && !current->accepted_at_close &&
                !current->caller->has_input())
                current->caller->close_idle();
        }
    }

    void expire_reads()
    {
        m_keep_alive_disabled = true;
        for (const auto& current : m_sessions.all())
            current->caller->expire_input();
    }

    void abort()
    {
        boost::system::error_code ignored;
        m_acceptor.close(ignored);
        for (const auto& current : m_sessions.all())
            current->caller->abort();
    }

    tcp::acceptor m_acceptor;
    http_server_settings m_settings;
    http_handler m_handler;
    std::optional<net::ssl::context> m_tls;
    session_table m_sessions;
    std::size_t m_refused = 0; ///< connections, since the last report
    time_point m_reported_at;
    bool m_keep_alive_disabled = false;

private:
    result<void> load_tls()
    {
        m_tls.emplace(net::ssl::context::tls_server);
        boost::system::error_code failed;
        m_tls->set_options(net::ssl::context::default_workarounds | net::ssl::context::no_tlsv1 |
                               net::ssl::context::no_tlsv1_1,
                           failed);
        if (!failed)
            m_tls->use_certificate_chain_file(m_settings.tls.certificate, failed);
        if (!failed)
            m_tls->use_private_key_file(m_settings.tls.key, net::ssl::context::pem, failed);
        if (!failed && !m_settings.tls.authority.empty()) {
            m_tls->load_verify_file(m_settings.tls.authority, failed);
            m_tls->set_verify_mode(net::ssl::verify_peer | net::ssl::verify_fail_if_no_peer_cert);
        }
        if (failed)
            return error{error_kind::invalid_argument, "TLS files: " + failed.message(),
                         "give a PEM certificate chain, its key and the authority"};
        return success();
    }

    void enter(session& current, session_phase phase)
    {
        m_sessions.enter(current, phase, runtime_clock::now());
    }

    net::awaitable<void> refuse_connection(connection& caller)
    {
        const std::string text = connection_limit_answer();
        co_await caller.write(m_settings.timeouts.write_stall, net::buffer(text));
    }

    net::awaitable<void> refuse_for_memory(http_exchange& exchange)
    {
        m_settings.memory->note_refused();
        const refusal no_memory = head_memory_refusal();
        co_await exchange.refuse(no_memory);
    }

    /// Waits for the first byte of the next request; false if none arrives.
    net::awaitable<bool> next_request(std::shared_ptr<session> current)
    {
        if (current->caller->input().size() > 0)
            co_return true;
        enter(*current, session_phase::idle);
        current->caller->release_buffers();
        const duration wait =
            current->accepted_at_close ? backlog_request_wait : m_settings.timeouts.idle;
        const input_state arrival = co_await current->caller->wait_for_input(wait);
        co_return arrival == input_state::arrived;
    }

    net::awaitable<void> serve_requests(std::shared_ptr<session> current)
    {
        bool more = true;
        while (more) {
            more = co_await next_request(current);
            if (more) {
                more = co_await serve_request(current);
            }
            current->caller->release_request();
            // The requests of other connections come before further ones in the buffer.
            if (more && current->caller->input().size() > 0)
                co_await net::post(m_acceptor.get_executor(), net::use_awaitable);
        }
    }

    /// Reads one request header and calls the handler; false if the connection is to be closed.
    net::awaitable<bool> serve_request(std::shared_ptr<session> current)
    {
        request_parser parser;
        enter(*current, session_phase::receiving);
        current->caller->limit_input(m_settings.limits.header_bytes + input_margin);
        parser.header_limit(static_cast<std::uint32_t>(m_settings.limits.header_bytes));
        parser.body_limit(m_settings.limits.body_bytes);
        parser.eager(false);
        http_exchange error_exchange{current->caller, parser, m_settings.timeouts, false};
        const time_point deadline = runtime_clock::now() + m_settings.timeouts.header;
        while (!parser.is_header_done()) {
            boost::system::error_code failed;
            auto& input = current->caller->input();
            if (input.size() > 0)
                input.consume(parser.put(input.data(), failed));
            if (parser.is_header_done())
                break;
            if (failed && failed != http::error::need_more) {
                error_exchange.close_after_answer();
                const refusal header_error = header_refusal(failed);
                co_await error_exchange.refuse(header_error);
                co_return false;
            }
            const input_state arrival =
                co_await current->caller->wait_for_input(deadline - runtime_clock::now());
            if (arrival == input_state::timed_out) {
                const refusal timeout_refusal = header_timeout();
                co_await error_exchange.refuse(timeout_refusal);
            }
            if (arrival == input_state::no_memory) {
                co_await refuse_for_memory(error_exchange);
            }
            if (arrival != input_state::arrived)
                co_return false;
        }
        const bool held = co_await current->caller->memory().hold_or_wait(
            m_acceptor.get_executor(), counted_bytes(parser.get()), held_for::head);
        if (!held) {
            co_await refuse_for_memory(error_exchange);
            co_return false;
        }
        parser.eager(true);
        http_exchange exchange{current->caller, parser, m_settings.timeouts,
                               !m_keep_alive_disabled};
        exchange.on_received([this, current] { enter(*current, session_phase::serving); });
        co_await m_handler(exchange);
        exchange.unwatch_caller();
        if (!exchange.answered())
            exchange.cut();
        co_return exchange.keeps_alive() && !m_keep_alive_disabled;
    }
};

http_server::http_server(std::shared_ptr<impl> server_impl) : m_impl{std::move(server_impl)} {}

http_server::~http_server()
{
    m_impl->abort();
}

result<std::unique_ptr<http_server>> http_server::open(net::io_context& io,
                                                       const std::string& address,
                                                       http_server_settings settings,
                                                       http_handler handler)
{
    auto server_impl = std::make_shared<impl>(io, std::move(settings), std::move(handler));
    BOOST_OUTCOME_TRY(server_impl->bind(address));
    return std::unique_ptr<http_server>{new http_server{std::move(server_impl)}};
}

void http_server::start()
{
    net::co_spawn(m_impl->m_acceptor.get_executor(), m_impl->accept_all(), net::detached);
}

void http_server::set_limits(http_timeouts timeouts, http_server_limits limits)
{
    m_impl->m_settings.timeouts = timeouts;
    m_impl->m_settings.limits = limits;
}

void http_server::disable_keep_alive()
{
    m_impl->m_keep_alive_disabled = true;
}

void http_server::stop_accepting()
{
    m_impl->stop_accepting();
}

void http_server::expire_reads()
{
    m_impl->expire_reads();
}

void http_server::abort()
{
    m_impl->abort();
}

std::uint16_t http_server::port() const
{
    boost::system::error_code ignored;
    return m_impl->m_acceptor.local_endpoint(ignored).port();
}

std::size_t http_server::connections() const
{
    return m_impl->m_sessions.size();
}

} // namespace jaynotch

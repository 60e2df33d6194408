// Each node sends on connections that it opened and receives on those that it accepted. So a
// connection carries frames in one direction only, and a peer that stops reading blocks only the
// queue of frames to itself.
//
// In the other direction the receiver sends one byte for each unit of a frame that it has read
// (peers/sent_frames.h). A connection may pass nothing more without being closed, and the kernel at
// the other end, or something in between, may still confirm what is written to it. Only an answer
// of the process shows that it works. If that is missing, the connection is closed and the frames
// are sent again on a new one. So a frame may arrive twice.
//
// Protection against faulty or malicious peers: queues are bounded in frames and bytes; handshakes
// and idle connections time out; the number of inbound connections is limited to `max_inbound`; a
// connection that announces a frame larger than max_frame_bytes is closed; memory for a frame is
// allocated as its units arrive; each frame is passed on with the name in its sender's certificate,
// so that the core can reject a false sender.
#include "peers/transport.h"

#include "peers/frame.h"
#include "peers/frame_queue.h"
#include "peers/sent_frames.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>

namespace jaynotch {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;
using namespace asio::experimental::awaitable_operators;

namespace {

constexpr auto use_result = asio::as_tuple(asio::use_awaitable);
constexpr duration handshake_timeout = std::chrono::seconds{2};
constexpr duration idle_timeout = std::chrono::minutes{4};
/// A peer opens a connection only to send a frame.
constexpr duration first_frame_timeout = std::chrono::seconds{10};
constexpr duration unit_timeout = std::chrono::seconds{30};      ///< of a frame's next unit
constexpr duration key_check_interval = std::chrono::seconds{1}; ///< of the TLS files
/// After new TLS files, inbound connections made with the old ones are closed after this time.
constexpr duration old_connection_grace = std::chrono::seconds{5};
/// Of the kernel, for each connection. Control frames can't overtake what is in it.
constexpr int send_buffer_bytes = 128 << 10;
constexpr std::size_t length_prefix_bytes = 4; ///< of a frame; big-endian
/// A peer that has acknowledged nothing on this many connections in a row loses its frames.
constexpr std::size_t max_unproven_connections = 2;
/// Between two log lines about silent connections.
constexpr duration silence_log_interval = std::chrono::seconds{1};

std::string length_prefix(std::size_t length)
{
    std::string prefix(length_prefix_bytes, '\0');
    for (std::size_t i = 0; i < length_prefix_bytes; ++i)
        prefix[i] = static_cast<char>(length >> (8U * (length_prefix_bytes - 1 - i)));
    return prefix;
}

/// A TCP connection, encrypted with TLS if a TLS context is given.
class channel {
public:
    channel(tcp::socket socket, std::shared_ptr<asio::ssl::context> keys) : m_keys{std::move(keys)}
    {
        if (m_keys == nullptr)
            m_plain.emplace(std::move(socket));
        else
            m_secure.emplace(std::move(socket), *m_keys);
        error_code ignored;
        this->socket().set_option(tcp::no_delay{true}, ignored);
    }

    tcp::socket& socket() { return m_secure ? m_secure->next_layer() : *m_plain; }

    /// Returns true if the peer has a valid certificate with a name, or over plain TCP.
    awaitable<bool> handshake(asio::ssl::stream_base::handshake_type side)
    {
        if (!m_secure)
            co_return true;
        const auto [failed] = co_await m_secure->async_handshake(side, use_result);
        if (failed)
            co_return false;
        m_verified_name = name_in_certificate(m_secure->native_handle());
        co_return !m_verified_name.value().empty();
    }

    awaitable<bool> read(asio::mutable_buffer into)
    {
        if (m_secure) {
            const auto [failed, count] = co_await asio::async_read(*m_secure, into, use_result);
            co_return !failed && count == into.size();
        }
        const auto [failed, count] = co_await asio::async_read(*m_plain, into, use_result);
        co_return !failed && count == into.size();
    }

    /// Returns the number of bytes, at least 1, or 0 after the end of the connection.
    awaitable<std::size_t> read_some(asio::mutable_buffer into)
    {
        if (m_secure) {
            const auto [failed, count] = co_await m_secure->async_read_some(into, use_result);
            co_return failed ? 0 : count;
        }
        const auto [failed, count] = co_await m_plain->async_read_some(into, use_result);
        co_return failed ? 0 : count;
    }

    template <class Buffers>
    awaitable<bool> write(Buffers from)
    {
        if (m_secure) {
            const auto [failed, count] = co_await asio::async_write(*m_secure, from, use_result);
            co_return !failed && count == asio::buffer_size(from);
        }
        const auto [failed, count] = co_await asio::async_write(*m_plain, from, use_result);
        co_return !failed && count == asio::buffer_size(from);
    }

    void close()
    {
        error_code ignored;
        socket().close(ignored);
    }

    [[nodiscard]] const node_id& verified_name() const { return m_verified_name; }

private:
    std::shared_ptr<asio::ssl::context> m_keys;
    std::optional<tcp::socket> m_plain;
    std::optional<asio::ssl::stream<tcp::socket>> m_secure;
    node_id m_verified_name;
};

/// The connection to one peer and the frames that wait for it.
struct outbound_queue {
    explicit outbound_queue(asio::io_context& io) : wake{io} {}
    frame_queue queue;
    sent_frames sent;
    std::deque<sent_frames::frame_ptr> resend; ///< sent before those in `queue`
    timer wake;                                ///< cancelled when a frame is queued or may be sent
    bool retired = false;                      ///< the connection is closed once the queue is empty
    std::size_t unproven = 0; ///< connections in a row on which nothing was acknowledged

    [[nodiscard]] bool may_send() const
    {
        return !sent.full() && (!resend.empty() || !queue.empty());
    }
};

struct peer_key {
    node_id node;
    std::string address;
    friend auto operator<=>(const peer_key&, const peer_key&) = default;
};

} // namespace

class peer_transport::state : public std::enable_shared_from_this<state> {
public:
    state(asio::io_context& io, tcp::acceptor acceptor, std::optional<tls_credentials> keys,
          std::size_t max_inbound)
        : m_io{io}, m_acceptor{std::move(acceptor)}, m_keys{std::move(keys)}, m_key_check_timer{io},
          m_address{to_text(m_acceptor.local_endpoint())}, m_max_inbound{max_inbound}
    {}

    void start()
    {
        asio::co_spawn(m_io, accept_loop(shared_from_this()), asio::detached);
        if (m_keys)
            asio::co_spawn(m_io, refresh_loop(shared_from_this()), asio::detached);
    }

    void send(const node_id& node, const std::string& address, std::string bytes,
              frame_priority priority)
    {
        if (m_stopped)
            return;
        const peer_key key{node, address};
        auto& peer = m_outbound[key];
        if (peer == nullptr) {
            peer = std::make_shared<outbound_queue>(m_io);
            asio::co_spawn(m_io, send_loop(shared_from_this(), key, peer), asio::detached);
        }
        const std::size_t size = bytes.size();
        if (!peer->queue.push(std::move(bytes), priority)) {
            ++m_counters.frames_dropped;
            return;
        }
        m_counters.queued_bytes += size;
        peer->wake.cancel();
    }

    void stop()
    {
        m_stopped = true;
        error_code ignored;
        m_acceptor.close(ignored);
        m_key_check_timer.cancel();
        for (const auto& [key, peer] : m_outbound) {
            peer->retired = true;
            peer->wake.cancel();
        }
        for (const auto& open : m_inbound)
            open->close();
        m_handler = nullptr;
    }

    std::function<void(const node_id&, std::string)> m_handler;
    [[nodiscard]] const std::string& address() const { return m_address; }
    [[nodiscard]] const peer_counters& counters() const { return m_counters; }

private:
    std::shared_ptr<asio::ssl::context> context() { return m_keys ? m_keys->context() : nullptr; }

    awaitable<void> accept_loop(std::shared_ptr<state> keep_alive)
    {
        while (!m_stopped) {
            auto [failed, socket] = co_await m_acceptor.async_accept(use_result);
            if (failed && m_stopped)
                break;
            if (failed) {
                // Probably out of file descriptors. The pause avoids a busy loop.
                timer pause{m_io, std::chrono::milliseconds{100}};
                co_await pause.async_wait(use_result);
                continue;
            }
            if (m_inbound.size() >= m_max_inbound) {
                ++m_counters.peers_refused;
                continue;
            }
            asio::co_spawn(m_io, receive_loop(keep_alive, std::move(socket)), asio::detached);
        }
    }

    awaitable<bool> with_timeout(awaitable<bool> step, duration limit)
    {
        timer deadline{m_io, limit};
        const auto done = co_await (std::move(step) || deadline.async_wait(use_result));
        co_return done.index() == 0 && std::get<0>(done);
    }

    awaitable<void> receive_loop([[maybe_unused]] std::shared_ptr<state> keep_alive,
                                 tcp::socket socket)
    {
        const auto open = std::make_shared<channel>(std::move(socket), context());
        m_inbound.insert(open);
        ++m_counters.connections;
        if (co_await with_timeout(open->handshake(asio::ssl::stream_base::server),
                                  handshake_timeout)) {
            duration longest_wait = first_frame_timeout;
            while (!m_stopped && co_await receive_one(*open, longest_wait))
                longest_wait = idle_timeout;
        }
        else {
            ++m_counters.peers_refused;
        }
        open->close();
        m_inbound.erase(open);
        --m_counters.connections;
    }

    awaitable<bool> receive_one(channel& from, duration longest_wait)
    {
        std::array<unsigned char, length_prefix_bytes> prefix{};
        if (!co_await with_timeout(from.read(asio::buffer(prefix)), longest_wait))
            co_return false;
        std::size_t length = 0;
        for (const unsigned char byte : prefix)
            length = (length << 8U) | byte;
        if (length == 0 || length > max_frame_bytes) {
            ++m_counters.frames_refused;
            co_return false;
        }
        std::string bytes;
        while (bytes.size() < length) {
            const std::size_t begin = bytes.size();
            bytes.resize(std::min(begin + ack_unit_bytes, length));
            const auto unit = asio::buffer(bytes.data() + begin, bytes.size() - begin);
            if (!co_await with_timeout(receive_unit(from, unit), unit_timeout))
                co_return false;
        }
        ++m_counters.frames_received;
        m_counters.bytes_received += length + length_prefix_bytes;
        if (m_handler)
            m_handler(from.verified_name(), std::move(bytes));
        co_return true;
    }

    /// Reads a unit of a frame and acknowledges it.
    static awaitable<bool> receive_unit(channel& from, asio::mutable_buffer unit)
    {
        static constexpr char acknowledgement = '\0';
        co_return co_await from.read(unit) &&
            co_await from.write(asio::const_buffer{&acknowledgement, sizeof acknowledgement});
    }

    awaitable<bool> connect(tcp::socket& socket, tcp::endpoint endpoint)
    {
        const auto [failed] = co_await socket.async_connect(endpoint, use_result);
        co_return !failed;
    }

    awaitable<std::shared_ptr<channel>> open(const peer_key& key)
    {
        const auto endpoint = parse_endpoint(key.address);
        if (!endpoint)
            co_return nullptr;
        tcp::socket socket{m_io};
        if (!co_await with_timeout(connect(socket, endpoint.value()), handshake_timeout))
            co_return nullptr;
        error_code ignored;
        socket.set_option(tcp::socket::send_buffer_size{send_buffer_bytes}, ignored);
        auto opened = std::make_shared<channel>(std::move(socket), context());
        if (!co_await with_timeout(opened->handshake(asio::ssl::stream_base::client),
                                   handshake_timeout)) {
            ++m_counters.peers_refused;
            co_return nullptr;
        }
        // Another node has this address now and must not get frames for the intended one.
        if (m_keys && !key.node.value().empty() && opened->verified_name() != key.node) {
            ++m_counters.peers_refused;
            co_return nullptr;
        }
        co_return opened;
    }

    awaitable<void> send_loop([[maybe_unused]] std::shared_ptr<state> keep_alive, peer_key key,
                              std::shared_ptr<outbound_queue> peer)
    {
        while (const std::shared_ptr<channel> opened = co_await open(key)) {
            ++m_counters.connections;
            ++peer->unproven;
            co_await (send_queued(*opened, *peer) || receive_acknowledgements(*opened, *peer));
            opened->close();
            --m_counters.connections;
            if (peer->sent.is_overdue(runtime_clock::now()))
                note_silence(key);
            m_counters.frames_dropped += peer->resend.size();
            peer->resend = peer->sent.take_for_resend();
            const bool again = peer->may_send() && peer->unproven < max_unproven_connections;
            if (m_stopped || peer->retired || !again)
                break;
            m_counters.frames_resent += peer->resend.size();
        }
        m_counters.frames_dropped += peer->queue.frames() + peer->resend.size();
        m_counters.queued_bytes -= peer->queue.bytes();
        const auto found = m_outbound.find(key);
        if (found != m_outbound.end() && found->second == peer)
            m_outbound.erase(found);
    }

    void note_silence(const peer_key& key)
    {
        ++m_counters.connections_silent;
        const time_point now = runtime_clock::now();
        if (now - m_silence_logged_at < silence_log_interval)
            return;
        m_silence_logged_at = now;
        log_event(log_level::info, "peer_connection_silent",
                  {{"node", key.node.value()},
                   {"address", key.address},
                   {"count", m_counters.connections_silent}});
    }

    /// Completes when the peer closes the connection.
    awaitable<void> receive_acknowledgements(channel& opened, outbound_queue& peer)
    {
        std::array<char, 64> units{};
        for (;;) {
            const std::size_t count = co_await opened.read_some(asio::buffer(units));
            if (count == 0)
                co_return;
            const bool was_full = peer.sent.full();
            peer.sent.acknowledge(count, runtime_clock::now());
            peer.unproven = 0;
            if (was_full)
                peer.wake.cancel();
        }
    }

    /// Completes when the connection is idle or silent, or must be closed.
    awaitable<void> send_queued(channel& opened, outbound_queue& peer)
    {
        while (!m_stopped) {
            if (!peer.may_send()) {
                if (peer.retired || !co_await wait_until_sendable(peer))
                    co_return;
                continue;
            }
            const sent_frames::frame_ptr frame = next_frame(peer);
            peer.sent.add(frame, runtime_clock::now());
            const std::string prefix = length_prefix(frame->size());
            const std::array buffers{asio::buffer(prefix), asio::buffer(*frame)};
            const auto written = co_await (opened.write(buffers) || until_overdue(peer));
            if (written.index() != 0 || !std::get<0>(written))
                co_return;
            ++m_counters.frames_sent;
            m_counters.bytes_sent += prefix.size() + frame->size();
        }
    }

    sent_frames::frame_ptr next_frame(outbound_queue& peer)
    {
        if (!peer.resend.empty()) {
            sent_frames::frame_ptr frame = std::move(peer.resend.front());
            peer.resend.pop_front();
            return frame;
        }
        auto frame = std::make_shared<const std::string>(peer.queue.pop());
        m_counters.queued_bytes -= frame->size();
        return frame;
    }

    /// False if the connection is idle or silent.
    static awaitable<bool> wait_until_sendable(outbound_queue& peer)
    {
        const time_point idle_at = runtime_clock::now() + idle_timeout / 2;
        while (!peer.may_send()) {
            peer.wake.expires_at(std::min(peer.sent.overdue_at(), idle_at));
            const auto [cancelled] = co_await peer.wake.async_wait(use_result);
            if (cancelled)
                co_return true;
            const time_point now = runtime_clock::now();
            if (peer.sent.is_overdue(now) || now >= idle_at)
                co_return false;
        }
        co_return true;
    }

    /// Completes when the peer has acknowledged nothing for too long.
    awaitable<void> until_overdue(const outbound_queue& peer)
    {
        timer check{m_io};
        while (!peer.sent.is_overdue(runtime_clock::now())) {
            check.expires_at(peer.sent.overdue_at());
            const auto [cancelled] = co_await check.async_wait(use_result);
            if (cancelled)
                co_return;
        }
    }

    /// Reloads the TLS files when they change. Connections made with the old ones are closed after
    /// a grace period, so that no peer stays connected with revoked credentials.
    awaitable<void> refresh_loop([[maybe_unused]] std::shared_ptr<state> keep_alive)
    {
        while (!m_stopped) {
            m_key_check_timer.expires_after(key_check_interval);
            co_await m_key_check_timer.async_wait(use_result);
            if (m_stopped || !m_keys->refresh())
                continue;
            for (const auto& [key, peer] : m_outbound) {
                peer->retired = true;
                peer->wake.cancel();
            }
            m_outbound.clear();
            const auto old = m_inbound;
            m_key_check_timer.expires_after(old_connection_grace);
            co_await m_key_check_timer.async_wait(use_result);
            for (const auto& connection : old)
                connection->close();
        }
    }

    asio::io_context& m_io;
    tcp::acceptor m_acceptor;
    std::optional<tls_credentials> m_keys;
    timer m_key_check_timer;
    std::string m_address;
    std::size_t m_max_inbound;
    std::map<peer_key, std::shared_ptr<outbound_queue>> m_outbound;
    std::set<std::shared_ptr<channel>> m_inbound;
    peer_counters m_counters;
    time_point m_silence_logged_at{};
    bool m_stopped = false;
};

result<std::unique_ptr<peer_transport>> peer_transport::create(asio::io_context& io,
                                                               transport_settings settings)
{
    BOOST_OUTCOME_TRY(const auto endpoint, parse_endpoint(settings.listen));
    std::optional<tls_credentials> keys;
    if (settings.tls.empty()) {
        log_event(log_level::warning, "peer_plain_tcp",
                  {{"remedy", "configure the peer TLS files; without them any process that can "
                              "reach the port is accepted as a peer"}});
    }
    else {
        BOOST_OUTCOME_TRY(keys, tls_credentials::load(settings.tls));
    }
    tcp::acceptor acceptor{io};
    error_code failed;
    acceptor.open(endpoint.protocol(), failed);
    if (!failed)
        acceptor.set_option(tcp::acceptor::reuse_address{true}, failed);
    if (!failed)
        acceptor.bind(endpoint, failed);
    if (!failed)
        acceptor.listen(asio::socket_base::max_listen_connections, failed);
    if (failed) {
        return error{error_kind::unavailable,
                     "can't listen for peers on " + settings.listen + ": " + failed.message(),
                     "choose a free port with --peer_listen"};
    }
    auto shared_state =
        std::make_shared<state>(io, std::move(acceptor), std::move(keys), settings.max_inbound);
    shared_state->start();
    return std::unique_ptr<peer_transport>{new peer_transport{std::move(shared_state)}};
}

peer_transport::peer_transport(std::shared_ptr<state> shared_state)
    : m_state{std::move(shared_state)}
{}

peer_transport::~peer_transport()
{
    m_state->stop();
}

void peer_transport::on_frame(std::function<void(const node_id&, std::string)> handler)
{
    m_state->m_handler = std::move(handler);
}

void peer_transport::send(const node_id& node, const std::string& address, std::string bytes,
                          frame_priority priority)
{
    m_state->send(node, address, std::move(bytes), priority);
}

void peer_transport::stop()
{
    m_state->stop();
}

const std::string& peer_transport::address() const
{
    return m_state->address();
}

const peer_counters& peer_transport::counters() const
{
    return m_state->counters();
}

} // namespace jaynotch

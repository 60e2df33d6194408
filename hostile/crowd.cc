#include "hostile/crowd.h"

#include "base/base.h"

#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>

// The end of an operation is seen by nothing happening for `quiet_ms`. That only delays a test on a
// slow machine; no result depends on it as long as a daemon that can go on does so within that
// time.

namespace jaynotch {

namespace {

constexpr int quiet_ms = 1'500;

sockaddr_in endpoint_of(const std::string& text)
{
    const auto endpoint = parse_endpoint(text).value();
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(endpoint.port());
    made.sin_addr.s_addr = htonl(endpoint.address().to_v4().to_uint());
    return made;
}

} // namespace

crowd::crowd(const std::string& address, std::size_t count) : m_clients(count)
{
    for (client& one : m_clients)
        connect(one, address);
    // One that is not accepted stays as it is; its bytes wait in the kernel.
    (void)wait(1, false);
}

crowd::~crowd()
{
    for (client& one : m_clients)
        close(one);
}

void crowd::connect(client& one, const std::string& address)
{
    const sockaddr_in endpoint = endpoint_of(address);
    one.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (one.socket < 0)
        return;
    const int failed =
        ::connect(one.socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint);
    if (failed != 0 && errno != EINPROGRESS)
        close(one);
}

void crowd::close(client& one)
{
    if (one.socket >= 0)
        ::close(one.socket);
    one.socket = -1;
}

void crowd::send_all(std::string_view text)
{
    push(text, text.size());
}

void crowd::push(std::string_view piece, std::size_t max_bytes)
{
    for (client& one : m_clients)
        one.sent = 0;
    do {
        for (client& one : m_clients)
            send_some(one, piece, max_bytes);
    } while (wait(max_bytes, false));
}

void crowd::send_some(client& one, std::string_view piece, std::size_t max_bytes)
{
    while (one.socket >= 0 && one.sent < max_bytes) {
        const std::string_view rest = piece.substr(one.sent % piece.size(), max_bytes - one.sent);
        const ssize_t sent = ::send(one.socket, rest.data(), rest.size(), MSG_NOSIGNAL);
        if (sent > 0) {
            one.sent += static_cast<std::size_t>(sent);
            continue;
        }
        const bool waits = errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
        if (!waits)
            close(one);
        break;
    }
}

void crowd::read_some(client& one, std::string& text)
{
    std::array<char, 16 * 1024> buffer{};
    while (one.socket >= 0) {
        const ssize_t got = recv(one.socket, buffer.data(), buffer.size(), 0);
        if (got > 0) {
            text.append(buffer.data(), static_cast<std::size_t>(got));
            continue;
        }
        const bool waits =
            got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN);
        if (!waits)
            close(one);
        break;
    }
}

bool crowd::wait(std::size_t max_bytes, bool for_reading)
{
    std::vector<pollfd> polled;
    for (const client& one : m_clients) {
        const short writes = one.sent < max_bytes ? POLLOUT : 0;
        const short events = static_cast<short>(writes | (for_reading ? POLLIN : 0));
        if (one.socket >= 0 && events != 0)
            polled.push_back({one.socket, events, 0});
    }
    return !polled.empty() && poll(polled.data(), polled.size(), quiet_ms) > 0;
}

void crowd::read_arrived()
{
    do {
        for (client& one : m_clients) {
            std::string dropped;
            read_some(one, dropped);
        }
    } while (wait(0, true));
}

std::size_t crowd::exchange(std::string_view requests, std::string_view mark,
                            const std::function<bool()>& done)
{
    std::vector<std::string> received(m_clients.size());
    std::size_t marks = 0;
    do {
        for (std::size_t at = 0; at < m_clients.size(); ++at) {
            send_some(m_clients[at], requests, requests.size());
            std::string& text = received[at];
            read_some(m_clients[at], text);
            std::size_t from = 0;
            for (std::size_t found = text.find(mark); found != std::string::npos;
                 found = text.find(mark, from)) {
                ++marks;
                from = found + mark.size();
            }
            // What may be the beginning of the next mark stays.
            text.erase(0, std::max(from, text.size() - std::min(text.size(), mark.size() - 1)));
        }
    } while (!done() && wait(requests.size(), true));
    return marks;
}

} // namespace jaynotch

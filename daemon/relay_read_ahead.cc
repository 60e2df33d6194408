#include "daemon/relay_way.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// What a request holds in memory, see held_memory.h.
//
// A stream is passed on by one coroutine that reads a part and writes it. While the caller takes
// nothing, that coroutine waits in its write and the server's answer stays unread; a server cuts it
// off after some seconds. So if a write is still pending when the daemon looks for slow callers, a
// second coroutine reads ahead until the first one goes on.
//
// At most one of the two reads at a time: next_part() doesn't read while the other does, and takes
// the parts in the order in which they were read. A failure is a part as well, so it takes effect
// after everything that was read before it. When the first coroutine ends, its http_stream closes
// the connection unless the answer was read to its end, which ends a pending read.

namespace jaynotch {

namespace {

constexpr std::size_t max_ahead_bytes = 256 * 1024; // of one answer
constexpr std::size_t max_part_bytes = 16 * 1024;   // of one read
constexpr std::chrono::milliseconds memory_poll_interval{20};
/// Copies of a body: one to send again, one on its way to a server.
constexpr std::size_t body_copies = 2;

} // namespace

net::awaitable<result<std::string>> read_held_body(relay_services& services,
                                                   http_exchange& exchange, std::size_t limit)
{
    const std::size_t announced = exchange.content_length().value_or(0);
    const bool too_large = announced > limit;
    const bool granted =
        too_large || co_await exchange.memory().may_hold_or_wait(
                         exchange.executor(), body_copies * announced, held_for::body);
    result<std::string> body = no_memory_for_body();
    if (granted) {
        body = co_await exchange.read_body(limit, body_copies);
    }
    else {
        exchange.close_after_answer(); // its body has not been read
    }
    if (!body && body.error().kind == error_kind::overloaded) {
        services.memory->note_refused();
        if (services.memory->report_due(runtime_clock::now()))
            log_event(log_level::warning, "memory_short",
                      {{"held", services.memory->counts().bytes},
                       {"budget", services.memory->counts().budget},
                       {"announced", announced},
                       {"refused", services.memory->counts().refused}});
    }
    co_return body;
}

net::awaitable<bool> relay_request::impl::hold_answer(attempt_state& attempt, std::size_t bytes)
{
    if (m_exchange.memory().hold(bytes, held_for::answer))
        co_return true;
    m_services.memory->note_paused();
    timer poll{m_services.io};
    do {
        poll.expires_after(memory_poll_interval);
        boost::system::error_code ignored;
        co_await poll.async_wait(net::redirect_error(net::use_awaitable, ignored));
        if (attempt.cancelled)
            co_return false;
        m_services.memory->reclaim(runtime_clock::now());
    } while (!m_exchange.memory().hold(bytes, held_for::answer));
    co_return true;
}

net::awaitable<result<std::string>> relay_request::impl::next_part(attempt_state& attempt,
                                                                   http_stream& answer)
{
    parts_ahead& ahead = attempt.ahead;
    while (ahead.parts.empty() && ahead.reading) {
        boost::system::error_code ignored;
        co_await ahead.changed->async_wait(net::redirect_error(net::use_awaitable, ignored));
    }
    if (ahead.parts.empty()) {
        ahead.reading_directly = true;
        result<std::string> read = co_await answer.read(max_read_wait);
        ahead.reading_directly = false;
        co_return read;
    }
    result<std::string> part = std::move(ahead.parts.front());
    ahead.parts.pop_front();
    if (part) {
        ahead.bytes -= part.value().size();
        m_exchange.memory().release(part.value().size());
    }
    co_return part;
}

void relay_request::impl::start_reading_ahead(const attempt_ptr& attempt)
{
    parts_ahead& ahead = attempt->ahead;
    const bool being_read = ahead.reading || ahead.reading_directly;
    if (!attempt->may_read_ahead || attempt->stream == nullptr || being_read || ahead.ended)
        return;
    if (!ahead.changed)
        ahead.changed.emplace(m_services.io, time_point::max());
    ahead.reading = true;
    ++m_running_attempts;
    net::co_spawn(m_services.io, read_ahead(attempt), net::detached);
}

net::awaitable<void> relay_request::impl::read_ahead(attempt_ptr attempt)
{
    const auto self = shared_from_this();
    parts_ahead& ahead = attempt->ahead;
    while (attempt->stream != nullptr && !attempt->cancelled && !ahead.ended &&
           m_write_turns.busy()) {
        if (ahead.bytes + max_part_bytes > max_ahead_bytes ||
            !m_exchange.memory().hold(max_part_bytes, held_for::read_ahead))
        {
            m_services.memory->note_paused();
            break;
        }
        result<std::string> part = error{error_kind::internal, "reading ahead failed", ""};
        try {
            part = co_await attempt->stream->read(max_read_wait);
        }
        catch (const std::exception& thrown) {
            log_event(log_level::error, "read_ahead_failed", {{"message", thrown.what()}});
        }
        const std::size_t bytes = part ? std::min(part.value().size(), max_part_bytes) : 0;
        m_exchange.memory().release(max_part_bytes - bytes);
        ahead.ended = bytes == 0;
        ahead.bytes += bytes;
        ahead.parts.push_back(std::move(part));
        ahead.changed->cancel();
    }
    ahead.reading = false;
    ahead.changed->cancel();
    --m_running_attempts;
    m_attempt_ended.cancel();
}

} // namespace jaynotch

#include "soak/soak_callers.h"

#include "http/http_client.h"
#include "standins/platform_forms.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jaynotch {

namespace asio = boost::asio;

namespace {

/// Beyond the route's timeout, so that a request that is never answered shows.
constexpr duration patience = std::chrono::seconds{7};
constexpr std::int64_t longest_pause_ms = 120; ///< of a caller between two requests

asked_kind draw_kind(random_source& random)
{
    constexpr double streams = 0.5;
    constexpr double orders = 0.25;
    const double drawn = random.unit();
    if (drawn < streams)
        return asked_kind::stream;
    return drawn < streams + orders ? asked_kind::order : asked_kind::read;
}

std::string_view path_of(asked_kind kind)
{
    switch (kind) {
    case asked_kind::stream:
        return "/chat/1";
    case asked_kind::order:
        return "/order/1";
    case asked_kind::read:
        break;
    }
    return "/read/1";
}

http_request to_http(const asked_request& asked)
{
    const bool reads = asked.kind == asked_kind::read;
    const bool streams = asked.kind == asked_kind::stream;
    return caller_request({asked.id, std::string{path_of(asked.kind)},
                           "key-" + std::to_string(asked.key_version),
                           reads ? std::string{} : "body of " + asked.id, streams});
}

} // namespace

void soak_callers::start(std::size_t count)
{
    for (std::size_t caller = 0; caller < count; ++caller) {
        ++m_running;
        asio::co_spawn(m_io, run(caller), [this](std::exception_ptr failed) {
            --m_running;
            if (failed)
                std::rethrow_exception(failed);
        });
    }
}

asio::awaitable<void> soak_callers::run(std::size_t caller)
{
    std::vector<http_client> clients;
    for (const soak_daemon& one : m_site.daemons())
        clients.emplace_back(m_io.get_executor(), one.listen, http_limits{});
    while (!m_stopped) {
        const std::size_t daemon = m_random.index(clients.size());
        co_await ask(caller, daemon, clients[daemon]);
        const std::chrono::milliseconds pause{m_random.between(1, longest_pause_ms)};
        co_await standin_sleep(m_io.get_executor(), pause);
    }
}

asio::awaitable<void> soak_callers::ask(std::size_t caller, std::size_t daemon, http_client& client)
{
    asked_request asked;
    asked.id = "c" + std::to_string(caller) + "-" + std::to_string(++m_last);
    asked.kind = draw_kind(m_random);
    asked.node = m_site.daemons()[daemon].name;
    // Mostly the newest key; sometimes one that has ended or is about to.
    constexpr double old_key = 0.15;
    const std::int64_t newest = m_site.version();
    const std::int64_t back = m_random.chance(old_key) ? m_random.between(1, 3) : 0;
    asked.key_version = std::max<std::int64_t>(1, newest - back);
    asked.most_servers = asked.kind == asked_kind::order ? 1 : repeatable_attempts;
    asked.sent = runtime_clock::now();
    m_book.asked(asked);
    const result<http_response> got = co_await client.call(to_http(asked), patience);
    m_site.note_runs();
    seen_answer answer;
    if (got) {
        answer.status = static_cast<std::uint32_t>(got.value().status);
        answer.id = answered_request_id(got.value());
        answer.body = got.value().body;
    }
    m_book.answered(asked.id, std::move(answer), runtime_clock::now());
}

} // namespace jaynotch

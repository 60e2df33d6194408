#include "soak/soak_callers.h"

#include "base/parse_number.h"
#include "http/http_client.h"
#include "standins/platform_forms.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace jaynotch {

namespace asio = boost::asio;

namespace {

/// Longer than the route's timeout, so that a request that the daemon never answers is detected.
constexpr duration caller_timeout = std::chrono::seconds{7};
constexpr std::int64_t max_pause_ms = 120;                    ///< between two requests of a caller
constexpr duration stream_deadline = std::chrono::seconds{6}; ///< of those that send at a rate
constexpr duration plain_deadline = std::chrono::milliseconds{1'500};
/// With less, a request is not sent again.
constexpr duration min_time_left = std::chrono::milliseconds{100};

caller_request_kind draw_kind(random_source& random)
{
    constexpr double streams = 0.5;
    constexpr double orders = 0.25;
    const double drawn = random.unit();
    if (drawn < streams)
        return caller_request_kind::stream;
    return drawn < streams + orders ? caller_request_kind::order : caller_request_kind::read;
}

std::string_view path_of(caller_request_kind kind)
{
    switch (kind) {
    case caller_request_kind::stream:
        return "/chat/1";
    case caller_request_kind::order:
        return "/order/1";
    case caller_request_kind::read:
        break;
    }
    return "/read/1";
}

http_request to_http(const request_record& request, duration deadline, std::string model)
{
    const bool reads = request.kind == caller_request_kind::read;
    const bool streams = request.kind == caller_request_kind::stream;
    return caller_request({request.id, std::string{path_of(request.kind)},
                           "key-" + std::to_string(request.key_version),
                           reads ? std::string{} : "body of " + request.id, streams,
                           std::move(model),
                           std::chrono::duration_cast<std::chrono::milliseconds>(deadline)});
}

/// How long to wait before the request is sent again; nullopt if it may not be.
std::optional<duration> time_to_retry_after(const result<http_response>& response,
                                            caller_request_kind kind, duration left)
{
    constexpr int max_wait_divisor = 3; // of the time left
    if (!response)
        return kind == caller_request_kind::order ? std::nullopt : std::optional{duration{0}};
    if (response.value().status != boost::beast::http::status::service_unavailable)
        return std::nullopt;
    const auto stated = parse_number<double>(response.value().header("Retry-After"));
    const duration wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{stated.value_or(0.0)});
    return std::min(wait, left / max_wait_divisor);
}

} // namespace

void soak_callers::start(std::size_t count)
{
    for (std::size_t caller = 0; caller < count; ++caller)
        spawn(run(caller));
}

void soak_callers::start_at_rate(double per_s)
{
    spawn(send_at_rate(per_s));
}

template <class Caller>
void soak_callers::spawn(Caller caller)
{
    ++m_running;
    asio::co_spawn(m_io, std::move(caller), [this](std::exception_ptr failed) {
        --m_running;
        if (failed)
            std::rethrow_exception(failed);
    });
}

asio::awaitable<void> soak_callers::run(std::size_t caller)
{
    std::vector<http_client> clients;
    for (const soak_daemon& daemon : m_site.daemons())
        clients.emplace_back(m_io.get_executor(), daemon.listen, http_limits{});
    while (!m_stopped) {
        const std::size_t daemon = m_random.index(clients.size());
        request_record request = draw_request("c" + std::to_string(caller));
        request.node = m_site.daemons()[daemon].name;
        co_await send_request(std::move(request), clients[daemon], usual_timeout, true);
        const std::chrono::milliseconds pause{m_random.between(1, max_pause_ms)};
        co_await standin_sleep(m_io.get_executor(), pause);
    }
}

asio::awaitable<void> soak_callers::send_at_rate(double per_s)
{
    constexpr std::size_t kept_connections = 64;
    http_limits limits;
    limits.idle_connections = kept_connections;
    limits.connect_timeout = std::chrono::seconds{1};
    std::vector<http_client> clients;
    for (const soak_daemon& daemon : m_site.daemons())
        clients.emplace_back(m_io.get_executor(), daemon.listen, limits);
    std::size_t begun = 0;
    const time_point start = runtime_clock::now();
    while (!m_stopped) {
        // The rate is kept, also when this loop was held up.
        const double due =
            per_s * std::chrono::duration<double>{runtime_clock::now() - start}.count();
        for (; static_cast<double>(begun) < due; ++begun)
            spawn(send_with_retry(clients));
        co_await standin_sleep(m_io.get_executor(), std::chrono::milliseconds{1});
    }
    while (m_running > 1)
        co_await standin_sleep(m_io.get_executor(), std::chrono::milliseconds{1});
}

asio::awaitable<void> soak_callers::send_with_retry(std::vector<http_client>& clients)
{
    request_record request = draw_request("r");
    const duration deadline =
        request.kind == caller_request_kind::stream ? stream_deadline : plain_deadline;
    const time_point until = runtime_clock::now() + deadline;
    for (int attempt = 1; attempt <= 2; ++attempt) {
        const std::size_t daemon = m_random.index(clients.size());
        request.node = m_site.daemons()[daemon].name;
        const time_to_retry wait = co_await send_request(
            request, clients[daemon], until - runtime_clock::now(), attempt == 1);
        if (!wait || m_stopped)
            co_return;
        co_await standin_sleep(m_io.get_executor(), *wait);
        if (until - runtime_clock::now() < min_time_left)
            co_return;
        request.id += "-again";
    }
}

request_record soak_callers::draw_request(const std::string& id_prefix)
{
    request_record request;
    request.id = id_prefix + "-" + std::to_string(++m_last_request);
    request.kind = draw_kind(m_random);
    // Mostly the newest key; sometimes one that is revoked or about to be.
    constexpr double old_key_probability = 0.15;
    const std::int64_t newest = m_site.version();
    const std::int64_t versions_back =
        m_random.chance(old_key_probability) ? m_random.between(1, 3) : 0;
    request.key_version = std::max<std::int64_t>(1, newest - versions_back);
    constexpr double unknown_key_probability = 0.1;
    if (m_site.settings().unknown_keys && m_random.chance(unknown_key_probability))
        request.key_version = key_never_held;
    request.max_servers = request.kind == caller_request_kind::order ? 1 : repeatable_attempts;
    return request;
}

asio::awaitable<soak_callers::time_to_retry> soak_callers::send_request(request_record request,
                                                                        http_client& client,
                                                                        duration deadline,
                                                                        bool reuses_connection)
{
    const std::vector<model_form>& models = m_site.settings().configuration.models;
    request.sent = runtime_clock::now();
    m_checker.record_request(request);
    const std::size_t model = models.size() == 1 ? 0 : m_random.index(models.size());
    http_request sent = to_http(request, deadline, models[model].name);
    if (!reuses_connection)
        sent.max_connection_idle = duration{0};
    const result<http_response> response =
        co_await client.call(std::move(sent), std::max(caller_timeout, deadline));
    m_site.record_runs();
    received_answer answer;
    if (response) {
        answer.status = static_cast<std::uint32_t>(response.value().status);
        answer.id = answered_request_id(response.value());
        answer.body = response.value().body;
        answer.leaving_server = leaving_server(response.value());
    }
    const time_point now = runtime_clock::now();
    m_checker.record_answer(request.id, std::move(answer), now);
    co_return time_to_retry_after(response, request.kind, deadline - (now - request.sent));
}

} // namespace jaynotch

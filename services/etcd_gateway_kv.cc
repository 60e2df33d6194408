#include "services/kv.h"
#include "services/kv_wire.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

// Each call is one POST request. Status 4xx means that a write had no effect. After a 5xx the write
// may have taken effect (etcd sends one with "request timed out"), so it is reported as
// unknown_outcome.
//
// A watch is one POST request whose response does not end and holds one JSON object per line. The
// coroutine read_events() moves the events into the queue. When the watch is destroyed, its handle
// cancels the connection, which ends the coroutine.

namespace jaynotch {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_watch_line_bytes = 16 * 1024 * 1024;
/// A watch receives nothing while no key changes, so its reads may wait long. This timeout is not
/// meant to detect a dead peer, which is left to the TCP connection.
constexpr duration watch_read_timeout = std::chrono::hours{24};

struct watch_source {
    explicit watch_source(http_stream opened) : stream{std::move(opened)} {}
    ~watch_source() { stream.cancel(); }
    watch_source(const watch_source&) = delete;
    watch_source& operator=(const watch_source&) = delete;

    http_stream stream;
};

/// Cancels the connection of a watch when the watch is destroyed.
struct watch_handle {
    explicit watch_handle(std::shared_ptr<watch_source> opened_source)
        : source{std::move(opened_source)}
    {}
    ~watch_handle() { source->stream.cancel(); }
    watch_handle(const watch_handle&) = delete;
    watch_handle& operator=(const watch_handle&) = delete;

    std::shared_ptr<watch_source> source;
};

error status_error(http::status status, const std::string& body, bool repeatable)
{
    const auto code = static_cast<unsigned>(status);
    const std::string summary = "the key-value service answered " + std::to_string(code) + ": " +
                                body.substr(0, std::min<std::size_t>(body.size(), 200));
    if (status == http::status::too_many_requests)
        return {error_kind::rate_limited, summary, "come back later, with fewer calls"};
    if (status == http::status::not_found)
        return {error_kind::not_found, summary, "grant a new lease, or check the address"};
    if (code < 500)
        return {error_kind::protocol, summary, "check the service's version"};
    if (repeatable)
        return {error_kind::unavailable, summary, "check the key-value service"};
    return {error_kind::unknown_outcome, summary, "read back before writing again"};
}

/// Removes the complete lines from `pending` and queues their events; false if the watch has ended.
bool queue_complete_lines(std::string& pending, kv_watch_queue& queue)
{
    std::size_t start = 0;
    for (;;) {
        const std::size_t end = pending.find('\n', start);
        if (end == std::string::npos)
            break;
        const std::string_view line = std::string_view{pending}.substr(start, end - start);
        start = end + 1;
        if (line.empty())
            continue;
        result<kv_wire_watch> received = parse_kv_watch(line);
        if (!received) {
            queue.close(received.error());
            return false;
        }
        if (received.value().canceled) {
            queue.close({error_kind::not_found, "the service ended the watch",
                         "read the prefix and watch from its revision + 1"});
            return false;
        }
        if (!received.value().created || !received.value().events.empty())
            queue.push({received.value().revision, std::move(received.value().events)});
    }
    pending.erase(0, start);
    return true;
}

awaitable<void> read_events(std::shared_ptr<watch_source> source,
                            std::shared_ptr<kv_watch_queue> queue)
{
    std::string pending;
    for (;;) {
        result<std::string> piece = co_await source->stream.read(watch_read_timeout);
        if (!piece || piece.value().empty()) {
            queue->close({error_kind::unavailable, "the watch's connection ended",
                          "read the prefix and watch from its revision + 1"});
            co_return;
        }
        pending += piece.value();
        if (!queue_complete_lines(pending, *queue))
            co_return;
        if (pending.size() > max_watch_line_bytes) {
            queue->close({error_kind::too_large, "a watch's line is too long",
                          "check the key-value service"});
            co_return;
        }
    }
}

http_request post_request(std::string target, std::string body, bool repeatable)
{
    http_request request;
    request.method = http::verb::post;
    request.target = std::move(target);
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(body);
    request.repeatable = repeatable;
    return request;
}

} // namespace

etcd_gateway_kv::etcd_gateway_kv(const boost::asio::any_io_executor& executor,
                                 etcd_settings settings)
    : m_executor{executor}, m_settings{std::move(settings)}
{
    http_limits limits;
    limits.body_bytes = m_settings.answer_bytes;
    m_client = std::make_unique<http_client>(executor, m_settings.address, limits);
}

awaitable<result<std::string>> etcd_gateway_kv::post(std::string target, std::string body,
                                                     bool repeatable)
{
    http_request request = post_request(std::move(target), std::move(body), repeatable);
    const call_timeouts timeouts{m_settings.timeout, m_settings.timeout, m_settings.answer_timeout};
    result<http_response> answer = co_await m_client->call(std::move(request), timeouts);
    if (!answer)
        co_return answer.error();
    if (answer.value().status != http::status::ok)
        co_return status_error(answer.value().status, answer.value().body, repeatable);
    co_return std::move(answer.value().body);
}

awaitable<result<kv_read>> etcd_gateway_kv::get(std::string key)
{
    const result<std::string> body = co_await post("/v3/kv/range", render_kv_get(key), true);
    if (!body)
        co_return body.error();
    result<kv_wire_range> range = parse_kv_range(body.value());
    if (!range)
        co_return range.error();
    kv_read read;
    read.revision = range.value().revision;
    if (!range.value().entries.empty())
        read.entry = std::move(range.value().entries.front());
    co_return read;
}

awaitable<result<kv_range>> etcd_gateway_kv::get_prefix(std::string prefix)
{
    const result<std::string> body =
        co_await post("/v3/kv/range", render_kv_get_prefix(prefix), true);
    if (!body)
        co_return body.error();
    result<kv_wire_range> range = parse_kv_range(body.value());
    if (!range)
        co_return range.error();
    co_return kv_range{range.value().revision, std::move(range.value().entries)};
}

awaitable<result<kv_outcome>> etcd_gateway_kv::transact(kv_transaction transaction)
{
    const result<std::string> body =
        co_await post("/v3/kv/txn", render_kv_transaction(transaction), false);
    if (!body)
        co_return body.error();
    result<kv_outcome> outcome = parse_kv_outcome(body.value());
    if (!outcome)
        co_return error{error_kind::unknown_outcome, outcome.error().message,
                        "read back before writing again"};
    co_return outcome;
}

awaitable<result<kv_lease>> etcd_gateway_kv::grant(std::chrono::seconds ttl)
{
    const std::string request =
        boost::json::serialize(boost::json::object{{"TTL", std::to_string(ttl.count())}});
    // If the response is lost, the granted lease expires unused, so repeating the call is harmless.
    const result<std::string> body = co_await post("/v3/lease/grant", request, true);
    if (!body)
        co_return body.error();
    const result<kv_wire_lease> granted = parse_kv_grant(body.value());
    if (!granted)
        co_return granted.error();
    co_return kv_lease{granted.value().id, granted.value().ttl};
}

awaitable<result<kv_lease>> etcd_gateway_kv::keep_alive(lease_id lease)
{
    const std::string request =
        boost::json::serialize(boost::json::object{{"ID", std::to_string(lease.value())}});
    const result<std::string> body = co_await post("/v3/lease/keepalive", request, true);
    if (!body)
        co_return body.error();
    const result<kv_wire_lease> renewed = parse_kv_keep_alive(body.value());
    if (!renewed)
        co_return renewed.error();
    if (renewed.value().ttl <= std::chrono::seconds{0})
        co_return error{error_kind::not_found, "the lease has lapsed", "grant a new lease"};
    co_return kv_lease{renewed.value().id, renewed.value().ttl};
}

awaitable<result<void>> etcd_gateway_kv::revoke(lease_id lease)
{
    const std::string request =
        boost::json::serialize(boost::json::object{{"ID", std::to_string(lease.value())}});
    const result<std::string> body = co_await post("/v3/lease/revoke", request, true);
    if (!body)
        co_return body.error();
    co_return success();
}

awaitable<result<kv_watch>> etcd_gateway_kv::watch(std::string prefix, std::int64_t from_revision)
{
    http_request request = post_request("/v3/watch", render_kv_watch(prefix, from_revision), true);
    result<http_stream> opened = co_await m_client->open(std::move(request), m_settings.timeout);
    if (!opened)
        co_return opened.error();
    if (opened.value().status() != http::status::ok)
        co_return status_error(opened.value().status(), "no watch", true);
    auto queue = std::make_shared<kv_watch_queue>(m_executor);
    auto source = std::make_shared<watch_source>(std::move(opened).value());
    boost::asio::co_spawn(m_executor, read_events(source, queue), boost::asio::detached);
    co_return kv_watch{queue, std::make_shared<watch_handle>(source)};
}

} // namespace jaynotch

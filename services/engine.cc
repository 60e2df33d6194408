#include "services/engine.h"

// Orders are idempotent, so they are sent as repeatable requests: if the response is lost, the call
// fails with deadline_exceeded or unavailable instead of unknown_outcome, and the sender may send
// the order again.

namespace jaynotch {

namespace http = boost::beast::http;

namespace {

constexpr std::size_t max_answer_bytes = 2 * 1024 * 1024;

http_limits control_limits()
{
    http_limits limits;
    limits.body_bytes = max_answer_bytes;
    limits.idle_connections = 1;
    return limits;
}

error status_error(const std::string& address, const http_response& answer)
{
    const std::string message =
        "engine " + address + " answered " + std::to_string(static_cast<unsigned>(answer.status)) +
        ": " + answer.body.substr(0, std::min<std::size_t>(answer.body.size(), 200));
    if (answer.status == http::status::conflict)
        return {error_kind::conflict, message, "read the fabric domain's record anew"};
    if (answer.status == http::status::not_found)
        return {error_kind::not_found, message, "check the engine's version"};
    if (static_cast<unsigned>(answer.status) >= 500)
        return {error_kind::unavailable, message, "check the engine"};
    return {error_kind::protocol, message, "check the engine's version"};
}

} // namespace

engine_client::engine_client(const boost::asio::any_io_executor& executor, std::string address,
                             duration timeout)
    : m_client{executor, std::move(address), control_limits()}, m_timeout{timeout}
{}

awaitable<result<std::string>> engine_client::get(std::string target)
{
    http_request request;
    request.target = std::move(target);
    request.repeatable = true;
    result<http_response> answer = co_await m_client.call(std::move(request), m_timeout);
    if (!answer)
        co_return answer.error();
    if (answer.value().status != http::status::ok)
        co_return status_error(address(), answer.value());
    co_return std::move(answer.value().body);
}

awaitable<result<void>> engine_client::post(std::string target, std::string body)
{
    http_request request;
    request.method = http::verb::post;
    request.target = std::move(target);
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(body);
    request.repeatable = true;
    const result<http_response> answer = co_await m_client.call(std::move(request), m_timeout);
    if (!answer)
        co_return answer.error();
    if (static_cast<unsigned>(answer.value().status) / 100 != 2)
        co_return status_error(address(), answer.value());
    co_return success();
}

awaitable<result<engine_report>> engine_client::report()
{
    const result<std::string> body = co_await get("/control/report");
    if (!body)
        co_return body.error();
    co_return parse_engine_report(body.value());
}

awaitable<result<void>> engine_client::assign(engine_order_assign order)
{
    co_return co_await post("/control/assign", render_engine_assign(order));
}

awaitable<result<void>> engine_client::release(engine_order_release order)
{
    co_return co_await post("/control/release", render_engine_release(order));
}

awaitable<result<void>> engine_client::cancel(attempt_id attempt)
{
    const boost::json::object body{{"attempt", std::to_string(attempt.value())}};
    co_return co_await post("/control/cancel", boost::json::serialize(body));
}

awaitable<result<std::vector<cache_event>>> engine_client::cache_events(std::uint64_t after)
{
    const result<std::string> body =
        co_await get("/control/cache_events?after=" + std::to_string(after));
    if (!body)
        co_return body.error();
    co_return parse_cache_events(body.value());
}

awaitable<result<engine_load>> engine_client::load()
{
    const result<std::string> body = co_await get("/metrics");
    if (!body)
        co_return body.error();
    co_return parse_engine_metrics(body.value());
}

awaitable<result<void>> engine_client::import_kv(std::string prefix, std::string from_address)
{
    const boost::json::object body{{"prefix", prefix}, {"from", from_address}};
    co_return co_await post("/control/kv/import", boost::json::serialize(body));
}

} // namespace jaynotch

#include "daemon/forward_front.h"

#include "platform/platform.h"

#include <algorithm>
#include <cctype>

// The body is read whole before the request is judged: it may have to be sent a second time, and a
// refusal that leaves half a body unread would end the caller's connection.

namespace jaynotch {

namespace {

/// For callers who meet a node that knows no configuration yet.
constexpr std::chrono::milliseconds soon{200};

/// A Host header as tables name hosts.
std::string host_of(std::string_view header)
{
    std::string host{header.substr(0, header.find(':'))};
    std::transform(host.begin(), host.end(), host.begin(),
                   [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return host;
}

} // namespace

forward_front::forward_front(relay_services& services, std::function<front_state()> state)
    : m_services{services}, m_state{std::move(state)}
{}

net::awaitable<void> forward_front::serve(http_exchange& exchange)
{
    asked_request asked;
    asked.arrived = runtime_clock::now();
    ++m_services.counts.requests;
    const std::shared_ptr<const configuration> tables = m_state().tables;
    const result<void> readable = co_await read_asked(exchange, asked, tables.get());
    if (!readable) {
        m_services.counted.ended(outcome::refused, runtime_clock::now() - asked.arrived);
        co_await turn_away(exchange, readable.error());
        co_return;
    }
    asked.caller = m_services.spans.begin(
        "request", span_kind::server, trace_context::from_header(exchange.header("traceparent")));
    asked.caller.set("url.path", exchange.path());
    ++m_services.counts.in_flight;
    relay_request way{m_services, exchange, std::move(asked)};
    co_await way.run();
    --m_services.counts.in_flight;
}

net::awaitable<result<void>> forward_front::read_asked(http_exchange& exchange,
                                                       asked_request& asked,
                                                       const configuration* tables)
{
    const std::size_t most = tables != nullptr && tables->limits
                                 ? tables->limits->body_bytes
                                 : m_services.settings.limits.model_body_bytes;
    result<std::string> body = co_await exchange.read_body(most);
    if (!body)
        co_return body.error();
    if (tables == nullptr)
        co_return error{error_kind::unavailable, "no configuration is known here yet",
                        "send it again in a moment"};
    if (m_services.driver.open_inboxes() >= m_services.settings.limits.requests)
        co_return error{error_kind::overloaded, "this node holds as many requests as it may",
                        "come back later, or raise --max_requests"};
    asked.body = std::move(body).value();
    result<call_facts> facts = platform::parse_call_headers(exchange.request());
    if (!facts)
        co_return facts.error();
    request_info& info = asked.info;
    info.kind = request_kind::plain;
    info.method = std::string{exchange.request().method_string()};
    info.path = std::string{exchange.path()};
    info.host = host_of(exchange.header("Host"));
    info.model = facts.value().model;
    info.credential = facts.value().credential;
    info.prompt_tokens = facts.value().prompt_tokens;
    info.answer_tokens = facts.value().answer_tokens;
    if (facts.value().patience)
        info.deadline = asked.arrived + *facts.value().patience;
    asked.facts = std::move(facts).value();
    co_return success();
}

net::awaitable<void> forward_front::turn_away(http_exchange& exchange, const error& why)
{
    ++m_services.counts.refused;
    m_services.counted.refused(why.kind);
    refusal shown{.failure = why, .ran = ran_state::no};
    shown.fractional_retry_after = true;
    if (why.kind == error_kind::unavailable || why.kind == error_kind::overloaded)
        shown.retry_after = soon;
    if (why.kind == error_kind::deadline_exceeded)
        shown.status = http::status::request_timeout; // its body did not come
    co_await exchange.refuse(shown);
}

} // namespace jaynotch

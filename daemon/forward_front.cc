#include "daemon/forward_front.h"

#include "platform/platform.h"

#include <algorithm>
#include <cctype>

// The complete body is read before the request is checked: the body may have to be sent a second
// time, and a refusal with part of the body unread would close the caller's connection.

namespace jaynotch {

namespace {

/// Retry-After of a node that is overloaded or has no configuration yet.
constexpr std::chrono::milliseconds default_retry_after{200};

/// The same for each repetition of a request, whatever connection and attempt it comes with.
content_id content_of(const http_exchange& exchange, std::string_view body)
{
    std::string whole;
    for (const std::string_view part :
         {std::string_view{exchange.request().method_string()}, exchange.header("Host"),
          std::string_view{exchange.request().target()}})
        whole.append(part).push_back('\n');
    whole.append(body);
    return content_id{hash64(whole)};
}

/// What servers may end under: the request itself, and the parts of its prompt that others share.
/// A part is the same for all requests to one model.
std::vector<content_id> contents_of(const http_exchange& exchange, std::string_view body,
                                    const call_metadata& metadata)
{
    std::vector<content_id> contents{content_of(exchange, body)};
    const std::uint64_t model = hash64(metadata.model);
    for (const std::string& part : metadata.shared_parts)
        contents.emplace_back(hash64(part, model));
    return contents;
}

/// A Host header in the form used in the tables: lower case, without the port.
std::string normalize_host(std::string_view header)
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
    co_await serve(exchange, std::nullopt);
}

net::awaitable<void> forward_front::serve_relayed(http_exchange& exchange)
{
    const result<relayed_marker> marker = parse_relayed(exchange.header(relayed_header));
    if (!marker) {
        log_event(log_level::warning, "relayed_request_unreadable",
                  {{"message", marker.error().message}});
        exchange.close_after_answer(); // its body has not been read
        co_await reject(exchange, marker.error(), true);
        co_return;
    }
    co_await serve(exchange, marker.value());
}

net::awaitable<void> forward_front::serve(http_exchange& exchange,
                                          std::optional<relayed_marker> marker)
{
    incoming_request incoming;
    incoming.arrived = runtime_clock::now();
    ++m_services.counts.requests;
    const std::shared_ptr<const configuration> tables = m_state().tables;
    if (!marker && tables != nullptr) {
        if (const std::optional<refuse> refused = m_services.driver.refuse_early()) {
            co_await refuse_unread(exchange, *refused, incoming.arrived);
            co_return;
        }
    }
    result<void> accepted = co_await read_request(exchange, incoming, tables.get());
    if (accepted && marker && tables->revision < marker->revision)
        accepted = error{error_kind::unavailable,
                         "this node has an older configuration than the one that passed it on",
                         "pass it on to another node"};
    if (!accepted) {
        m_services.exported_metrics.ended(outcome::refused,
                                          runtime_clock::now() - incoming.arrived);
        co_await reject(exchange, accepted.error(), marker.has_value());
        co_return;
    }
    if (marker)
        incoming.info.relayed = marker->request;
    incoming.server_span = m_services.spans.begin(
        "request", span_kind::server, trace_context::from_header(exchange.header("traceparent")));
    incoming.server_span.set("url.path", exchange.path());
    ++m_services.counts.in_flight;
    relay_request relay{m_services, exchange, std::move(incoming)};
    co_await relay.run();
    --m_services.counts.in_flight;
}

net::awaitable<result<void>> forward_front::read_request(http_exchange& exchange,
                                                         incoming_request& incoming,
                                                         const configuration* tables)
{
    const std::size_t own_limit = m_services.settings.limits.model_body_bytes;
    const std::size_t max_body_bytes =
        tables != nullptr ? tables->limits.body_bytes.value_or(own_limit) : own_limit;
    result<std::string> body = co_await read_held_body(m_services, exchange, max_body_bytes);
    if (!body)
        co_return body.error();
    if (tables == nullptr)
        co_return error{error_kind::unavailable, "no configuration is known here yet",
                        "send it again in a moment"};
    if (m_services.driver.open_inboxes() >= m_services.settings.limits.requests)
        co_return error{error_kind::overloaded, "this node holds as many requests as it may",
                        "come back later, or raise --max_requests"};
    incoming.body = std::move(body).value();
    result<call_metadata> metadata = platform::parse_call_headers(exchange.request());
    if (!metadata)
        co_return metadata.error();
    request_info& info = incoming.info;
    info.kind = request_kind::plain;
    info.method = std::string{exchange.request().method_string()};
    info.path = std::string{exchange.path()};
    info.host = normalize_host(exchange.header("Host"));
    info.model = metadata.value().model;
    info.credential = metadata.value().credential;
    info.prompt_tokens = metadata.value().prompt_tokens;
    info.answer_tokens = metadata.value().answer_tokens;
    info.contents = contents_of(exchange, incoming.body, metadata.value());
    if (metadata.value().caller_timeout)
        info.deadline = incoming.arrived + *metadata.value().caller_timeout;
    incoming.metadata = std::move(metadata).value();
    co_return success();
}

net::awaitable<void> forward_front::refuse_unread(http_exchange& exchange, const refuse& cmd,
                                                  time_point arrived)
{
    ++m_services.counts.refused;
    m_services.exported_metrics.refused(cmd.failure.kind);
    m_services.exported_metrics.ended(outcome::refused, runtime_clock::now() - arrived);
    m_refusals.refused(platform::request_id_of(exchange.request()), arrived, cmd,
                       status_of(cmd.failure.kind));
    exchange.skip_received_body();
    refusal reply{.failure = cmd.failure, .ran = cmd.ran, .retry_after = cmd.retry_after};
    reply.fractional_retry_after = true;
    co_await exchange.refuse(reply);
}

net::awaitable<void> forward_front::reject(http_exchange& exchange, const error& why, bool relayed)
{
    ++m_services.counts.refused;
    m_services.exported_metrics.refused(why.kind);
    refusal reply{.failure = why, .ran = ran_state::no};
    reply.fractional_retry_after = true;
    if (why.kind == error_kind::unavailable || why.kind == error_kind::overloaded)
        reply.retry_after = default_retry_after;
    if (why.kind == error_kind::deadline_exceeded)
        reply.status = http::status::request_timeout; // the request's body did not arrive in time
    if (relayed)
        exchange.set(refused_header, to_name(why.kind));
    co_await exchange.refuse(reply);
}

} // namespace jaynotch

#include "standins/plain_standin.h"

namespace jaynotch {

namespace http = boost::beast::http;
namespace json = boost::json;

plain_standin::plain_standin(const boost::asio::any_io_executor& executor,
                             const plain_standin_settings& settings)
    : m_executor{executor}, m_settings{settings}
{}

result<std::shared_ptr<plain_standin>>
plain_standin::start(const boost::asio::any_io_executor& executor,
                     const plain_standin_settings& settings)
{
    std::shared_ptr<plain_standin> standin{new plain_standin{executor, settings}};
    const standin_handler handler = forward_to(standin, &plain_standin::handle);
    BOOST_OUTCOME_TRY(standin->m_server,
                      standin_server::listen(executor, settings.listen, handler));
    return standin;
}

void plain_standin::apply(const fault_change& change)
{
    m_faults.apply(change);
    if (change.kill)
        m_server->set_running(!*change.kill);
}

awaitable<void> plain_standin::handle(standin_exchange& exchange)
{
    const auto keep = shared_from_this();
    const auto change_faults = [this](const fault_change& change) { apply(change); };
    const bool taken = co_await handle_fault_request(exchange, change_faults);
    if (taken)
        co_return;
    if (exchange.path() == "/executions") {
        co_await exchange.answer(http::status::ok, render_executions());
        co_return;
    }
    if (co_await apply_faults(m_executor, m_faults, exchange))
        co_return;
    if (m_faults.leaving)
        exchange.set("jaynotch-leaving", "1");
    if (exchange.path() == "/healthz") {
        const auto status = m_faults.leaving ? http::status::service_unavailable : http::status::ok;
        co_await exchange.answer(status, "{}");
        co_return;
    }
    ++m_running;
    co_await run(exchange);
    --m_running;
}

awaitable<void> plain_standin::run(standin_exchange& exchange)
{
    const std::size_t row = m_executions.size();
    const std::string_view target{exchange.request().target().data(),
                                  exchange.request().target().size()};
    m_executions.push_back({.method = std::string{http::to_string(exchange.method())},
                            .target = std::string{target},
                            .attempt = std::string{exchange.header("jaynotch-attempt")},
                            .key = std::string{exchange.header("Idempotency-Key")},
                            .digest = content_digest(exchange.body()),
                            .start_time = runtime_clock::now()});
    const json::object body{
        {"service", m_settings.name},         {"method", m_executions[row].method},
        {"target", m_executions[row].target}, {"digest", m_executions[row].digest},
        {"key", m_executions[row].key},       {"sequence", row + 1}};
    if (!m_executions[row].attempt.empty())
        exchange.set("jaynotch-attempt", m_executions[row].attempt);
    if (m_settings.work > duration{0})
        co_await standin_sleep(m_executor, m_settings.work);
    while (m_faults.stall)
        co_await standin_sleep(m_executor, std::chrono::milliseconds{5});
    co_await answer_with_faults(m_faults, exchange, http::status::ok, json::serialize(body));
    m_executions[row].answered = !exchange.is_cut();
}

std::string plain_standin::render_executions() const
{
    json::array rows;
    for (const auto& run : m_executions)
        rows.push_back(json::object{{"method", run.method},
                                    {"target", run.target},
                                    {"attempt", run.attempt},
                                    {"key", run.key},
                                    {"digest", run.digest},
                                    {"answered", run.answered}});
    return json::serialize(json::object{{"executions", std::move(rows)}});
}

} // namespace jaynotch

#include "daemon/admin_answers.h"

namespace jaynotch {

net::awaitable<void> answer_json(http_exchange& exchange, const boost::json::object& page)
{
    const std::string text = boost::json::serialize(page);
    co_await exchange.answer(http::status::ok, "application/json", text);
}

net::awaitable<void> answer_metrics(http_exchange& exchange, const std::string& page)
{
    constexpr std::string_view text_type = "text/plain; version=0.0.4; charset=utf-8";
    co_await exchange.answer(http::status::ok, text_type, page);
}

net::awaitable<void> answer_error(http_exchange& exchange, const error& why)
{
    refusal shown{.failure = why};
    if (why.kind == error_kind::unknown_outcome) {
        shown.ran = ran_state::unknown;
        shown.status = http::status::service_unavailable;
    }
    co_await exchange.refuse(shown);
}

boost::json::object drain_page(const std::vector<target_status>& targets)
{
    boost::json::array rows;
    for (const target_status& one : targets) {
        const std::string_view state =
            one.leaving ? (one.in_flight > 0 ? "draining" : "drained") : "serving";
        rows.push_back(boost::json::object{{"server", one.target.value()},
                                           {"pool", one.pool.value()},
                                           {"state", state},
                                           {"in_flight", one.in_flight}});
    }
    return {{"servers", std::move(rows)}};
}

} // namespace jaynotch

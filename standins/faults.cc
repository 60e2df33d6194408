#include "standins/faults.h"

#include "base/json_fields.h"

namespace jaynotch {

namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr duration pause_poll = std::chrono::milliseconds{5};

template <class Target, class Source>
void set_if(Target& target, const std::optional<Source>& source)
{
    if (source)
        target = *source;
}

std::optional<bool> flag_if(json_fields& fields, const json::object& object, std::string_view name)
{
    if (!object.contains(name))
        return std::nullopt;
    return fields.flag(name);
}

std::optional<std::uint32_t> count_if(json_fields& fields, const json::object& object,
                                      std::string_view name)
{
    if (!object.contains(name))
        return std::nullopt;
    return static_cast<std::uint32_t>(
        fields.count(name, std::numeric_limits<std::uint32_t>::max()));
}

} // namespace

void fault_state::apply(const fault_change& change)
{
    set_if(kill, change.kill);
    set_if(pause, change.pause);
    set_if(stall, change.stall);
    set_if(outage, change.outage);
    set_if(delay, change.delay);
    set_if(lose_replies, change.lose_replies);
    set_if(straggle, change.straggle);
    set_if(cut_after, change.cut_after);
    set_if(answer_twice, change.answer_twice);
    set_if(wrong_length, change.wrong_length);
    set_if(garbage, change.garbage);
    set_if(claim_ready, change.claim_ready);
    set_if(serve_partial, change.serve_partial);
    set_if(leaving, change.leaving);
    if (change.rate)
        rate = *change.rate;
}

bool fault_state::consume_lost_reply()
{
    if (lose_replies == 0)
        return false;
    --lose_replies;
    return true;
}

result<fault_change> parse_fault(std::string_view body)
{
    constexpr std::string_view what = "fault";
    BOOST_OUTCOME_TRY(const json::object object, parse_json_object(body, what));
    json_fields fields{object, what};
    fault_change change;
    change.kill = flag_if(fields, object, "kill");
    change.pause = flag_if(fields, object, "pause");
    change.stall = flag_if(fields, object, "stall");
    change.outage = flag_if(fields, object, "outage");
    if (object.contains("delay_ms"))
        change.delay = std::chrono::milliseconds{fields.integer("delay_ms")};
    change.lose_replies = count_if(fields, object, "lose_replies");
    if (object.contains("straggle"))
        change.straggle = fields.real("straggle");
    change.cut_after = count_if(fields, object, "cut_after");
    change.answer_twice = flag_if(fields, object, "answer_twice");
    change.wrong_length = flag_if(fields, object, "wrong_length");
    change.garbage = flag_if(fields, object, "garbage");
    change.claim_ready = flag_if(fields, object, "claim_ready");
    change.serve_partial = flag_if(fields, object, "serve_partial");
    change.leaving = flag_if(fields, object, "leaving");
    change.rate = count_if(fields, object, "rate");
    if (fields.failure())
        return *fields.failure();
    return change;
}

awaitable<bool> handle_fault_request(standin_exchange& exchange,
                                     std::function<void(const fault_change&)> apply)
{
    if (exchange.path() != "/fault")
        co_return false;
    const result<fault_change> change = parse_fault(exchange.body());
    if (change)
        apply(change.value());
    const http::status status = change ? http::status::ok : http::status::bad_request;
    co_await exchange.answer(status, "{}");
    co_return true;
}

awaitable<bool> apply_faults(boost::asio::any_io_executor executor, fault_state& faults,
                             standin_exchange& exchange)
{
    while (faults.pause)
        co_await standin_sleep(executor, pause_poll);
    if (exchange.client_disconnected() || faults.kill) {
        exchange.cut();
        co_return true;
    }
    if (faults.delay > duration{0})
        co_await standin_sleep(executor, faults.delay);
    if (faults.garbage) {
        co_await exchange.write_raw("\x16\x03\x01 this is no HTTP\r\n\r\n");
        exchange.cut();
        co_return true;
    }
    if (faults.outage) {
        exchange.set("jaynotch-ran", "no");
        co_await exchange.answer(http::status::service_unavailable,
                                 error_body("the service is down", 14));
        co_return true;
    }
    co_return false;
}

awaitable<void> answer_with_faults(fault_state& faults, standin_exchange& exchange,
                                   http::status status, std::string body)
{
    if (faults.consume_lost_reply()) {
        exchange.cut();
        co_return;
    }
    if (faults.wrong_length) {
        const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                 "Content-Length: " +
                                 std::to_string(body.size() + 10) + "\r\n\r\n";
        co_await exchange.write_raw(head + body);
        exchange.cut();
        co_return;
    }
    if (faults.answer_twice)
        co_await exchange.answer(status, body);
    if (!exchange.is_cut())
        co_await exchange.answer(status, std::move(body));
}

std::string error_body(std::string_view message, int code)
{
    return json::serialize(json::object{{"error", message}, {"code", code}, {"message", message}});
}

} // namespace jaynotch

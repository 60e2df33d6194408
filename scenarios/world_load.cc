#include "base/json_fields.h"
#include "scenarios/world.h"

#include <boost/asio/co_spawn.hpp>

namespace jaynotch {

namespace json = boost::json;

namespace {

constexpr duration call_timeout = std::chrono::seconds{20};
constexpr std::size_t max_wrong_details = 20;

double milliseconds(duration value)
{
    return std::chrono::duration<double, std::milli>{value}.count();
}

json::object render_call(const call_result& result)
{
    return json::object{{"outcome", to_name(result.outcome)},
                        {"status", result.status},
                        {"detail", result.detail},
                        {"record", result.record},
                        {"version", result.version},
                        {"tokens", result.tokens},
                        {"retry_after", result.retry_after_s},
                        {"first_token_ms", milliseconds(result.first_token)},
                        {"total_ms", milliseconds(result.total)}};
}

awaitable<call_result> ask_once(boost::asio::any_io_executor executor, model_call call)
{
    http_client client{executor, call.target, http_limits{}};
    co_return co_await send_model_call(client, std::move(call), call_timeout);
}

awaitable<call_result> order_once(boost::asio::any_io_executor executor, plain_call call)
{
    http_client client{executor, call.target, http_limits{}};
    co_return co_await send_plain_call(client, std::move(call), call_timeout);
}

awaitable<void> run_in_background(boost::asio::any_io_executor executor, load_settings settings,
                                  std::shared_ptr<running_load> load)
{
    load->report = co_await run_load(executor, std::move(settings));
}

void set_real(json_fields& fields, const json::object& object, std::string_view name,
              double& target)
{
    if (object.contains(name))
        target = fields.real(name);
}

void set_text(json_fields& fields, const json::object& object, std::string_view name,
              std::string& target)
{
    if (object.contains(name))
        target = fields.text(name);
}

load_settings parse_load_settings(const json::object& arguments)
{
    json_fields fields{arguments, "load"};
    load_settings parameters;
    parameters.model = fields.text("model");
    if (arguments.contains("workspaces"))
        parameters.workspaces = fields.texts("workspaces");
    set_real(fields, arguments, "rate", parameters.rate);
    double seconds = 3.0;
    set_real(fields, arguments, "seconds", seconds);
    parameters.length =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
    constexpr std::uint64_t max_count = 100'000;
    parameters.tokens = static_cast<std::uint32_t>(fields.count("tokens", max_count));
    set_real(fields, arguments, "stream_share", parameters.stream_share);
    set_real(fields, arguments, "plain_share", parameters.plain_share);
    set_text(fields, arguments, "plain_path", parameters.plain_path);
    set_text(fields, arguments, "plain_method", parameters.plain_method);
    parameters.keyed = !arguments.contains("keyed") || fields.flag("keyed");
    if (arguments.contains("seed"))
        parameters.seed = fields.count("seed", max_count);
    if (fields.failure())
        throw exception{*fields.failure()};
    return parameters;
}

} // namespace

void scenario_world::record_wrong_answer(const call_result& result, std::string_view call_kind)
{
    if (result.outcome != call_outcome::wrong)
        return;
    ++m_wrong_answers;
    if (m_wrong_details.size() < max_wrong_details)
        m_wrong_details.push_back(std::string{call_kind} + ": " + result.detail);
}

json::value scenario_world::ask(const arguments_type& arguments)
{
    json_fields fields{arguments, "ask"};
    model_call call;
    call.target = listen_address_of(fields.text("to"));
    call.model = fields.text("model");
    call.workspace = fields.text("workspace");
    call.prompt = fields.text("prompt");
    constexpr std::uint64_t max_count = 100'000;
    call.tokens = static_cast<std::uint32_t>(fields.count("tokens", max_count));
    call.stream = !arguments.contains("stream") || fields.flag("stream");
    if (fields.failure())
        throw exception{*fields.failure()};
    const call_result result = m_runtime.run(ask_once(m_runtime.executor(), std::move(call)));
    record_wrong_answer(result, "a model call");
    return render_call(result);
}

json::value scenario_world::order(const arguments_type& arguments)
{
    json_fields fields{arguments, "order"};
    plain_call call;
    call.target = listen_address_of(fields.text("to"));
    set_text(fields, arguments, "method", call.method);
    call.path = "/orders";
    set_text(fields, arguments, "path", call.path);
    call.workspace = fields.text("workspace");
    call.key = fields.text("key");
    call.body = fields.text("body");
    if (fields.failure())
        throw exception{*fields.failure()};
    plain_call_record record{call, m_runtime.run(order_once(m_runtime.executor(), call))};
    record_wrong_answer(record.result, "a plain call");
    m_plain_calls.push_back(record);
    return render_call(record.result);
}

json::value scenario_world::start_load(const arguments_type& arguments)
{
    load_settings parameters = parse_load_settings(arguments);
    json_fields fields{arguments, "load"};
    for (const auto& name : fields.texts("to"))
        parameters.targets.push_back(listen_address_of(name));
    auto load = std::make_shared<running_load>();
    m_loads.push_back(load);
    boost::asio::co_spawn(m_runtime.executor(),
                          run_in_background(m_runtime.executor(), std::move(parameters), load),
                          [](std::exception_ptr failed) {
                              if (failed)
                                  std::rethrow_exception(failed);
                          });
    return m_loads.size() - 1;
}

json::value scenario_world::finish_load(const arguments_type& arguments)
{
    json_fields fields{arguments, "load"};
    const auto load = m_loads.at(fields.count("id", m_loads.size()));
    constexpr std::chrono::seconds timeout{60};
    if (!m_runtime.run_until([&] { return load->report.has_value(); }, timeout))
        throw exception{{error_kind::deadline_exceeded, "the load did not end within 60 s", ""}};
    const load_report& report = *load->report;
    m_wrong_answers += report.count_of(call_outcome::wrong);
    m_wrong_details.insert(m_wrong_details.end(), report.faults.begin(), report.faults.end());
    m_plain_calls.insert(m_plain_calls.end(), report.plain.begin(), report.plain.end());
    return json::parse(render_load_report(report));
}

} // namespace jaynotch

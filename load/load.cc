#include "load/load.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// All calls are generated before the first one starts, so the load does not depend on the answers.
// One timer waits for each call's start time. A second timer, `all_done`, is cancelled when the
// last outstanding call ends and wakes the coroutine that fills in the report.

namespace jaynotch {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::size_t max_listed_errors = 20;
constexpr std::size_t max_idle_connections = 256;

enum class call_kind { model, plain };

struct planned_call {
    duration at{0};
    call_kind kind = call_kind::model;
    model_call model;
    plain_call plain;
};

/// State shared by the coroutines of one load run.
struct load_run {
    load_run(const asio::any_io_executor& io_executor, load_settings parameters)
        : executor{io_executor}, settings{std::move(parameters)}, random{settings.seed},
          all_done{io_executor}
    {}

    asio::any_io_executor executor;
    load_settings settings;
    random_source random;
    std::vector<http_client> clients;
    load_report report;
    latency_histogram first_token;
    latency_histogram between_tokens;
    latency_histogram total;
    std::size_t outstanding = 0;
    timer all_done;
};

std::string random_text(random_source& random, std::size_t bytes)
{
    std::string text;
    while (text.size() < bytes)
        text += std::to_string(random.bits()) + " ";
    text.resize(bytes);
    return text;
}

planned_call plan_call(load_run& run, std::size_t index, duration at)
{
    const load_settings& parameters = run.settings;
    planned_call call;
    call.at = at;
    const std::string& target = parameters.targets[index % parameters.targets.size()];
    const std::string& workspace =
        parameters.workspaces[run.random.index(parameters.workspaces.size())];
    const std::string unique = std::to_string(parameters.seed) + "-" + std::to_string(index);
    if (run.random.chance(parameters.plain_share)) {
        call.kind = call_kind::plain;
        call.plain = {.target = target,
                      .method = parameters.plain_method,
                      .path = parameters.plain_path,
                      .workspace = workspace,
                      .key = parameters.keyed ? "load-" + unique : "",
                      .body = "{\"order\":\"" + unique + "\"}"};
        return call;
    }
    std::string prompt;
    if (parameters.shared_prefixes > 0) {
        random_source prefix{parameters.seed + run.random.index(parameters.shared_prefixes)};
        prompt = random_text(prefix, parameters.prefix_bytes);
    }
    prompt += "call " + unique + " " + random_text(run.random, parameters.prompt_bytes);
    call.model = {.target = target,
                  .model = parameters.model,
                  .workspace = workspace,
                  .prompt = std::move(prompt),
                  .tokens = parameters.tokens,
                  .stream = run.random.chance(parameters.stream_share)};
    return call;
}

std::vector<duration> start_times(load_run& run)
{
    if (!run.settings.schedule.empty())
        return run.settings.schedule;
    std::vector<duration> at;
    duration next{0};
    while (run.settings.rate > 0.0) {
        const double gap = run.random.exponential(1.0 / run.settings.rate);
        next += std::chrono::duration_cast<duration>(std::chrono::duration<double>{gap});
        if (next >= run.settings.length)
            break;
        at.push_back(next);
    }
    return at;
}

void count_refusal(load_report& report, const std::string& words)
{
    for (auto& row : report.refusals) {
        if (row.words == words) {
            ++row.count;
            return;
        }
    }
    if (report.refusals.size() < max_listed_errors)
        report.refusals.push_back({words, 1});
}

void record_result(load_run& run, const call_result& result, std::string_view call_description)
{
    const bool refused = result.outcome == call_outcome::refused_not_run ||
                         result.outcome == call_outcome::refused_unknown;
    if (refused)
        count_refusal(run.report, result.detail);
    ++run.report.outcomes.at(static_cast<std::size_t>(result.outcome));
    run.report.tokens += result.tokens;
    if (result.outcome == call_outcome::whole)
        run.total.add(result.total);
    if (result.tokens > 0)
        run.first_token.add(result.first_token);
    for (const duration gap : result.between_tokens)
        run.between_tokens.add(gap);
    const bool is_error =
        result.outcome == call_outcome::wrong || result.outcome == call_outcome::cut;
    if (is_error && run.report.faults.size() < max_listed_errors)
        run.report.faults.push_back(std::string{call_description} + ": " + result.detail);
}

awaitable<void> execute_call(std::shared_ptr<load_run> run, planned_call call, std::size_t client)
{
    if (call.kind == call_kind::plain) {
        call_result result =
            co_await send_plain_call(run->clients[client], call.plain, run->settings.timeout);
        record_result(*run, result, "plain call " + call.plain.key);
        run->report.plain.push_back({std::move(call.plain), std::move(result)});
    }
    else {
        const call_result result =
            co_await send_model_call(run->clients[client], call.model, run->settings.timeout);
        record_result(*run, result, "model call to " + call.model.target);
    }
    if (--run->outstanding == 0)
        run->all_done.cancel();
}

load_percentiles percentiles(const latency_histogram& latencies)
{
    const auto ms = [](duration value) {
        return std::chrono::duration<double, std::milli>{value}.count();
    };
    return {.count = latencies.count(),
            .p50 = ms(latencies.percentile(0.50)),
            .p90 = ms(latencies.percentile(0.90)),
            .p95 = ms(latencies.percentile(0.95)),
            .p99 = ms(latencies.percentile(0.99)),
            .p999 = ms(latencies.percentile(0.999)),
            .maximum = ms(latencies.maximum())};
}

json::object render_percentiles(const load_percentiles& latencies)
{
    return json::object{{"count", latencies.count},   {"p50_ms", latencies.p50},
                        {"p90_ms", latencies.p90},    {"p95_ms", latencies.p95},
                        {"p99_ms", latencies.p99},    {"p99.9_ms", latencies.p999},
                        {"max_ms", latencies.maximum}};
}

awaitable<void> wait_until(timer& wait, time_point when)
{
    wait.expires_at(when);
    boost::system::error_code ignored;
    co_await wait.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

} // namespace

awaitable<load_report> run_load(asio::any_io_executor executor, load_settings settings)
{
    if (settings.targets.empty() || settings.workspaces.empty())
        throw exception{{error_kind::invalid_argument, "the load has no targets or no workspaces",
                         "name at least one of each"}};
    const auto run = std::make_shared<load_run>(executor, std::move(settings));
    http_limits limits;
    limits.idle_connections = max_idle_connections;
    for (const auto& target : run->settings.targets)
        run->clients.emplace_back(executor, target, limits);
    std::vector<planned_call> plan;
    for (const duration at : start_times(*run))
        plan.push_back(plan_call(*run, plan.size(), at));
    const time_point start_time = runtime_clock::now();
    timer next{executor};
    for (std::size_t index = 0; index < plan.size(); ++index) {
        co_await wait_until(next, start_time + plan[index].at);
        if (run->outstanding >= run->settings.max_outstanding) {
            ++run->report.not_started;
            continue;
        }
        ++run->report.started;
        ++run->outstanding;
        asio::co_spawn(executor,
                       execute_call(run, std::move(plan[index]), index % run->clients.size()),
                       asio::detached);
    }
    while (run->outstanding > 0)
        co_await wait_until(run->all_done, runtime_clock::now() + std::chrono::hours{1});
    run->report.seconds = std::chrono::duration<double>{runtime_clock::now() - start_time}.count();
    run->report.first_token = percentiles(run->first_token);
    run->report.between_tokens = percentiles(run->between_tokens);
    run->report.total = percentiles(run->total);
    co_return std::move(run->report);
}

std::string render_load_report(const load_report& report)
{
    json::object outcomes;
    for (const auto& entry : enum_names<call_outcome>::entries)
        outcomes[entry.name] = report.count_of(entry.value);
    json::array faults;
    for (const auto& fault : report.faults)
        faults.emplace_back(fault);
    json::array refusals;
    for (const auto& row : report.refusals)
        refusals.push_back(json::object{{"words", row.words}, {"count", row.count}});
    json::object body{{"started", report.started},
                      {"not_started", report.not_started},
                      {"seconds", report.seconds},
                      {"tokens", report.tokens}};
    body["outcomes"] = std::move(outcomes);
    body["first_token"] = render_percentiles(report.first_token);
    body["between_tokens"] = render_percentiles(report.between_tokens);
    body["total"] = render_percentiles(report.total);
    body["refusals"] = std::move(refusals);
    body["faults"] = std::move(faults);
    return json::serialize(body);
}

} // namespace jaynotch

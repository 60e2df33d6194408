#include "load/load.h"
#include "standins/standin_testing.h"
#include "standins/standins.h"

#include <criterion/criterion.h>

using namespace jaynotch;

// Every scenario relies on the load generator to distinguish complete answers from damaged ones.
// The tests check its classification against stand-ins with known faults.

namespace {

struct test_servers {
    test_runtime runtime;
    std::shared_ptr<standin_fleet> fleet;

    test_servers()
    {
        standin_fleet_settings settings;
        settings.engines = 1;
        settings.fabric_domains = 1;
        settings.plain = {"orders"};
        fleet = standin_fleet::start(runtime.executor(), settings).value();
        engine_client client{runtime.executor(), engine().address(), std::chrono::seconds{1}};
        const engine_order_assign order{.order = "o",
                                        .fencing = fencing_number{1},
                                        .group = group_id{"g"},
                                        .rank = 0,
                                        .members = {engine().address()},
                                        .model = "router",
                                        .version = "v1",
                                        .adapters = {}};
        cr_assert(runtime.run(client.assign(order)));
        cr_assert(
            runtime.run_until([&] { return engine().report().state == engine_state::ready; }));
    }
    engine_standin& engine() { return fleet->engine(0); }
    plain_standin& orders() { return fleet->plain(0); }

    call_result call_model(bool stream)
    {
        http_client client{runtime.executor(), engine().address(), http_limits{}};
        return runtime.run(send_model_call(
            client,
            model_call{.model = "router", .prompt = "trench", .tokens = 12, .stream = stream},
            std::chrono::seconds{5}));
    }
    call_result call_plain(const std::string& key)
    {
        http_client client{runtime.executor(), orders().address(), http_limits{}};
        return runtime.run(send_plain_call(
            client, plain_call{.path = "/orders", .key = key, .body = "urea " + key},
            std::chrono::seconds{1}));
    }
};

} // namespace

Test(load, complete_answers_are_recognised)
{
    test_servers servers;
    cr_assert(servers.call_model(true).outcome == call_outcome::whole);
    cr_assert(servers.call_model(false).outcome == call_outcome::whole);
    cr_assert(servers.call_plain("k1").outcome == call_outcome::whole);
}

Test(load, a_cut_stream_is_never_complete)
{
    test_servers servers;
    for (const std::uint32_t after : {1U, 5U, 11U, 12U}) {
        servers.engine().apply({.cut_after = after});
        cr_assert(servers.call_model(true).outcome == call_outcome::cut);
    }
    servers.engine().apply({.cut_after = 0, .wrong_length = true});
    cr_assert(servers.call_model(false).outcome == call_outcome::cut);
}

Test(load, each_failure_has_its_outcome)
{
    test_servers servers;
    servers.engine().apply({.outage = true});
    cr_assert(servers.call_model(true).outcome == call_outcome::refused_not_run);
    servers.orders().apply({.lose_replies = 1});
    cr_assert(servers.call_plain("k2").outcome == call_outcome::unanswered);
    cr_assert_eq(servers.orders().executions().size(), 1U);
    servers.orders().apply({.kill = true});
    cr_assert(servers.call_plain("k3").outcome == call_outcome::unreachable);
}

Test(load, a_load_run_counts_every_call)
{
    test_servers servers;
    load_settings run_settings;
    run_settings.targets = {servers.engine().address()};
    run_settings.model = "router";
    run_settings.rate = 300.0;
    run_settings.length = std::chrono::milliseconds{700};
    run_settings.tokens = 5;
    run_settings.stream_share = 0.5;
    const load_report report =
        servers.runtime.run(run_load(servers.runtime.executor(), run_settings));
    std::uint64_t sum = 0;
    for (const std::uint64_t count : report.outcomes)
        sum += count;
    cr_assert(report.started > 100);
    cr_assert_eq(sum, report.started);
    cr_assert_eq(report.count_of(call_outcome::whole), report.started);
    cr_assert(report.first_token.count > 0 && report.total.p50 <= report.total.p99);
}

Test(load, percentiles_are_within_the_documented_error)
{
    latency_histogram histogram;
    for (int ms = 1; ms <= 1000; ++ms)
        histogram.add(std::chrono::milliseconds{ms});
    for (const double rank : {0.1, 0.5, 0.9, 0.99, 1.0}) {
        const double reported_ms =
            std::chrono::duration<double, std::milli>{histogram.percentile(rank)}.count();
        cr_assert(reported_ms >= rank * 1000 * 0.98 && reported_ms <= rank * 1000 * 1.03);
    }
}

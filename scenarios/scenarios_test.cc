#include "scenarios/forwarder.h"
#include "scenarios/invariants.h"
#include "scenarios/lua_host.h"
#include "standins/standin_testing.h"

#include <criterion/criterion.h>

using namespace jaynotch;
namespace json = boost::json;

// Every scenario relies on the invariants, so each of them must be reported when it is violated.

namespace {

plain_call_record make_record(const std::string& key, call_outcome outcome)
{
    plain_call_record record;
    record.call.key = key;
    record.call.body = "body " + key;
    record.result.outcome = outcome;
    return record;
}

} // namespace

Test(invariants, clean_records_have_no_violation)
{
    scenario_records records;
    records.calls = {
        make_record("a", call_outcome::whole), make_record("b", call_outcome::refused_not_run),
        make_record("c", call_outcome::refused_unknown), make_record("d", call_outcome::cut)};
    records.runs = {{"a", "x"}, {"c", "x"}};
    cr_assert(find_violations(records).empty());
}

Test(invariants, each_violation_is_reported)
{
    scenario_records twice;
    twice.calls = {make_record("a", call_outcome::whole)};
    twice.runs = {{"a", "x"}, {"a", "x"}};
    cr_assert_eq(find_violations(twice).size(), 1U);
    scenario_records lied;
    lied.calls = {make_record("a", call_outcome::refused_not_run)};
    lied.runs = {{"a", "x"}};
    cr_assert_eq(find_violations(lied).size(), 1U);
    scenario_records invented;
    invented.calls = {make_record("a", call_outcome::whole)};
    cr_assert_eq(find_violations(invented).size(), 1U);
    scenario_records partial;
    partial.partial_answers = 1;
    cr_assert_eq(find_violations(partial).size(), 1U);
    scenario_records wrong;
    wrong.wrong_answers = 1;
    cr_assert_eq(find_violations(wrong).size(), 1U);
}

Test(invariants, calls_with_one_key_are_checked_together)
{
    scenario_records records;
    records.calls = {make_record("a", call_outcome::whole),
                     make_record("a", call_outcome::refused_not_run)};
    records.runs = {{"a", "x"}};
    cr_assert(find_violations(records).empty());
}

Test(lua, values_convert_both_ways_and_errors_name_their_line)
{
    json::value seen;
    lua_host host{[&](std::string_view name, const json::object& arguments) -> json::value {
        if (name == "fail")
            throw exception{{error_kind::conflict, "no", "yes"}};
        seen = arguments;
        return json::object{{"list", json::array{1, 2.5, "x", true}}};
    }};
    const auto ran = host.run(R"(
        local back = op("echo", {a = 1, b = {c = "d"}, l = {1, 2}, f = 0.5, t = true})
        if back.list[2] ~= 2.5 or back.list[3] ~= "x" then error("wrong") end)",
                              "echo.lua");
    cr_assert(ran);
    cr_assert(seen == json::value(json::object{{"a", 1},
                                               {"b", json::object{{"c", "d"}}},
                                               {"l", json::array{1, 2}},
                                               {"f", 0.5},
                                               {"t", true}}));
    const auto failed = host.run("\n\nop('fail', {})", "fail.lua");
    cr_assert(!failed && failed.error().message.find("conflict") != std::string::npos);
    const auto broken = host.run("\nerror('here')", "broken.lua");
    cr_assert(broken.error().message.starts_with("broken.lua:2:"));
}

// A cut between two names must hold data back without closing a connection and forward it once
// healed. Connections between other names must not be affected.
Test(network, a_cut_blocks_bytes_until_it_is_healed)
{
    test_runtime runtime;
    auto plain = plain_standin::start(runtime.executor(), {}).value();
    auto network = std::make_shared<loopback_network>(runtime.executor());
    const std::string address = network->forward("plain", plain->address()).value();
    network->add_process("me", getpid());
    http_client client{runtime.executor(), address, http_limits{}};
    const auto ask = [&](duration timeout) {
        http_request request;
        request.repeatable = true;
        return bool(runtime.run(client.call(request, timeout)));
    };
    cr_assert(ask(std::chrono::seconds{2}));
    network->cut("me", "plain");
    cr_assert(!ask(std::chrono::milliseconds{150}));
    network->heal();
    cr_assert(ask(std::chrono::seconds{2}));
    network->cut("someone", "plain");
    cr_assert(ask(std::chrono::seconds{2}));
}

// A service behind a forwarder stops and restarts. While it is down, connections must fail at once,
// as they do without the forwarder; afterwards they must work again.
Test(network, connections_to_a_stopped_service_fail_until_it_restarts)
{
    test_runtime runtime;
    auto plain = plain_standin::start(runtime.executor(), {}).value();
    auto network = std::make_shared<loopback_network>(runtime.executor());
    const std::string address = network->forward("plain", plain->address()).value();
    network->add_process("me", getpid());
    http_client client{runtime.executor(), address, http_limits{}};
    const auto ask = [&] {
        http_request request;
        request.repeatable = true;
        return runtime.run(client.call(request, std::chrono::seconds{5}));
    };
    cr_assert(ask());
    plain->apply({.kill = true});
    for (int round = 0; round < 5; ++round) {
        const auto refused = ask();
        cr_assert(refused.error().kind == error_kind::unavailable, "%s",
                  to_string(refused.error()).c_str());
    }
    plain->apply({.kill = false});
    cr_assert(ask());
}

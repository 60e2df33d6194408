#include "standins/standin_testing.h"
#include "standins/standins.h"

#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

constexpr duration short_timeout = std::chrono::milliseconds{200};

struct served_kv {
    test_runtime runtime;
    std::shared_ptr<kv_standin> standin = kv_standin::start(runtime.executor(), {}).value();
    kv_service kv = kv_service::over_etcd(
        runtime.executor(), {.address = standin->address(), .timeout = short_timeout});

    result<kv_outcome> transact(kv_transaction transaction)
    {
        return runtime.run(kv.transact(std::move(transaction)));
    }
    result<kv_outcome> put(const std::string& key, const std::string& value)
    {
        kv_transaction transaction;
        transaction.then.push_back(kv_put{key, value, {}});
        return transact(std::move(transaction));
    }
};

kv_transaction create(const std::string& key, const std::string& value)
{
    kv_transaction transaction;
    transaction.compares.push_back({key, 0});
    transaction.then.push_back(kv_put{key, value, {}});
    transaction.otherwise.push_back(kv_get{key});
    return transaction;
}

} // namespace

// Two clients create the same key. The second one must fail and get the existing entry, with its
// binary value unchanged and its revision, to see which claim holds.
Test(etcd_gateway, only_one_create_succeeds_and_the_other_gets_the_entry)
{
    served_kv served;
    const std::string binary("\0\xff binary", 9);
    const auto first = served.transact(create("claim/1", binary));
    cr_assert(first.value().succeeded);
    const auto second = served.transact(create("claim/1", "mine"));
    cr_assert(!second.value().succeeded);
    cr_assert_eq(second.value().entries.size(), 1U);
    cr_assert(second.value().entries[0].value == binary);
    cr_assert_eq(second.value().entries[0].mod_revision, first.value().revision);
    const auto read = served.runtime.run(served.kv.get("claim/1"));
    cr_assert_eq(read.value().mod_revision(), first.value().revision);
}

// Guards against a reading that is given up although its answer keeps arriving, as when all nodes
// start at once.
Test(etcd_gateway, a_prefix_is_read_through_a_slow_link)
{
    served_kv served;
    constexpr std::size_t value_bytes = 200'000;
    constexpr double seconds = 0.5;
    cr_assert(served.put("big/1", std::string(value_bytes, 'x')).value().succeeded);
    served.standin->link.set_rate(static_cast<double>(value_bytes) / seconds);
    const auto read = served.runtime.run(served.kv.get_prefix("big/"));
    cr_assert(read, "%s", read ? "" : read.error().message.c_str());
    cr_assert_eq(read.value().entries.size(), 1U);
}

Test(etcd_gateway, a_prefix_read_returns_only_keys_with_the_prefix)
{
    served_kv served;
    for (const char* key : {"a/1", "a/2", "a0", "a", "b/1"})
        cr_assert(served.put(key, "v"));
    const auto range = served.runtime.run(served.kv.get_prefix("a/"));
    cr_assert_eq(range.value().entries.size(), 2U);
    cr_assert_eq(range.value().entries[1].key, "a/2");
}

// A claim is written, but the reply is lost. The client must report an unknown outcome, not a
// failure; reading the key back then shows that the claim was written.
Test(etcd_gateway, a_write_whose_reply_is_lost_is_unknown_and_can_be_resolved)
{
    served_kv served;
    served.standin->apply({.lose_replies = 1});
    const auto lost = served.transact(create("claim/1", "mine"));
    cr_assert(lost.error().kind == error_kind::unknown_outcome);
    const auto read = served.runtime.run(served.kv.get("claim/1"));
    cr_assert_eq(read.value().entry->value, "mine");
}

// The service accepts calls but stops answering. Reads must fail with a timeout, writes with an
// unknown outcome, both within the client's timeout.
Test(etcd_gateway, an_unresponsive_service_is_a_timeout_for_reads_and_unknown_for_writes)
{
    served_kv served;
    served.standin->apply({.pause = true});
    const auto read = served.runtime.run(served.kv.get("a"));
    cr_assert(read.error().kind == error_kind::deadline_exceeded);
    const auto written = served.put("a", "1");
    cr_assert(written.error().kind == error_kind::unknown_outcome);
    served.standin->apply({.pause = false});
    cr_assert(served.runtime.run_until([&] {
        served.runtime.run_for(std::chrono::milliseconds{1});
        return bool(served.runtime.run(served.kv.get("a")));
    }));
}

// The service's process has died, so the connection is refused. Nothing was sent, so the write must
// fail as unavailable instead of with an unknown outcome, and can be repeated safely.
Test(etcd_gateway, a_refused_connection_sent_nothing)
{
    served_kv served;
    served.standin->apply({.kill = true});
    cr_assert(served.put("a", "1").error().kind == error_kind::unavailable);
    served.standin->apply({.kill = false});
    cr_assert(served.put("a", "1"));
}

// During an outage the service answers 503, which does not show whether a write took effect, so its
// outcome must be reported as unknown. A write over the rate limit was certainly not executed.
Test(etcd_gateway, an_outage_and_a_rate_limit_are_distinguished)
{
    served_kv served;
    served.standin->apply({.outage = true});
    cr_assert(served.runtime.run(served.kv.get("a")).error().kind == error_kind::unavailable);
    cr_assert(served.put("a", "1").error().kind == error_kind::unknown_outcome);
    served.standin->apply({.outage = false, .rate = 1});
    (void)served.put("a", "1");
    cr_assert(served.put("a", "2").error().kind == error_kind::rate_limited);
}

// The service sends a malformed response, or one shorter than its Content-Length. Neither may be
// taken as the result of a call; after a write the outcome is unknown.
Test(etcd_gateway, malformed_and_cut_answers_are_never_an_outcome)
{
    served_kv served;
    served.standin->apply({.garbage = true});
    cr_assert(served.runtime.run(served.kv.get("a")).error().kind == error_kind::protocol);
    cr_assert(served.put("a", "1").error().kind == error_kind::unknown_outcome);
    served.standin->apply({.wrong_length = true, .garbage = false});
    cr_assert(!served.runtime.run(served.kv.get("a")));
    cr_assert(served.put("a", "1").error().kind == error_kind::unknown_outcome);
}

// The service sends each response twice. The second copy must not be taken as the response to the
// next call on the same connection.
Test(etcd_gateway, an_answer_sent_twice_does_not_answer_the_next_call)
{
    served_kv served;
    cr_assert(served.put("a", "1"));
    cr_assert(served.put("b", "2"));
    served.standin->apply({.answer_twice = true});
    for (int round = 0; round < 20; ++round) {
        const auto a = served.runtime.run(served.kv.get("a"));
        cr_assert(!a || a.value().entry->value == "1");
        const auto b = served.runtime.run(served.kv.get("b"));
        cr_assert(!b || b.value().entry->value == "2");
    }
}

Test(etcd_gateway, an_oversized_answer_is_refused)
{
    served_kv served;
    cr_assert(served.put("a", std::string(100'000, 'x')));
    kv_service small = kv_service::over_etcd(
        served.runtime.executor(),
        {.address = served.standin->address(), .timeout = short_timeout, .answer_bytes = 50'000});
    cr_assert(served.runtime.run(small.get("a")).error().kind == error_kind::too_large);
}

Test(etcd_gateway, an_expired_lease_deletes_its_keys_and_is_not_found)
{
    served_kv served;
    const auto lease = served.runtime.run(served.kv.grant(std::chrono::seconds{30}));
    kv_transaction transaction;
    transaction.then.push_back(kv_put{"manager", "me", lease.value().id});
    cr_assert(served.transact(transaction));
    cr_assert(served.runtime.run(served.kv.keep_alive(lease.value().id)));
    served.standin->expire_lease(lease.value().id);
    const auto kept = served.runtime.run(served.kv.keep_alive(lease.value().id));
    cr_assert(kept.error().kind == error_kind::not_found);
    cr_assert(!served.runtime.run(served.kv.get("manager")).value().entry);
    cr_assert(served.transact(transaction).error().kind == error_kind::not_found);
}

Test(etcd_gateway, a_watch_reports_each_change_once_and_in_order)
{
    served_kv served;
    const auto before = served.put("w/0", "0");
    result<kv_watch> watch = served.runtime.run(served.kv.watch("w/", before.value().revision + 1));
    cr_assert(served.put("w/1", "1"));
    cr_assert(served.put("x/1", "not seen"));
    kv_transaction removal;
    removal.then.push_back(kv_delete{"w/0"});
    cr_assert(served.transact(removal));
    std::vector<kv_event> seen;
    while (seen.size() < 2) {
        const auto batch = served.runtime.run(watch.value().next(std::chrono::seconds{5}));
        cr_assert(!batch.value().events.empty());
        seen.insert(seen.end(), batch.value().events.begin(), batch.value().events.end());
    }
    cr_assert_eq(seen[0].entry.value, "1");
    cr_assert(seen[1].deleted && seen[1].entry.key == "w/0");
    const auto quiet = served.runtime.run(watch.value().next(std::chrono::milliseconds{30}));
    cr_assert(quiet.value().events.empty());
}

// The connection of a watch is reset when the service dies. The watch must report an error instead
// of waiting forever, and a new watch from the same revision must deliver all changes.
Test(etcd_gateway, a_cut_watch_is_detected_and_loses_no_change)
{
    served_kv served;
    const auto before = served.put("w/0", "0");
    const std::int64_t from = before.value().revision + 1;
    {
        result<kv_watch> watch = served.runtime.run(served.kv.watch("w/", from));
        served.standin->apply({.kill = true});
        const auto ended = served.runtime.run(watch.value().next(std::chrono::seconds{5}));
        cr_assert(ended.error().kind == error_kind::unavailable);
    }
    served.standin->apply({.kill = false});
    cr_assert(served.put("w/1", "1"));
    result<kv_watch> again = served.runtime.run(served.kv.watch("w/", from));
    const auto batch = served.runtime.run(again.value().next(std::chrono::seconds{5}));
    cr_assert_eq(batch.value().events.at(0).entry.value, "1");
}

// A client destroys a watch. If its request stayed open, abandoned watches would accumulate at the
// service.
Test(etcd_gateway, a_dropped_watch_stops_waiting_at_the_service)
{
    served_kv served;
    {
        result<kv_watch> watch = served.runtime.run(served.kv.watch("w/", 0));
        cr_assert(watch);
        cr_assert(served.runtime.run_until([&] { return served.standin->waiting_watches() == 1; }));
    }
    cr_assert(served.runtime.run_until([&] { return served.standin->waiting_watches() == 0; }));
}

// Tests with the in-memory adapter are only valid for the etcd gateway if both behave alike. The
// same random transactions run on both, and their results are compared step by step.
Test(kv_adapters, memory_and_gateway_behave_alike)
{
    served_kv served;
    auto server = memory_kv_server::make(served.runtime.executor());
    kv_service memory = kv_service::in_memory(served.runtime.executor(), server);
    random_source random{11};
    for (int step = 0; step < 150; ++step) {
        const std::string key = "k" + std::to_string(random.index(5));
        const auto current = served.runtime.run(served.kv.get(key));
        kv_transaction transaction;
        transaction.compares.push_back(
            {key, random.chance(0.7) ? current.value().mod_revision() : random.between(0, 20)});
        if (random.chance(0.3))
            transaction.then.push_back(kv_delete{key});
        else
            transaction.then.push_back(kv_put{key, std::to_string(step), {}});
        transaction.otherwise.push_back(kv_get{key});
        const auto a = served.transact(transaction);
        const auto b = served.runtime.run(memory.transact(transaction));
        cr_assert(a.value() == b.value());
    }
    const auto a = served.runtime.run(served.kv.get_prefix("k"));
    const auto b = served.runtime.run(memory.get_prefix("k"));
    cr_assert(a.value().entries == b.value().entries);
    cr_assert_eq(served.kv.counts().of(kv_call::transact), 150U);
}

// A write takes effect after its call timed out, so the call must report an unknown outcome, not a
// failure.
Test(memory_kv, a_delayed_write_takes_effect_after_the_timeout)
{
    test_runtime runtime;
    auto server = memory_kv_server::make(runtime.executor());
    kv_service kv = kv_service::in_memory(runtime.executor(), server, short_timeout);
    server->faults.late_effects = 1;
    const auto written = runtime.run(kv.transact(create("a", "late")));
    cr_assert(written.error().kind == error_kind::unknown_outcome);
    cr_assert(!runtime.run(kv.get("a")).value().entry);
    cr_assert(runtime.run_until([&] { return server->store.find("a") != nullptr; }));
}

Test(memory_kv, leases_expire_on_the_paused_clock_and_notify_watches)
{
    runtime_clock::pause();
    test_runtime runtime;
    auto server = memory_kv_server::make(runtime.executor());
    kv_service kv = kv_service::in_memory(runtime.executor(), server, short_timeout);
    const auto lease = runtime.run(kv.grant(std::chrono::seconds{5}));
    kv_transaction transaction;
    transaction.then.push_back(kv_put{"node/a", "x", lease.value().id});
    cr_assert(runtime.run(kv.transact(transaction)));
    result<kv_watch> watch = runtime.run(kv.watch("node/", 0));
    runtime_clock::advance(std::chrono::seconds{6});
    const auto batch = runtime.run(watch.value().next(std::chrono::seconds{1}));
    cr_assert(batch.value().events.at(0).deleted);
}

Test(memory_kv, a_partition_affects_only_its_client)
{
    test_runtime runtime;
    auto server = memory_kv_server::make(runtime.executor());
    kv_service near = kv_service::in_memory(runtime.executor(), server, short_timeout);
    kv_service far = kv_service::in_memory(runtime.executor(), server, short_timeout);
    far.memory()->set_partitioned(true);
    cr_assert(runtime.run(far.transact(create("a", "far"))).error().kind ==
              error_kind::unavailable);
    cr_assert(runtime.run(near.transact(create("a", "near"))).value().succeeded);
    far.memory()->set_partitioned(false);
    cr_assert_eq(runtime.run(far.get("a")).value().entry->value, "near");
}

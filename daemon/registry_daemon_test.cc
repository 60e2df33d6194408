#include "daemon/fleet_fixture.h"
#include "daemon/registry_daemon.h"
#include "standins/store_standin.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace std::chrono_literals;

namespace {

std::string document(int version, const std::string& keys = R"(["key-1"])",
                     const std::string& extra = "")
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
        {"name":"chat","host":"a.example","prefix":"/chat/","route_kind":"streaming",
         "timeout_ms":5000,"latency_target_ms":300,"priority":1,"service":"llm","max_attempts":2,
         "public":false,"session_affinity":true,"resumable":true,"gap_target_ms":300},
        {"name":"order","host":"a.example","prefix":"/order/","route_kind":"non_idempotent",
         "timeout_ms":2000,"latency_target_ms":300,"priority":2,"service":"app","max_attempts":1,
         "public":false},
        {"name":"read","host":"a.example","prefix":"/read/","route_kind":"idempotent",
         "timeout_ms":2000,"latency_target_ms":300,"priority":2,"service":"app","max_attempts":2,
         "public":true})" +
           extra + R"(],
        "services":[
        {"name":"llm","health_path":"/health","max_conns":100,"engine":{"slot_count":8,
         "kv_tokens":100000,"stride":7,"models":[{"name":"m","size":2,"share":1.0,"pace":1.0,
         "load_s":0.04,"warmup_s":0.04}],"step_ms":1.0,"per_seq_ms":0.0,"context_per_k":0.0,
         "read_per_s":100000.0,"pairs_per_m":0.0,"chunk":2048,"loads_per_s":50.0,
         "loads_at_once":8,"usual":{"prompt":100,"answer":50},"retain_count":1,"form_ms":0}},
        {"name":"app","health_path":"/health","max_conns":100}],
        "limits":{"max_header_bytes":16384,"max_body_bytes":65536,"header_timeout_ms":3000,
         "idle_timeout_ms":15000},
        "tenants":[{"name":"farm","api_keys":)" +
           keys + R"(,"priority":1}]})";
}

/// The platform's stand-ins, some daemons, and callers, on one io_context.
class site {
    boost::asio::io_context m_io; // first: everything else runs on it until the end

public:
    explicit site(std::size_t daemons = 1, std::size_t runners = 4, std::size_t servers = 2)
    {
        m_store = store_standin::start(m_io.get_executor()).value();
        m_store->put("op/config", document(1));
        for (std::size_t index = 0; index < runners; ++index)
            models.push_back(add({.id = "m-" + std::to_string(index), .domain = "d0"}));
        for (std::size_t index = 0; index < servers; ++index)
            apps.push_back(add({.id = "a-" + std::to_string(index), .service = "app"}));
        for (std::size_t index = 0; index < daemons; ++index)
            start_daemon(index);
    }

    std::shared_ptr<runner_standin> add(runner_standin_settings settings)
    {
        return runner_standin::start(m_io.get_executor(), m_store, std::move(settings)).value();
    }

    void start_daemon(std::size_t index)
    {
        daemon_settings chosen;
        chosen.form = source_form::registry;
        chosen.first_start = true;
        chosen.node = node_id{"node-" + std::to_string(index)};
        chosen.failure_domain = failure_domain_id{"zone-a"};
        chosen.deployment = "test";
        chosen.listen = "127.0.0.1:0";
        chosen.ready_listen = "127.0.0.1:0";
        chosen.admin_listen = "127.0.0.1:0";
        chosen.peer_listen = "127.0.0.1:0";
        chosen.key_value = {m_store->address()};
        chosen.timeouts.balancer = 100ms;
        chosen.timeouts.longest_stop = 5s;
        chosen.site.retry_extra = 100;
        chosen.seed = index + 1;
        if (!daemons.empty())
            chosen.seed_peers = {daemons.front()->peer_address()};
        daemons.push_back(registry_daemon::create(m_io, chosen).value());
        daemons.back()->start();
    }

    template <class Done>
    bool run_until(Done done, duration longest = 10s)
    {
        const time_point until = runtime_clock::now() + longest;
        m_io.restart();
        while (!done() && runtime_clock::now() < until)
            m_io.run_one_for(std::chrono::milliseconds{20});
        return done();
    }

    /// Runs on paused time, which moves on in small steps until `done`; returns how long it took.
    template <class Done>
    duration time_until(Done done, duration longest)
    {
        constexpr duration step = 5ms;
        const auto work = std::chrono::milliseconds{2}; // for the sockets, between two steps
        runtime_clock::pause();
        const time_point begun = runtime_clock::now();
        m_io.restart();
        while (!done() && runtime_clock::now() - begun < longest) {
            runtime_clock::advance(step);
            m_io.run_for(work);
        }
        const duration took = runtime_clock::now() - begun;
        runtime_clock::resume();
        return took;
    }

    void run(duration time)
    {
        const time_point until = runtime_clock::now() + time;
        run_until([&] { return runtime_clock::now() >= until; }, time + 1s);
    }

    [[nodiscard]] std::size_t open_groups() const
    {
        return static_cast<std::size_t>(std::count_if(models.begin(), models.end(),
                                                      [](const auto& one) { return one->open(); }));
    }

    /// Waits until every daemon would serve a stream.
    void settle()
    {
        cr_assert(run_until([&] {
            return open_groups() >= 2 && std::all_of(daemons.begin(), daemons.end(), [](auto& one) {
                       return one->complete_groups() >= 2;
                   });
        }));
    }

    struct asked {
        std::shared_ptr<caller_answer> answer = std::make_shared<caller_answer>();
        std::shared_ptr<bool> ended = std::make_shared<bool>(false);
    };

    asked begin(const std::string& target, std::vector<http_header> more = {}, std::size_t node = 0)
    {
        caller_request request;
        request.target = target;
        request.body = "body";
        request.headers = {{"Host", "a.example"},
                           {"Jaynotch-Attempt-Id", "id-" + std::to_string(++m_last_id)},
                           {"Jaynotch-Deadline-Ms", "4000"}};
        if (target.starts_with("/chat/"))
            request.headers.insert(request.headers.end(),
                                   {{"Jaynotch-Model", "m"}, {"Jaynotch-Token-Counts", "100,50"}});
        bool keyed = false;
        for (http_header& one : more) {
            keyed = keyed || one.name == "Authorization";
            request.headers.push_back(std::move(one));
        }
        if (!keyed)
            request.headers.push_back({"Authorization", "Bearer key-1"});
        asked made;
        boost::asio::co_spawn(m_io,
                              call(daemons[node]->listen_port(), request, made.answer, made.ended),
                              boost::asio::detached);
        return made;
    }

    caller_answer ask(const std::string& target, std::vector<http_header> more = {},
                      std::size_t node = 0)
    {
        const asked made = begin(target, std::move(more), node);
        cr_assert(run_until([&] { return *made.ended; }), "no answer to %s", target.c_str());
        return *made.answer;
    }

    store_standin& store() { return *m_store; }
    [[nodiscard]] std::string last_id() const { return "id-" + std::to_string(m_last_id); }

    boost::asio::io_context& io() { return m_io; }
    std::vector<std::shared_ptr<runner_standin>> models;
    std::vector<std::shared_ptr<runner_standin>> apps;
    std::vector<std::unique_ptr<registry_daemon>> daemons;

private:
    std::shared_ptr<store_standin> m_store;
    int m_last_id = 0;
};

const std::string whole_stream = "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\n"
                                 "id: 4\ndata: e4\n\nid: 5\ndata: e5\n\nid: 6\ndata: e6\n\n";

std::size_t ran_in_all(const std::vector<std::shared_ptr<runner_standin>>& servers)
{
    std::size_t sum = 0;
    for (const auto& one : servers)
        sum += one->ran.size();
    return sum;
}

} // namespace

Test(registry_daemon, forms_groups_and_serves_a_stream)
{
    site here;
    here.settle();
    const caller_answer answer = here.ask("/chat/1");
    cr_assert_eq(answer.status, 200);
    cr_assert(answer.whole);
    cr_assert_eq(answer.body, whole_stream);
    cr_assert(answer.headers.find("seal-m-") != std::string::npos);
}

Test(registry_daemon, a_server_learns_the_workspace_and_never_the_key)
{
    site here;
    here.settle();
    const caller_answer answer =
        here.ask("/order/1?x=y", {{"Jaynotch-Tenant", "forged"}, {"X-Own", "kept"}});
    cr_assert_eq(answer.status, 200);
    cr_assert_eq(ran_in_all(here.apps), 1U);
    const auto& server = here.apps[0]->ran.empty() ? here.apps[1] : here.apps[0];
    const received_request& seen = server->ran.front();
    cr_assert_eq(seen.target, "/order/1?x=y");
    cr_assert_eq(seen.body, "body");
    cr_assert_eq(seen.attempt, here.last_id());
    cr_assert_eq(seen.headers.at("Jaynotch-Tenant"), "farm");
    cr_assert_eq(seen.headers.at("Jaynotch-Expect-Instance"), server->id());
    cr_assert_eq(seen.headers.at("X-Own"), "kept");
    cr_assert(!seen.headers.contains("Authorization"));
    const int left = std::stoi(seen.headers.at("Jaynotch-Deadline-Ms"));
    cr_assert(left > 0 && left <= 2000, "the route's time bounds it: %d", left);
}

Test(registry_daemon, unknown_keys_and_routes_are_refused)
{
    site here;
    here.settle();
    cr_assert_eq(here.ask("/order/1", {{"Authorization", "Bearer nobody"}}).status, 401);
    cr_assert_eq(here.ask("/nowhere/1").status, 404);
    cr_assert_eq(here.ask("/read/1", {{"Authorization", "Bearer nobody"}}).status, 200,
                 "an open route needs no key");
    cr_assert_eq(ran_in_all(here.apps), 1U);
}

// The server of a stream dies in its middle. The caller sees one stream under one head, with every
// event once: the rest comes from another group.
Test(registry_daemon, a_broken_stream_goes_on_from_another_group)
{
    site here;
    here.settle();
    for (const auto& one : here.models)
        one->faults.cut_after = 3;
    const caller_answer answer = here.ask("/chat/1");
    cr_assert_eq(answer.status, 200);
    cr_assert(answer.whole);
    cr_assert_eq(answer.body, whole_stream);
    cr_assert_eq(ran_in_all(here.models), 2U);
}

// The first server of a stream dies in its middle, and the one that is to go on answers 500. The
// caller's stream ends where the first server left it, told as cut short, or goes on from a server
// that does: the head and the text of the failure must not stand among its events.
Test(registry_daemon, a_failure_never_completes_a_stream_that_has_begun)
{
    site here;
    here.settle();
    bool cut = true;
    for (const auto& one : here.models) {
        if (!one->open())
            continue;
        one->faults.cut_after = cut ? 3 : 0;
        one->faults.fail = !cut;
        cut = false;
    }
    int begun = 0;
    for (int round = 0; round < 6; ++round) {
        const caller_answer answer = here.ask("/chat/1");
        if (answer.status != 200)
            continue;
        ++begun;
        cr_assert(whole_stream.starts_with(answer.body), "%s", answer.body.c_str());
        cr_assert_eq(answer.whole, answer.body == whole_stream);
        cr_assert(!answer.garbled);
    }
    cr_assert_gt(begun, 0, "no stream began on the server that dies");
}

// An order's connection ends after its server ran it. Whether it took effect is not known here, so
// it is not sent again, and no status may say that it never ran.
Test(registry_daemon, what_may_have_run_is_neither_repeated_nor_denied)
{
    site here;
    here.settle();
    for (const auto& one : here.apps)
        one->faults.cut = true;
    const caller_answer answer = here.ask("/order/1");
    cr_assert_eq(answer.status, 502);
    cr_assert_eq(ran_in_all(here.apps), 1U);
}

Test(registry_daemon, what_no_server_ran_is_refused_with_a_time_to_return)
{
    site here;
    here.settle();
    for (const auto& one : here.apps)
        one->faults.refuse = true;
    const caller_answer answer = here.ask("/order/1");
    cr_assert_eq(answer.status, 503);
    cr_assert(answer.headers.find("Retry-After: ") != std::string::npos);
    cr_assert_eq(ran_in_all(here.apps), 0U);
}

// A server's late second answer to an earlier request stands where the next one's is due. It must
// not reach that caller, whose own answer follows on the connection.
Test(registry_daemon, an_answer_to_another_request_is_passed_over)
{
    site here;
    here.settle();
    for (const auto& one : here.apps)
        one->faults.foreign = true;
    const caller_answer answer = here.ask("/order/1");
    cr_assert_eq(answer.status, 200);
    cr_assert(answer.body.ends_with("to " + here.last_id()), "%s", answer.body.c_str());
    cr_assert_eq(ran_in_all(here.apps), 1U);
}

Test(registry_daemon, a_failed_read_is_asked_for_elsewhere)
{
    site here;
    here.settle();
    here.apps[0]->faults.fail = true;
    for (int round = 0; round < 6; ++round)
        cr_assert_eq(here.ask("/read/1").status, 200);
}

Test(registry_daemon, a_server_that_drains_gets_nothing_new)
{
    site here;
    here.settle();
    here.apps[0]->drain();
    here.run(500ms);
    const std::size_t before = here.apps[0]->ran.size();
    for (int round = 0; round < 8; ++round)
        cr_assert_eq(here.ask("/read/1").status, 200);
    cr_assert_eq(here.apps[0]->ran.size(), before);
}

// The operators take a key away; both nodes refuse it soon, and an older version that turns up
// later changes nothing.
Test(registry_daemon, a_changed_configuration_is_in_force_soon)
{
    site here{2};
    here.settle();
    cr_assert_eq(here.ask("/order/1", {}, 1).status, 200);
    here.store().put("op/config", document(2, R"(["key-2"])"));
    here.run(1s);
    for (std::size_t node = 0; node < 2; ++node) {
        cr_assert_eq(here.ask("/order/1", {}, node).status, 401);
        cr_assert_eq(here.ask("/order/1", {{"Authorization", "Bearer key-2"}}, node).status, 200);
    }
    here.store().put("op/config", document(1));
    here.run(500ms);
    cr_assert_eq(here.ask("/order/1").status, 401, "an older version never comes back");
}

namespace {

/// How long a lone node takes to put a revoked key into force after `trouble` befell its watch.
duration time_to_revoke(const std::function<void(store_standin&)>& trouble)
{
    site here{1, 0};
    cr_assert(here.run_until([&] { return here.ask("/order/1").status == 200; }));
    const duration start = 7s; // changes gather differently while a fleet starts
    here.time_until([] { return false; }, start);
    here.store().withholds_changes = true;
    here.store().put("op/config", document(2, R"(["key-2"])"));
    trouble(here.store());
    here.store().withholds_changes = false;
    const auto in_force = [&] { return here.daemons[0]->tables_revision().value() == 2; };
    return here.time_until(in_force, 2 * site_bounds{}.config_apply);
}

} // namespace

// Guards against a node that waits for news of a history that the store has dropped.
Test(registry_daemon, a_change_is_in_force_in_time_though_the_history_was_dropped)
{
    const duration took = time_to_revoke([](store_standin& store) { store.drop_history(); });
    cr_assert_lt(took, site_bounds{}.config_apply);
}

// Guards against a node that waits too long on a connection that has gone silent.
Test(registry_daemon, a_change_is_in_force_in_time_though_the_watch_went_silent)
{
    const duration took = time_to_revoke([](store_standin& store) { store.stall_watches(); });
    cr_assert_lt(took, site_bounds{}.config_apply);
}

// Guards against nodes that each keep to a server's limit by themselves, or not at all.
Test(registry_daemon, a_servers_limit_holds_for_all_nodes_together)
{
    constexpr std::size_t nodes = 3;
    constexpr duration window = 4s;
    constexpr std::size_t most_in_window =
        2 * 4 * 3 / 2 + 5; // 2 a second, half as many again, and 5
    site here{nodes, 0, 1};
    for (std::size_t node = 0; node < nodes; ++node)
        cr_assert(here.run_until([&] { return here.ask("/read/1", {}, node).status == 200; }));
    here.apps[0]->faults.limit = "2";
    const std::size_t before = here.apps[0]->ran.size();
    const time_point begun = runtime_clock::now();
    time_point next = begun;
    const duration span = 9s;
    here.time_until(
        [&] {
            if (runtime_clock::now() < next)
                return false;
            next += 50ms;
            for (std::size_t node = 0; node < nodes; ++node)
                here.begin("/read/1", {}, node);
            return false;
        },
        span);
    std::vector<time_point> arrivals;
    for (std::size_t at = before; at < here.apps[0]->ran.size(); ++at) {
        if (here.apps[0]->ran[at].at >= begun + 1s)
            arrivals.push_back(here.apps[0]->ran[at].at);
    }
    for (std::size_t at = most_in_window; at < arrivals.size(); ++at)
        cr_assert_gt(arrivals[at] - arrivals[at - most_in_window], window);
    cr_assert_geq(arrivals.size(), 8U, "half of what the server takes is used");
}

// While the store is down nothing can be learned, and everything that is known goes on serving.
Test(registry_daemon, an_outage_of_the_store_stops_nothing)
{
    site here;
    here.settle();
    here.store().is_unavailable = true;
    here.run(1500ms);
    cr_assert_eq(here.ask("/chat/1").body, whole_stream);
    cr_assert_eq(here.ask("/order/1").status, 200);
    here.store().is_unavailable = false;
    here.store().put("op/config", document(5, R"(["key-5"])"));
    here.run(2500ms);
    cr_assert_eq(here.ask("/order/1").status, 401, "the watch goes on where it was");
}

// Another writer has put things into the registry. Each is passed over with a line; the others
// hold.
Test(registry_daemon, entries_that_cant_be_read_name_nobody)
{
    site here;
    here.settle();
    here.store().put("servers/x-1", "no JSON");
    here.store().put("servers/x-2",
                     R"({"service":"app","addr":"nowhere","state":"ready","born":1})");
    here.store().put("servers/x-3", R"({"service":7})");
    here.store().put("servers/x-4",
                     R"({"service":"app","addr":"127.0.0.1:1","state":"odd","born":1})");
    here.store().put("op/config", "no JSON");
    here.run(300ms);
    for (int round = 0; round < 4; ++round)
        cr_assert_eq(here.ask("/order/1").status, 200);
}

// A planned stop under a running stream: the stream is finished, and so is one that comes while the
// balancer has not yet noticed.
Test(registry_daemon, a_planned_stop_cuts_nobody_off)
{
    site here;
    here.settle();
    const auto stream = here.begin("/chat/1");
    here.run(20ms);
    bool stopped = false;
    boost::asio::co_spawn(here.io(), here.daemons[0]->stop(),
                          [&](const std::exception_ptr&) { stopped = true; });
    here.run(20ms);
    cr_assert(!here.daemons[0]->ready());
    const auto late = here.begin("/chat/2");
    cr_assert(here.run_until([&] { return stopped; }));
    cr_assert_eq(stream.answer->body, whole_stream);
    cr_assert(stream.answer->whole);
    cr_assert_eq(late.answer->body, whole_stream);
}

// A member of a group dies without a word. Its group's streams stop; they go on elsewhere, and the
// group is made whole with a spare.
Test(registry_daemon, a_silent_group_is_left_and_made_anew)
{
    site here{1, 5};
    here.settle();
    const auto head = *std::find_if(here.models.begin(), here.models.end(),
                                    [](const auto& one) { return one->open(); });
    head->faults.mute = true;
    std::vector<site::asked> streams;
    for (int index = 0; index < 6; ++index)
        streams.push_back(here.begin("/chat/1"));
    cr_assert(here.run_until([&] {
        return std::all_of(streams.begin(), streams.end(),
                           [](const auto& one) { return *one.ended; });
    }));
    for (const site::asked& one : streams)
        cr_assert_eq(one.answer->body, whole_stream);
}

#include "load/answer_text.h"
#include "standins/standin_testing.h"
#include "standins/standins.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace jaynotch;
namespace http = boost::beast::http;
namespace json = boost::json;

namespace {

constexpr const char* model = "router";
constexpr const char* version = "v1";

/// What a caller received from one stream.
struct received_stream {
    http::status status = http::status::unknown;
    std::string ran; ///< value of the header jaynotch-ran
    std::string text;
    bool done = false; ///< received the terminal [DONE] event
    bool cut = false;  ///< ended with an error
};

struct engine_group {
    test_runtime runtime;
    std::shared_ptr<standin_fleet> fleet;
    std::vector<std::string> members;

    explicit engine_group(std::size_t size, standin_fleet_settings settings = {})
    {
        settings.engines = size;
        settings.fabric_domains = 1;
        settings.weights.bytes_per_second = 200'000'000;
        fleet = standin_fleet::start(runtime.executor(), settings).value();
        for (std::size_t rank = 0; rank < size; ++rank)
            members.push_back(fleet->engine(rank).address());
    }

    result<void> assign(std::size_t rank, std::int64_t fencing, const std::string& group = "g1")
    {
        engine_client client{runtime.executor(), members[rank], std::chrono::seconds{1}};
        const engine_order_assign order{.order = "o",
                                        .fencing = fencing_number{fencing},
                                        .group = group_id{group},
                                        .rank = static_cast<std::uint32_t>(rank),
                                        .members = members,
                                        .model = model,
                                        .version = version,
                                        .adapters = {}};
        return runtime.run(client.assign(order));
    }

    void assign_all(std::int64_t fencing)
    {
        for (std::size_t rank = 0; rank < members.size(); ++rank)
            cr_assert(assign(rank, fencing));
        cr_assert(runtime.run_until([&] {
            for (std::size_t rank = 0; rank < members.size(); ++rank) {
                if (fleet->engine(rank).report().state != engine_state::ready)
                    return false;
            }
            return true;
        }));
    }

    http_request request(const std::string& prompt, std::uint32_t tokens,
                         const std::string& resume_text = "")
    {
        json::object body{{"model", model},
                          {"prompt", prompt},
                          {"stream", true},
                          {"max_tokens", tokens},
                          {"ignore_eos", true}};
        if (!resume_text.empty())
            body["jaynotch_resume"] = json::object{{"text", resume_text}};
        http_request made;
        made.method = http::verb::post;
        made.target = "/v1/completions";
        made.headers.push_back({"jaynotch-attempt", "77"});
        made.headers.push_back({"jaynotch-group", "g1"});
        made.body = json::serialize(body);
        return made;
    }

    received_stream stream(http_request wanted)
    {
        return runtime.run(read_stream(std::move(wanted)));
    }

    awaitable<received_stream> read_stream(http_request wanted)
    {
        received_stream received;
        http_client client{runtime.executor(), members[0], http_limits{}};
        result<http_stream> opened =
            co_await client.open(std::move(wanted), std::chrono::seconds{5});
        if (!opened) {
            received.cut = true;
            co_return received;
        }
        received.status = opened.value().status();
        received.ran = std::string{opened.value().header("jaynotch-ran")};
        std::string body;
        for (;;) {
            result<std::string> piece = co_await opened.value().read(std::chrono::seconds{5});
            if (!piece) {
                received.cut = true;
                break;
            }
            if (piece.value().empty())
                break;
            body += piece.value();
        }
        parse_events(body, received);
        co_return received;
    }

    static void parse_events(std::string_view body, received_stream& received)
    {
        while (!body.empty()) {
            const std::size_t end = body.find("\n\n");
            if (end == std::string_view::npos)
                return;
            std::string_view event = body.substr(0, end);
            body.remove_prefix(end + 2);
            if (!event.starts_with("data: "))
                continue;
            event.remove_prefix(6);
            if (event == "[DONE]") {
                received.done = true;
                continue;
            }
            const json::value parsed = json::parse(event);
            received.text += parsed.at("choices").at(0).at("text").as_string();
        }
    }
};

awaitable<void> run_after_delay(boost::asio::any_io_executor executor, duration wait,
                                std::function<void()> action)
{
    co_await standin_sleep(executor, wait);
    action();
}

/// Runs `action` after a delay, while the test waits for something else.
void run_after(engine_group& group, duration wait, std::function<void()> action)
{
    const auto executor = group.runtime.executor();
    boost::asio::co_spawn(executor, run_after_delay(executor, wait, std::move(action)),
                          boost::asio::detached);
}

awaitable<void> run_when(boost::asio::any_io_executor executor, std::function<bool()> condition,
                         std::function<void()> action)
{
    while (!condition()) {
        co_await standin_sleep(executor, std::chrono::milliseconds{1});
    }
    action();
}

/// Runs `action` once the first request on the member of rank 0 has sent `tokens` tokens.
void when_produced(engine_group& group, std::uint32_t tokens, std::function<void()> action)
{
    const auto running = [&group, tokens] {
        const auto& executions = group.fleet->engine(0).executions();
        return !executions.empty() && executions.front().tokens >= tokens;
    };
    const auto executor = group.runtime.executor();
    boost::asio::co_spawn(executor, run_when(executor, running, std::move(action)),
                          boost::asio::detached);
}

awaitable<bool> open_and_disconnect(engine_group& group)
{
    http_client client{group.runtime.executor(), group.members[0], http_limits{}};
    const result<http_stream> opened =
        co_await client.open(group.request("a", 5000), std::chrono::seconds{5});
    co_return bool(opened);
}

awaitable<void> release_first(engine_group& group)
{
    engine_client client{group.runtime.executor(), group.members[0], std::chrono::seconds{1}};
    const engine_order_release order{"r", fencing_number{6}, group_id{"g1"}};
    const result<void> taken = co_await client.release(order);
    cr_assert(taken);
    const result<engine_report> seen = co_await client.report();
    cr_assert(seen.value().state == engine_state::releasing);
}

} // namespace

Test(engine, a_complete_group_answers_with_verifiable_text)
{
    engine_group group{4};
    group.assign_all(5);
    const received_stream received = group.stream(group.request("trench 7", 24));
    cr_assert(received.done);
    cr_assert_eq(received.text, (answer_text{model, version, "trench 7"}.joined(0, 24)));
    cr_assert(group.fleet->engine(0).executions().at(0).finished);
    cr_assert(!group.fleet->engine(0).executions().at(0).partial);
}

// One of four members dies. The other three must not continue without it: the running stream is cut
// without its terminal event, and new requests are rejected with "jaynotch-ran: no".
Test(engine, a_group_that_lost_a_member_cuts_its_stream_and_refuses)
{
    engine_group group{4};
    group.assign_all(5);
    when_produced(group, 1, [&] { group.fleet->engine(2).apply({.kill = true}); });
    const received_stream cut = group.stream(group.request("a", 400));
    cr_assert(cut.cut && !cut.done);
    cr_assert((answer_text{model, version, "a"}.tokens_in(cut.text)));
    const received_stream refused = group.stream(group.request("b", 10));
    cr_assert(refused.status == http::status::conflict);
    cr_assert_eq(refused.ran, "no");
}

// While a member is paused, the group produces no tokens and does not end its streams. They
// continue when the member resumes, and the response is complete.
Test(engine, a_paused_member_stalls_its_group_until_it_returns)
{
    engine_group group{2};
    group.assign_all(5);
    group.fleet->engine(1).apply({.pause = true});
    when_produced(group, 0, [&] {
        run_after(group, std::chrono::milliseconds{200}, [&] {
            cr_assert_eq(group.fleet->engine(0).executions().at(0).tokens, 0U);
            group.fleet->engine(1).apply({.pause = false});
        });
    });
    const received_stream received = group.stream(group.request("p", 20));
    cr_assert(received.done);
    cr_assert_eq(received.text, (answer_text{model, version, "p"}.joined(0, 20)));
}

Test(engine, a_stream_resumes_after_the_text_already_sent)
{
    engine_group group{2};
    group.assign_all(5);
    group.fleet->engine(0).apply({.cut_after = 9});
    const received_stream cut = group.stream(group.request("r", 30));
    cr_assert(cut.cut && !cut.done);
    group.fleet->engine(0).apply({.cut_after = 0});
    const received_stream rest = group.stream(group.request("r", 30, cut.text));
    cr_assert(rest.done);
    cr_assert_eq(cut.text + rest.text, (answer_text{model, version, "r"}.joined(0, 30)));
    const received_stream foreign = group.stream(group.request("other", 30, cut.text));
    cr_assert(foreign.status == http::status::unprocessable_entity);
}

Test(engine, an_old_fencing_number_is_refused_only_with_checking_enabled)
{
    engine_group with_check{2};
    with_check.assign_all(5);
    cr_assert(with_check.assign(1, 4, "g2").error().kind == error_kind::conflict);
    standin_fleet_settings settings;
    settings.engine.check_fencing = false;
    engine_group without_check{2, settings};
    without_check.assign_all(5);
    cr_assert(without_check.assign(1, 4, "g2"));
    cr_assert_eq(without_check.fleet->engine(1).stale_orders_taken(), 1U);
    const received_stream refused = without_check.stream(without_check.request("b", 10));
    cr_assert(refused.status == http::status::conflict);
}

// An engine that ignores its members serves with a part of its group. The list of executions must
// show that, or the scenarios' invariant checks would miss a daemon that allows it.
Test(engine, executions_list_marks_an_answer_of_a_partial_group)
{
    engine_group group{3};
    group.assign_all(5);
    group.fleet->engine(0).apply({.serve_partial = true});
    group.fleet->engine(1).apply({.kill = true});
    const received_stream received = group.stream(group.request("a", 10));
    cr_assert(received.done);
    cr_assert(group.fleet->engine(0).executions().at(0).partial);
}

// A member is assigned to a group of the same name but with another member list. It now computes
// for those members, so rank 0 must not treat it as a member of its own group.
Test(engine, a_member_with_another_member_list_breaks_the_group)
{
    engine_group group{3};
    group.assign_all(5);
    cr_assert(group.stream(group.request("a", 5)).done);
    std::swap(group.members[0], group.members[1]);
    cr_assert(group.assign(2, 6));
    std::swap(group.members[0], group.members[1]);
    const received_stream refused = group.stream(group.request("b", 5));
    cr_assert(refused.status == http::status::conflict);
    cr_assert(group.assign(2, 7));
    cr_assert(group.stream(group.request("c", 5)).done);
}

// A straggler slows down all of its group, because each step waits for every member.
Test(engine, a_straggler_slows_its_group)
{
    engine_group group{2};
    group.assign_all(5);
    const time_point began = runtime_clock::now();
    cr_assert(group.stream(group.request("a", 30)).done);
    const duration healthy = runtime_clock::now() - began;
    group.fleet->engine(1).apply({.straggle = 6.0});
    const time_point straggling_start = runtime_clock::now();
    cr_assert(group.stream(group.request("b", 30)).done);
    cr_assert(runtime_clock::now() - straggling_start > 2 * healthy);
}

Test(engine, a_cancelled_or_abandoned_answer_leaves_the_batch)
{
    engine_group group{1};
    group.assign_all(5);
    cr_assert(group.runtime.run(open_and_disconnect(group)));
    cr_assert(
        group.runtime.run_until([&] { return group.fleet->engine(0).report().running == 0; }));
    cr_assert(!group.fleet->engine(0).executions().at(0).finished);
}

// An engine is released from its group while it sends a stream. It must complete the stream before
// it becomes idle.
Test(engine, a_release_waits_for_the_answers_in_flight)
{
    engine_group group{1};
    group.assign_all(5);
    when_produced(group, 1, [&] {
        boost::asio::co_spawn(group.runtime.executor(), release_first(group),
                              boost::asio::detached);
    });
    cr_assert(group.stream(group.request("a", 60)).done);
    cr_assert(group.runtime.run_until(
        [&] { return group.fleet->engine(0).report().state == engine_state::idle; }));
}

// Cache events become visible only after their delay, and a part of them is lost, so a router can't
// rely on an exact view of an engine's prefix cache.
Test(engine, cache_events_are_delayed_and_incomplete)
{
    standin_fleet_settings settings;
    settings.engine.cache = {.blocks = 64, .event_lag = std::chrono::seconds{1}, .event_loss = 0.3};
    engine_group group{1, settings};
    group.assign_all(5);
    engine_client client{group.runtime.executor(), group.members[0], std::chrono::seconds{1}};
    cr_assert(group.stream(group.request(std::string(40 * prompt_block_bytes, 'x'), 1)).done);
    cr_assert(group.runtime.run(client.cache_events(0)).value().empty());
    group.runtime.run_for(std::chrono::milliseconds{1'200});
    const auto events = group.runtime.run(client.cache_events(0)).value();
    cr_assert(!events.empty() && events.size() < 40);
    const auto after = group.runtime.run(client.cache_events(events.back().sequence)).value();
    cr_assert(after.empty());
}

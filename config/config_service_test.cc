#include "config/config.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <criterion/criterion.h>

using namespace jaynotch;

namespace {

constexpr const char* routes = R"(
deployment = "test"
[[route]]
name = "chat"
kind = "chat"
model = "m"
workspaces = ["*"]
pool = "p"
[[route]]
name = "tags"
kind = "chat"
model = "n"
workspaces = ["*"]
pool = "p"
)";

std::string pools(std::uint32_t replicas)
{
    return R"(
deployment = "test"
[[pool]]
name = "p"
kind = "model"
model = "m"
version = "1"
replica_vms = 2
replicas = )" +
           std::to_string(replicas) + "\n";
}

std::string with_timeout(int ms)
{
    std::string text = routes;
    const std::string anchor = "model = \"n\"\n";
    return text.insert(text.find(anchor), "timeout_ms = " + std::to_string(ms) + "\n");
}

peer_settings peer_settings_of(const std::string& name, const std::string& domain,
                               const std::string& deployment)
{
    peer_settings out;
    out.deployment = deployment;
    out.node = node_id{name};
    out.failure_domain = failure_domain_id{domain};
    return out;
}

/// The peer service and the configuration service of one daemon.
struct test_node {
    test_node(boost::asio::io_context& io, const std::shared_ptr<memory_kv_server>& server,
              const std::string& name, const std::string& domain = "a",
              const std::string& deployment = "test")
        : kv{std::make_shared<kv_service>(
              kv_service::in_memory(io.get_executor(), server, std::chrono::milliseconds{300}))},
          peers{peer_service::create(io, peer_settings_of(name, domain, deployment)).value()},
          config{config_service::create(io, {.deployment = deployment, .key_prefix = "/t/"}, *kv,
                                        *peers)
                     .value()}
    {
        config->on_installed([this](const std::shared_ptr<const configuration>& tables) {
            cr_assert_gt(tables->revision.value(), highest, "the installed revision decreased");
            highest = tables->revision.value();
        });
        co_spawn(io, peers->run(), boost::asio::detached);
        co_spawn(io, config->run(), boost::asio::detached);
    }

    std::shared_ptr<kv_service> kv; ///< must outlive its pending calls
    std::unique_ptr<peer_service> peers;
    std::unique_ptr<config_service> config;
    std::int64_t highest = 0;
};

struct fixture {
    boost::asio::io_context io;
    std::shared_ptr<memory_kv_server> server = memory_kv_server::make(io.get_executor());

    bool until(const std::function<bool()>& condition, int seconds = 10)
    {
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{seconds};
        while (!condition() && std::chrono::steady_clock::now() < end)
            io.run_one_for(std::chrono::milliseconds{5});
        return condition();
    }

    template <class T>
    static boost::asio::awaitable<void> store_result(boost::asio::awaitable<T> step,
                                                     std::optional<T>& out)
    {
        out.emplace(co_await std::move(step));
    }

    template <class T>
    T wait(boost::asio::awaitable<T> step)
    {
        std::optional<T> out;
        co_spawn(io, store_result(std::move(step), out), boost::asio::detached);
        cr_assert(until([&] { return out.has_value(); }, 20),
                  "the call did not return within 20 s");
        return std::move(*out);
    }

    result<accepted_change> apply(test_node& node, std::int64_t base,
                                  const std::string& routes_text, const std::string& pools_text,
                                  const std::string& id, const std::string& author = "ana")
    {
        const change_request request{
            config_revision{base}, routes_text, pools_text, author, "test", id};
        return wait(node.config->apply(request));
    }
};

} // namespace

// A single node accepts the first tables. It has no peers to get them from, so it must install what
// it wrote itself.
Test(config_service, one_node_installs_what_it_accepted)
{
    fixture test;
    test_node node{test.io, test.server, "n1"};
    const auto done = test.apply(node, 0, routes, pools(1), "c1");
    cr_assert(done.has_value(), "%s", done ? "" : to_string(done.error()).c_str());
    cr_assert_eq(done.value().revision.value(), 1);
    cr_assert(node.config->current() != nullptr);
    cr_assert_eq(node.config->current()->pools.size(), 1U);
}

// Two nodes accept changes in turn. Each must install the change of the other, and must learn that
// the other has installed it; otherwise operators could not see when a change is in force.
Test(config_service, a_second_node_installs_from_its_peers)
{
    fixture test;
    test_node first{test.io, test.server, "n1"};
    test_node second{test.io, test.server, "n2", "b"};
    cr_assert(test.apply(first, 0, routes, pools(1), "c1").has_value());
    cr_assert(test.until([&] { return second.highest == 1; }));
    cr_assert(test.apply(second, 1, routes, pools(2), "c2").has_value());
    cr_assert(test.until([&] { return first.highest == 2; }));
    cr_assert(test.until([&] {
        const auto confirmations = first.config->node_confirmations();
        return confirmations.size() == 2 &&
               std::all_of(confirmations.begin(), confirmations.end(),
                           [](const auto& node) { return node.revision == config_revision{2}; });
    }));
}

// The store swaps the head but the connection breaks before the reply. The change must be reported
// as accepted, and a second apply with the same change id must not accept it again.
Test(config_service, a_lost_reply_is_settled_by_the_change_id)
{
    fixture test;
    test_node node{test.io, test.server, "n1"};
    cr_assert(test.apply(node, 0, routes, pools(1), "c1").has_value());
    test.server->faults.lost_replies = 1;
    const auto done = test.apply(node, 1, routes, pools(2), "c2");
    cr_assert(done.has_value());
    cr_assert_eq(done.value().revision.value(), 2);
    const auto again = test.apply(node, 1, routes, pools(2), "c2");
    cr_assert(again.has_value() && again.value().repeated);
    cr_assert_eq(again.value().revision.value(), 2);
    cr_assert_eq(test.wait(node.config->history()).value().size(), 2U);
    cr_assert(test.until([&] { return node.highest == 2; }));
}

// The store executes the swap only after the caller's deadline. The retry must neither accept the
// change a second time nor report a conflict with the first attempt.
Test(config_service, a_swap_that_takes_effect_late_counts_once)
{
    fixture test;
    test_node node{test.io, test.server, "n1"};
    cr_assert(test.apply(node, 0, routes, pools(1), "c1").has_value());
    test.server->faults.late_effects = 1;
    const auto done = test.apply(node, 1, routes, pools(2), "c2");
    cr_assert(done.has_value(), "%s", done ? "" : to_string(done.error()).c_str());
    cr_assert_eq(test.wait(node.config->history()).value().size(), 2U);
}

// Two operators edit the same revision. Edits of different rows must be merged. For the same row,
// the second operator must get a conflict that names the first one, the revision and the row, and
// the installed tables must not change.
Test(config_service, concurrent_edits_merge_or_conflict)
{
    fixture test;
    test_node node{test.io, test.server, "n1"};
    cr_assert(test.apply(node, 0, routes, pools(1), "c1").has_value());
    cr_assert(test.apply(node, 1, routes, pools(3), "c2", "berit").has_value());
    const auto merged = test.apply(node, 1, with_timeout(5000), pools(1), "c3");
    cr_assert(merged.has_value() && merged.value().merged);
    cr_assert_eq(node.config->current()->pools.front().replicas, 3U);

    const auto refused = test.apply(node, 1, routes, pools(4), "c4");
    cr_assert(!refused && refused.error().kind == error_kind::conflict);
    cr_assert(refused.error().message.find("berit") != std::string::npos);
    cr_assert(refused.error().message.find("revision 2") != std::string::npos);
    cr_assert(refused.error().message.find("pools/p") != std::string::npos);
    cr_assert_eq(node.config->current()->revision.value(), 3);
}

// Tables of another deployment, routes without their pool, or an edit of a revision that does not
// exist are applied by mistake. Each must be rejected, and the installed tables must not change.
Test(config_service, invalid_input_leaves_the_installed_tables_unchanged)
{
    fixture test;
    test_node node{test.io, test.server, "n1"};
    cr_assert(test.apply(node, 0, routes, pools(1), "c1").has_value());
    std::string foreign_routes = routes;
    foreign_routes.replace(foreign_routes.find("test"), 4, "prod");
    std::string foreign_pools = pools(1);
    foreign_pools.replace(foreign_pools.find("test"), 4, "prod");
    cr_assert(test.apply(node, 1, foreign_routes, foreign_pools, "c2").has_error());
    cr_assert(test.apply(node, 1, routes, "deployment = \"test\"\n", "c3").has_error());
    cr_assert(test.apply(node, 9, routes, pools(2), "c4").has_error());
    cr_assert_eq(node.config->current()->revision.value(), 1);
    cr_assert_eq(node.config->current()->pools.front().replicas, 1U);
}

// The platform is unavailable. The nodes must keep their tables and report the platform as lost,
// and an apply must fail as unavailable. After the outage the next change must reach both nodes.
Test(config_service, an_outage_keeps_the_installed_tables)
{
    fixture test;
    test_node first{test.io, test.server, "n1"};
    test_node second{test.io, test.server, "n2"};
    cr_assert(test.apply(first, 0, routes, pools(1), "c1").has_value());
    cr_assert(test.until([&] { return second.highest == 1; }));
    test.server->faults.outage = true;
    test.server->close_watches();
    cr_assert(test.until([&] { return first.config->status().platform_lost; }));
    const auto failed = test.apply(first, 1, routes, pools(2), "c2");
    cr_assert(!failed && failed.error().kind == error_kind::unavailable);
    cr_assert(first.config->current() != nullptr);
    test.server->faults.outage = false;
    cr_assert(test.until([&] { return !first.config->status().platform_lost; }));
    cr_assert(test.apply(first, 1, routes, pools(2), "c2").has_value());
    cr_assert(test.until([&] { return first.highest == 2 && second.highest == 2; }));
}

// A VM is replaced while the platform is unavailable. The new node must get the tables from a peer
// that it finds through a seed address, and must not be ready before that.
Test(config_service, a_new_node_installs_from_peers_during_an_outage)
{
    fixture test;
    test_node first{test.io, test.server, "n1"};
    cr_assert(test.apply(first, 0, routes, pools(1), "c1").has_value());
    test.server->faults.outage = true;
    test_node new_node{test.io, test.server, "n2"};
    cr_assert(!new_node.config->status().ready);
    new_node.peers->add_seeds({first.peers->address()});
    cr_assert(test.until([&] { return new_node.config->status().ready; }));
    cr_assert_eq(new_node.highest, 1);
}

// A daemon is destroyed without a stop while timers, calls and frames are pending. The handlers
// that remain on the io_context must not access the destroyed objects.
Test(config_service, destruction_with_operations_pending)
{
    fixture test;
    test_node survivor{test.io, test.server, "n1"};
    cr_assert(test.apply(survivor, 0, routes, pools(1), "c1").has_value());
    std::vector<std::shared_ptr<kv_service>> kv_services;
    for (int round = 0; round < 20; ++round) {
        auto destroyed = std::make_unique<test_node>(test.io, test.server, "n2");
        kv_services.push_back(destroyed->kv);
        destroyed->peers->add_seeds({survivor.peers->address()});
        for (int step = 0; step < round * 3; ++step)
            test.io.run_one_for(std::chrono::milliseconds{5});
        destroyed.reset();
        test.io.run_for(std::chrono::milliseconds{20});
    }
    cr_assert(test.apply(survivor, 1, routes, pools(2), "c2").has_value());
}

// Rolling back must accept the old tables as a new, higher revision, never a lower one.
Test(config_service, rolling_back_makes_a_new_revision)
{
    fixture test;
    test_node node{test.io, test.server, "n1"};
    cr_assert(test.apply(node, 0, routes, pools(1), "c1").has_value());
    cr_assert(test.apply(node, 1, routes, pools(7), "c2").has_value());
    const auto back = test.wait(node.config->roll_back(config_revision{1}, "ana", "c3"));
    cr_assert(back.has_value());
    cr_assert_eq(node.config->current()->revision.value(), 3);
    cr_assert_eq(node.config->current()->pools.front().replicas, 1U);
    const auto old = test.wait(node.config->at(config_revision{2}));
    cr_assert(old.has_value() && old.value().pools.front().replicas == 7U);
}

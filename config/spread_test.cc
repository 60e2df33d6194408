#include "config/test_fleet.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::size_t rows = 40;

configuration edited_tables(std::uint32_t mark)
{
    return test_fleet::tables(rows, mark % rows, mark);
}

/// A fleet whose membership has converged and whose nodes have all installed revision 1.
std::unique_ptr<test_fleet> settled_fleet(std::uint64_t seed, std::size_t count,
                                          std::size_t domains)
{
    auto fleet = std::make_unique<test_fleet>(seed, count, domains);
    fleet->net.run_for(seconds{30});
    cr_assert_eq(fleet->accept(*fleet->nodes[0], edited_tables(0), "first"), 1);
    cr_assert(fleet->net.until([&] { return fleet->all_at(1); }, seconds{5}));
    return fleet;
}

std::vector<fleet_node*> watchers_of(test_fleet& fleet, const failure_domain_id& domain)
{
    std::vector<fleet_node*> out;
    for (const auto& node : fleet.nodes) {
        if (node->watching && node->peer_node->core.self().failure_domain == domain)
            out.push_back(node.get());
    }
    return out;
}

} // namespace

// An accepted change must be installed on every node within a second. Nodes transfer the changed
// page, not the whole table, and the number of platform calls does not depend on the number of
// nodes.
Test(spread, a_change_is_in_force_everywhere_within_a_second)
{
    const auto fleet = settled_fleet(1, 90, 3);
    for (const auto& node : fleet->nodes)
        node->calls = 0;
    for (std::uint32_t mark = 1; mark <= 10; ++mark) {
        const std::int64_t revision =
            fleet->accept(*fleet->nodes[mark * 7], edited_tables(mark), "c" + std::to_string(mark));
        cr_assert(fleet->net.until([&] { return fleet->all_at(revision); }, seconds{1}));
        fleet->net.run_for(seconds{5});
    }
    // The six watchers receive ten changes and read the head every ten seconds. No other node has
    // to fall back to the platform, because each gets the changes from its peers.
    cr_assert_lt(fleet->calls(), 300U, "%lu platform calls", fleet->calls());
    cr_assert(fleet->no_revision_decreased());
}

// All watches stop delivering without an error, and the accepting node does not get its reply. The
// watchers must find the change when they read the head, which they do every ten seconds, and the
// other nodes must get it from their peers.
Test(spread, silent_watches_do_not_delay_a_domain_for_long)
{
    const auto fleet = settled_fleet(2, 30, 3);
    for (const auto& node : fleet->nodes)
        node->watch_silent = true;
    cr_assert_eq(fleet->accept(*fleet->nodes[4], edited_tables(1), "c1", true), 2);
    cr_assert(fleet->net.until([&] { return fleet->all_at(2); }, seconds{12}));
}

// Both watchers of a domain crash. Other nodes of the domain must replace them once the crash is
// detected.
Test(spread, crashed_watchers_are_replaced)
{
    const auto fleet = settled_fleet(3, 30, 3);
    const failure_domain_id domain = fleet->nodes[1]->peer_node->core.self().failure_domain;
    const auto before = watchers_of(*fleet, domain);
    cr_assert_eq(before.size(), 2U);
    for (fleet_node* watcher : before)
        watcher->peer_node->crashed = true;
    const auto running = [&] {
        const auto now = watchers_of(*fleet, domain);
        return std::count_if(now.begin(), now.end(),
                             [](const fleet_node* node) { return !node->peer_node->crashed; });
    };
    cr_assert(fleet->net.until([&] { return running() == 2; }, seconds{60}));
    fleet->accept(*fleet->nodes[0], edited_tables(1), "c1");
    cr_assert(fleet->net.until([&] { return fleet->all_at(2); }, seconds{2}));
}

// One watcher can't reach the platform while other nodes of its domain can. Another candidate must
// replace it.
Test(spread, a_watcher_without_the_platform_is_replaced)
{
    const auto fleet = settled_fleet(4, 30, 3);
    const failure_domain_id domain = fleet->nodes[0]->peer_node->core.self().failure_domain;
    fleet_node* lost = watchers_of(*fleet, domain).front();
    fleet->set_platform_unreachable(*lost, true);
    cr_assert(fleet->net.until(
        [&] {
            const auto now = watchers_of(*fleet, domain);
            return now.size() == 2 && std::find(now.begin(), now.end(), lost) == now.end();
        },
        seconds{20}));
}

// A failure domain is cut off from the other domains and from the platform while two changes are
// accepted. Its nodes must keep their tables, and must have the newest revision within two seconds
// after the partition heals, without a burst of platform calls.
Test(spread, a_cut_off_domain_catches_up_within_two_seconds)
{
    for (std::uint64_t seed = 10; seed < 14; ++seed) {
        const auto fleet = settled_fleet(seed, 60, 3);
        const failure_domain_id lost{"domain-1"};
        const auto inside = [&](const member& node) { return node.failure_domain == lost; };
        fleet->net.cut = [&](const test_node& a, const test_node& b) {
            return inside(a.core.self()) != inside(b.core.self());
        };
        for (const auto& node : fleet->nodes) {
            if (inside(node->peer_node->core.self()))
                fleet->set_platform_unreachable(*node, true);
        }
        fleet->accept(*fleet->nodes[0], edited_tables(1), "c1");
        fleet->accept(*fleet->nodes[2], edited_tables(2), "c2");
        fleet->net.run_for(minutes{2});
        for (const auto& node : fleet->nodes)
            cr_assert_eq(node->highest, inside(node->peer_node->core.self()) ? 1 : 3);
        const std::uint64_t calls = fleet->calls();
        fleet->net.cut = nullptr;
        for (const auto& node : fleet->nodes)
            fleet->set_platform_unreachable(*node, false);
        cr_assert(fleet->net.until([&] { return fleet->all_at(3); }, seconds{2}), "seed %lu", seed);
        cr_assert_lt(fleet->calls() - calls, 60U, "%lu platform calls after the partition healed",
                     fleet->calls() - calls);
    }
}

// The platform is unavailable for ten minutes. Every node must keep its tables, the rate of retries
// must stay low, and a change accepted after the outage must reach every node within two seconds.
Test(spread, an_outage_causes_no_call_storm)
{
    const auto fleet = settled_fleet(20, 90, 3);
    fleet->set_outage(true);
    fleet->net.run_for(seconds{30});
    const std::uint64_t before = fleet->calls();
    fleet->net.run_for(minutes{10});
    const double rate = static_cast<double>(fleet->calls() - before) / 600.0;
    cr_assert_lt(rate, 10.0, "%f platform calls a second", rate);
    cr_assert(fleet->all_at(1));
    fleet->set_outage(false);
    fleet->net.run_for(seconds{2});
    cr_assert_eq(fleet->accept(*fleet->nodes[50], edited_tables(1), "c1"), 2);
    cr_assert(fleet->net.until([&] { return fleet->all_at(2); }, seconds{2}));
}

// A watcher is paused while the tables change, with an old reply waiting in its socket. After it
// resumes it must catch up, and must never install the old reply over a newer revision.
Test(spread, a_paused_node_never_lowers_its_revision)
{
    const auto fleet = settled_fleet(30, 12, 2);
    fleet_node* paused_node = watchers_of(*fleet, failure_domain_id{"domain-0"}).front();
    fleet->accept(*fleet->nodes[1], edited_tables(1), "c1");
    paused_node->peer_node->paused = true;
    for (std::uint32_t mark = 2; mark < 30; ++mark) {
        fleet->accept(*fleet->nodes[1], edited_tables(mark), "c" + std::to_string(mark));
        fleet->net.run_for(seconds{5});
    }
    fleet->net.resume(*paused_node->peer_node);
    const std::int64_t newest = fleet->nodes[1]->highest;
    cr_assert(fleet->net.until([&] { return fleet->all_at(newest); }, seconds{5}));
    cr_assert(fleet->no_revision_decreased());
}

// The store is restored from an old backup, or the head of another deployment is copied over the
// head key. Nodes must keep their tables and report the fault.
Test(spread, an_older_or_foreign_head_is_refused)
{
    const auto fleet = settled_fleet(40, 6, 1);
    const std::string old_head = fleet->store.find(fleet->keys.head())->value;
    fleet->accept(*fleet->nodes[0], edited_tables(1), "c1");
    cr_assert(fleet->net.until([&] { return fleet->all_at(2); }, seconds{2}));
    kv_transaction restore;
    restore.then.emplace_back(kv_put{fleet->keys.head(), old_head, {}});
    cr_assert(fleet->store.transact(restore).has_value());
    fleet->net.run_for(seconds{30});
    cr_assert(fleet->all_at(2) && fleet->no_revision_decreased());
    const auto was_reported = [&](const std::string& kind) {
        return std::find(fleet->reported_kinds.begin(), fleet->reported_kinds.end(), kind) !=
               fleet->reported_kinds.end();
    };
    cr_assert(was_reported("config_older_head"));

    head_record foreign = parse_head(old_head).value();
    foreign.manifest.deployment = "prod";
    foreign.history.front().revision = config_revision{99};
    kv_transaction copy;
    copy.then.emplace_back(kv_put{fleet->keys.head(), render_head(foreign), {}});
    cr_assert(fleet->store.transact(copy).has_value());
    fleet->net.run_for(seconds{30});
    cr_assert(was_reported("config_foreign_deployment"));
    cr_assert(std::all_of(fleet->nodes.begin(), fleet->nodes.end(),
                          [](const auto& node) { return node->highest == 2; }));
}

// A peer sends pages whose bytes don't match their digests. They must not be installed.
Test(spread, a_page_with_a_wrong_digest_is_rejected)
{
    const auto fleet = settled_fleet(41, 2, 1);
    const head_record head = parse_head(fleet->store.find(fleet->keys.head())->value).value();
    spread_settings settings;
    settings.deployment = "test";
    settings.self = node_id{"x"};
    settings.failure_domain = failure_domain_id{"d"};
    spread_core core{settings, random_source{1}};
    const time_point now{seconds{5}};
    (void)core.tick(now);
    config_reply reply{head.revision(), render_head(head), {}, {}};
    for (const std::string& digest : referenced_digests(head.manifest))
        reply.pages.push_back({digest, "[]"});
    (void)core.peer_message_received(now, {node_id{"y"}, config_digest{head.revision(), false}});
    (void)core.peer_message_received(now, {node_id{"y"}, reply});
    cr_assert_not(core.installed().has_value());
}

// A delta arrives for a head other than the installed one, because the node has installed another
// revision since its request or because the peer has a different head. Applying it would install
// tables that nobody accepted, so it must be rejected, as must a truncated delta.
Test(spread, a_delta_applies_only_to_its_base_head)
{
    const auto head_of = [](std::int64_t revision, std::uint32_t mark) {
        history_entry entry;
        entry.revision = config_revision{revision};
        const paged_tables paged = to_pages(test_fleet::tables(rows, mark, mark)).value();
        return head_record{paged.manifest, {entry}};
    };
    const head_record base = head_of(4, 1);
    const head_record next = head_of(6, 2);
    const std::string delta = render_delta(base, next);
    cr_assert(apply_delta(base, delta).value() == next);
    cr_assert_lt(delta.size(), render_head(next).size());
    cr_assert(apply_delta(head_of(5, 1), delta).has_error());
    cr_assert(apply_delta(head_of(4, 3), delta).has_error(), "same revision, another head");
    for (std::size_t cut = 0; cut < delta.size(); ++cut)
        cr_assert(apply_delta(base, std::string_view{delta}.substr(0, cut)).has_error());
}

// Runs every interleaving of a collector (C: read, c: delete) and an editor that restores an old
// page (E: read, e: swap). Afterwards every page that the head references must exist.
Test(collect, never_deletes_a_referenced_page)
{
    const std::vector<std::string> interleavings{"CcEe", "CEce", "CEec", "ECce", "ECec", "EeCc"};
    for (const std::string& order : interleavings) {
        kv_store store;
        const config_keys keys{"/t/"};
        stored_state editor_state;
        const auto read_state = [&] {
            stored_state out;
            const kv_entry* head = store.find(keys.head());
            if (head == nullptr)
                return out;
            out.head_mod_revision = head->mod_revision;
            out.head = parse_head(head->value).value();
            std::vector<table_page> pages;
            for (const kv_entry& entry : store.with_prefix(keys.pages()))
                pages.push_back({entry.key.substr(keys.pages().size()), entry.value});
            out.current = from_pages(out.head.manifest, pages).value();
            out.current.revision = out.head.revision();
            out.base = out.current;
            return out;
        };
        const auto swap = [&](const stored_state& from, std::uint32_t mark) {
            edit change{test_fleet::tables(rows, 0, mark), {}};
            change.metadata.change_id = std::to_string(mark);
            change.metadata.author = "ana";
            const auto plan = plan_acceptance(keys, from, change);
            for (const kv_transaction& part : plan.value().prepare)
                (void)store.transact(part);
            return store.transact(plan.value().swap).value().succeeded;
        };
        // After max_history_entries further revisions, no kept revision references the page of
        // mark 1.
        for (std::uint32_t mark = 1; mark <= max_history_entries + 2; ++mark)
            cr_assert(swap(read_state(), mark));
        std::vector<kv_transaction> deletions;
        std::size_t planned = 0;
        for (const char step : order) {
            if (step == 'C') {
                deletions = plan_collection(keys, store.with_prefix(keys.all()));
                planned += deletions.size();
            }
            if (step == 'c') {
                for (const kv_transaction& part : deletions)
                    (void)store.transact(part);
            }
            if (step == 'E')
                editor_state = read_state();
            if (step == 'e')
                cr_assert(swap(editor_state, 1));
        }
        cr_assert_gt(planned, 0U, "no deletions were planned, so the race was not exercised");
        const head_record head = parse_head(store.find(keys.head())->value).value();
        for (const std::string& digest : referenced_digests(head.manifest))
            cr_assert(store.find(keys.page(digest)) != nullptr, "order %s", order.c_str());
        for (const history_entry& kept : head.history)
            cr_assert(store.find(keys.revision(kept.revision)) != nullptr);
    }
}

// Random sequences of replaced nodes, pauses, partitions of nodes and domains, outages, lost
// replies and changes. No node's revision may decrease, and after all faults end, every node must
// install the last accepted change.
Test(spread, random_histories)
{
    for (std::uint64_t seed = 100; seed < 112; ++seed) {
        const auto fleet = settled_fleet(seed, 15, 3);
        random_source& random = fleet->net.random;
        fleet->net.loss = 0.03;
        fleet->net.duplication = 0.05;
        fleet->net.max_delay = milliseconds{60};
        std::int64_t newest = 1;
        std::string cut_domain;
        std::uint64_t boot = 1;
        fleet->net.cut = [&](const test_node& a, const test_node& b) {
            return (a.core.self().failure_domain.value() == cut_domain) !=
                   (b.core.self().failure_domain.value() == cut_domain);
        };
        for (std::uint32_t step = 1; step <= 60; ++step) {
            fleet_node& random_node = *fleet->nodes[random.index(fleet->nodes.size())];
            switch (random.index(8)) {
            case 0:
                if (!random_node.peer_node->crashed)
                    random_node.peer_node->paused = true;
                break;
            case 1:
                for (const auto& node : fleet->nodes) {
                    if (node->peer_node->paused)
                        fleet->net.resume(*node->peer_node);
                }
                break;
            case 2:
                fleet->set_outage(random.chance(0.5));
                break;
            case 3:
                cut_domain = random.chance(0.5) ? "domain-" + std::to_string(random.index(3)) : "";
                break;
            case 4:
                fleet->set_platform_unreachable(random_node, random.chance(0.5));
                break;
            case 5:
                if (!random_node.peer_node->crashed && boot < 6)
                { // replaced by a node of the same name with a later boot
                    random_node.peer_node->crashed = true;
                    const std::string name = random_node.peer_node->core.self().node.value();
                    const std::size_t index = std::stoul(name.substr(name.find('-') + 1));
                    fleet->add(index, 3, ++boot);
                }
                break;
            default:
                if (!random_node.peer_node->crashed && !random_node.peer_node->paused) {
                    const std::int64_t revision = fleet->accept(
                        random_node, edited_tables(step), std::to_string(step), random.chance(0.3));
                    newest = std::max(newest, revision);
                }
            }
            fleet->net.run_for(milliseconds{random.between(50, 8000)});
        }
        cut_domain.clear();
        fleet->set_outage(false);
        for (const auto& node : fleet->nodes) {
            fleet->set_platform_unreachable(*node, false);
            if (node->peer_node->paused)
                fleet->net.resume(*node->peer_node);
        }
        cr_assert(fleet->net.until([&] { return fleet->all_at(newest); }, seconds{60}),
                  "seed %lu: revision %ld is not installed on every node", seed, newest);
        cr_assert(fleet->no_revision_decreased(), "seed %lu: a node's revision decreased", seed);
    }
}

#include "config/test_fleet.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace {

constexpr std::size_t rows = 40;

configuration edited(std::uint32_t mark)
{
    return test_fleet::tables(rows, mark % rows, mark);
}

/// A fleet that knows itself and has its first tables.
std::unique_ptr<test_fleet> settled_fleet(std::uint64_t seed, std::size_t count,
                                          std::size_t domains)
{
    auto fleet = std::make_unique<test_fleet>(seed, count, domains);
    fleet->net.run_for(seconds{30});
    cr_assert_eq(fleet->accept(*fleet->nodes[0], edited(0), "first"), 1);
    cr_assert(fleet->net.until([&] { return fleet->all_at(1); }, seconds{5}));
    return fleet;
}

std::vector<fleet_node*> watchers_of(test_fleet& fleet, const failure_domain_id& domain)
{
    std::vector<fleet_node*> out;
    for (const auto& node : fleet.nodes) {
        if (node->watching && node->link->core.self().failure_domain == domain)
            out.push_back(node.get());
    }
    return out;
}

} // namespace

// An accepted change is to be in force on every node within a second, moving a page and not the
// table, and with calls on the platform that don't depend on the number of nodes.
Test(spread, a_change_is_in_force_everywhere_within_a_second)
{
    const auto fleet = settled_fleet(1, 90, 3);
    for (const auto& node : fleet->nodes)
        node->calls = 0;
    for (std::uint32_t mark = 1; mark <= 10; ++mark) {
        const std::int64_t revision =
            fleet->accept(*fleet->nodes[mark * 7], edited(mark), "c" + std::to_string(mark));
        cr_assert(fleet->net.until([&] { return fleet->all_at(revision); }, seconds{1}));
        fleet->net.run_for(seconds{5});
    }
    // Six watchers see ten changes and look each ten seconds; a node that hears of a change from
    // none of its peers never turns to the platform here.
    cr_assert_lt(fleet->calls(), 300U, "%lu calls", fleet->calls());
    cr_assert(fleet->none_went_down());
}

// Both watches of a domain die without a sign. The domain must still hear of the change, from its
// bridges to the others, and the watchers notice within ten seconds.
Test(spread, watches_that_died_silently_are_made_up_for)
{
    const auto fleet = settled_fleet(2, 30, 3);
    for (const auto& node : fleet->nodes)
        node->watch_dead = true;
    cr_assert_eq(fleet->accept(*fleet->nodes[4], edited(1), "c1", true), 2);
    cr_assert(fleet->net.until([&] { return fleet->all_at(2); }, seconds{12}));
}

// The watchers of a domain crash. Others of the domain take over as soon as the death is known.
Test(spread, crashed_watchers_are_replaced)
{
    const auto fleet = settled_fleet(3, 30, 3);
    const failure_domain_id domain = fleet->nodes[1]->link->core.self().failure_domain;
    const auto before = watchers_of(*fleet, domain);
    cr_assert_eq(before.size(), 2U);
    for (fleet_node* watcher : before)
        watcher->link->crashed = true;
    const auto running = [&] {
        const auto now = watchers_of(*fleet, domain);
        return std::count_if(now.begin(), now.end(),
                             [](const fleet_node* node) { return !node->link->crashed; });
    };
    cr_assert(fleet->net.until([&] { return running() == 2; }, seconds{60}));
    fleet->accept(*fleet->nodes[0], edited(1), "c1");
    cr_assert(fleet->net.until([&] { return fleet->all_at(2); }, seconds{2}));
}

// One watcher loses the platform while its domain has it: another candidate steps in.
Test(spread, a_watcher_without_the_platform_is_replaced)
{
    const auto fleet = settled_fleet(4, 30, 3);
    const failure_domain_id domain = fleet->nodes[0]->link->core.self().failure_domain;
    fleet_node* lost = watchers_of(*fleet, domain).front();
    fleet->cut_platform(*lost, true);
    cr_assert(fleet->net.until(
        [&] {
            const auto now = watchers_of(*fleet, domain);
            return now.size() == 2 && std::find(now.begin(), now.end(), lost) == now.end();
        },
        seconds{20}));
}

// A failure domain is cut off from the other domains and from the platform while two changes are
// accepted. It serves on, and two seconds after the network is whole it has the newest revision.
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
            if (inside(node->link->core.self()))
                fleet->cut_platform(*node, true);
        }
        fleet->accept(*fleet->nodes[0], edited(1), "c1");
        fleet->accept(*fleet->nodes[2], edited(2), "c2");
        fleet->net.run_for(minutes{2});
        for (const auto& node : fleet->nodes)
            cr_assert_eq(node->highest, inside(node->link->core.self()) ? 1 : 3);
        const std::uint64_t calls = fleet->calls();
        fleet->net.cut = nullptr;
        for (const auto& node : fleet->nodes)
            fleet->cut_platform(*node, false);
        cr_assert(fleet->net.until([&] { return fleet->all_at(3); }, seconds{2}), "seed %lu", seed);
        cr_assert_lt(fleet->calls() - calls, 60U, "a storm of %lu calls", fleet->calls() - calls);
    }
}

// The platform is dark for ten minutes: every node serves on, few of them call it, and a change
// after its return is everywhere within two seconds of being accepted.
Test(spread, an_outage_is_served_through_without_a_storm)
{
    const auto fleet = settled_fleet(20, 90, 3);
    fleet->set_outage(true);
    fleet->net.run_for(seconds{30});
    const std::uint64_t before = fleet->calls();
    fleet->net.run_for(minutes{10});
    const double rate = static_cast<double>(fleet->calls() - before) / 600.0;
    cr_assert_lt(rate, 10.0, "%f calls a second", rate);
    cr_assert(fleet->all_at(1));
    fleet->set_outage(false);
    fleet->net.run_for(seconds{2});
    cr_assert_eq(fleet->accept(*fleet->nodes[50], edited(1), "c1"), 2);
    cr_assert(fleet->net.until([&] { return fleet->all_at(2); }, seconds{2}));
}

// A node is paused while the tables change, and a watcher's old answer waits in its socket. When
// it returns it must catch up and never put the old answer in force over a newer one.
Test(spread, a_paused_node_never_steps_back)
{
    const auto fleet = settled_fleet(30, 12, 2);
    fleet_node* sleeper = watchers_of(*fleet, failure_domain_id{"domain-0"}).front();
    fleet->accept(*fleet->nodes[1], edited(1), "c1");
    sleeper->link->paused = true;
    for (std::uint32_t mark = 2; mark < 30; ++mark) {
        fleet->accept(*fleet->nodes[1], edited(mark), "c" + std::to_string(mark));
        fleet->net.run_for(seconds{5});
    }
    fleet->net.resume(*sleeper->link);
    const std::int64_t newest = fleet->nodes[1]->highest;
    cr_assert(fleet->net.until([&] { return fleet->all_at(newest); }, seconds{5}));
    cr_assert(fleet->none_went_down());
}

// The store is restored from an old backup, or a key of another deployment is copied over the
// head. Nodes keep what they have and say what is wrong.
Test(spread, an_older_or_foreign_head_is_refused)
{
    const auto fleet = settled_fleet(40, 6, 1);
    const std::string old_head = fleet->store.find(fleet->keys.head())->value;
    fleet->accept(*fleet->nodes[0], edited(1), "c1");
    cr_assert(fleet->net.until([&] { return fleet->all_at(2); }, seconds{2}));
    kv_transaction restore;
    restore.then.emplace_back(kv_put{fleet->keys.head(), old_head, {}});
    cr_assert(fleet->store.transact(restore).has_value());
    fleet->net.run_for(seconds{30});
    cr_assert(fleet->all_at(2) && fleet->none_went_down());
    const auto told = [&](const std::string& kind) {
        return std::find(fleet->refused.begin(), fleet->refused.end(), kind) !=
               fleet->refused.end();
    };
    cr_assert(told("config_older_head"));

    head_record foreign = parse_head(old_head).value();
    foreign.manifest.deployment = "prod";
    foreign.history.front().revision = config_revision{99};
    kv_transaction copy;
    copy.then.emplace_back(kv_put{fleet->keys.head(), render_head(foreign), {}});
    cr_assert(fleet->store.transact(copy).has_value());
    fleet->net.run_for(seconds{30});
    cr_assert(told("config_foreign_deployment"));
    cr_assert(std::all_of(fleet->nodes.begin(), fleet->nodes.end(),
                          [](const auto& node) { return node->highest == 2; }));
}

// A peer sends a page whose bytes are not what its name says. It is not taken.
Test(spread, a_forged_page_is_not_taken)
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
    (void)core.peer_spoke(now, {node_id{"y"}, config_digest{head.revision(), false}});
    (void)core.peer_spoke(now, {node_id{"y"}, reply});
    cr_assert_not(core.installed().has_value());
}

// A node has moved on since it asked, or a peer's delta was made from another head: applied all the
// same it would put tables in force that nobody accepted. It is refused, and so is a damaged one.
Test(spread, a_delta_fits_only_the_head_it_was_made_from)
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

// Every order of one collector's two steps (look, delete) and one editor's two steps (look, swap)
// that brings an old page back: afterwards each page that the head names must be there.
Test(collect, never_deletes_a_page_that_is_named)
{
    const std::vector<std::string> orders{"CcEe", "CEce", "CEec", "ECce", "ECec", "EeCc"};
    for (const std::string& order : orders) {
        kv_store store;
        const config_keys keys{"/t/"};
        standing seen;
        const auto look = [&] {
            standing out;
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
        const auto swap = [&](const standing& from, std::uint32_t mark) {
            edit change{test_fleet::tables(rows, 0, mark), {}};
            change.made_by.change_id = std::to_string(mark);
            change.made_by.author = "ana";
            const auto plan = plan_acceptance(keys, from, change);
            for (const kv_transaction& part : plan.value().prepare)
                (void)store.transact(part);
            return store.transact(plan.value().swap).value().succeeded;
        };
        // Row 0 as of mark 1 is forgotten after most_history further revisions.
        for (std::uint32_t mark = 1; mark <= most_history + 2; ++mark)
            cr_assert(swap(look(), mark));
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
                seen = look();
            if (step == 'e')
                cr_assert(swap(seen, 1));
        }
        cr_assert_gt(planned, 0U, "nothing to collect: the test would prove nothing");
        const head_record head = parse_head(store.find(keys.head())->value).value();
        for (const std::string& digest : referenced_digests(head.manifest))
            cr_assert(store.find(keys.page(digest)) != nullptr, "order %s", order.c_str());
        for (const history_entry& kept : head.history)
            cr_assert(store.find(keys.revision(kept.revision)) != nullptr);
    }
}

// Random histories: crashes, replacements, pauses, partitions of nodes and domains, outages, lost
// replies and changes in any order. No node's revision goes down, and when all is whole again every
// node has the last accepted change.
Test(spread, random_histories)
{
    for (std::uint64_t seed = 100; seed < 112; ++seed) {
        const auto fleet = settled_fleet(seed, 15, 3);
        random_source& random = fleet->net.random;
        fleet->net.loss = 0.03;
        fleet->net.doubled = 0.05;
        fleet->net.most_delay = milliseconds{60};
        std::int64_t newest = 1;
        std::string cut_domain;
        std::uint64_t boot = 1;
        fleet->net.cut = [&](const test_node& a, const test_node& b) {
            return (a.core.self().failure_domain.value() == cut_domain) !=
                   (b.core.self().failure_domain.value() == cut_domain);
        };
        for (std::uint32_t step = 1; step <= 60; ++step) {
            fleet_node& one = *fleet->nodes[random.index(fleet->nodes.size())];
            switch (random.index(8)) {
            case 0:
                if (!one.link->crashed)
                    one.link->paused = true;
                break;
            case 1:
                for (const auto& node : fleet->nodes) {
                    if (node->link->paused)
                        fleet->net.resume(*node->link);
                }
                break;
            case 2:
                fleet->set_outage(random.chance(0.5));
                break;
            case 3:
                cut_domain = random.chance(0.5) ? "domain-" + std::to_string(random.index(3)) : "";
                break;
            case 4:
                fleet->cut_platform(one, random.chance(0.5));
                break;
            case 5:
                if (!one.link->crashed && boot < 6) { // replaced: same name, later boot
                    one.link->crashed = true;
                    const std::string name = one.link->core.self().node.value();
                    const std::size_t index = std::stoul(name.substr(name.find('-') + 1));
                    fleet->add(index, 3, ++boot);
                }
                break;
            default:
                if (!one.link->crashed && !one.link->paused) {
                    const std::int64_t revision =
                        fleet->accept(one, edited(step), std::to_string(step), random.chance(0.3));
                    newest = std::max(newest, revision);
                }
            }
            fleet->net.run_for(milliseconds{random.between(50, 8000)});
        }
        cut_domain.clear();
        fleet->set_outage(false);
        for (const auto& node : fleet->nodes) {
            fleet->cut_platform(*node, false);
            if (node->link->paused)
                fleet->net.resume(*node->link);
        }
        cr_assert(fleet->net.until([&] { return fleet->all_at(newest); }, seconds{60}),
                  "seed %lu: revision %ld is not in force everywhere", seed, newest);
        cr_assert(fleet->none_went_down(), "seed %lu: a revision went down", seed);
    }
}

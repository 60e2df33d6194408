// For tests and benchmarks: nodes with a membership core and a spread core on a simulated clock,
// connected by an in-memory network, and one key-value store ("the platform") that can fail.
#pragma once

#include "config/accept.h"
#include "config/collect.h"
#include "config/spread.h"
#include "outside/kv_store.h"
#include "peers/test_network.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jaynotch::testing {

struct fleet_node {
    test_node* peer_node = nullptr;
    std::unique_ptr<spread_core> spread;
    bool watching = false;             ///< has a watch registered in the store
    bool watch_silent = false;         ///< the watch delivers nothing, without an error
    bool platform_unreachable = false; ///< calls of this node on the platform fail
    std::uint64_t calls = 0;           ///< made on the platform
    std::int64_t highest = 0;          ///< revision installed last; 0: none
    std::map<std::int64_t, time_point> installed_at;
    std::size_t members_seen = 0;    ///< members at the last domain_changed; 0: they changed since
    bool revision_decreased = false; ///< an installed revision was not above the previous one
};

class test_fleet {
public:
    test_fleet(std::uint64_t seed, std::size_t count, std::size_t domains, bool baseline = false)
        : net{seed}, everyone_watches{baseline}
    {
        for (std::size_t i = 0; i < count; ++i)
            add(i, domains);
    }

    test_network net;
    kv_store store;
    config_keys keys{"/t/"};
    const bool everyone_watches; ///< baseline without propagation between peers
    duration call_delay = std::chrono::milliseconds{2};
    std::vector<std::unique_ptr<fleet_node>> nodes;
    std::vector<std::string> reported_kinds; ///< of the report commands of all nodes

    fleet_node& add(std::size_t index, std::size_t domains, std::uint64_t boot = 1)
    {
        auto made = std::make_unique<fleet_node>();
        fleet_node& node = *made;
        node.peer_node = &net.add(index, domains, boot);
        spread_settings settings;
        settings.deployment = "test";
        settings.self = node.peer_node->core.self().node;
        settings.failure_domain = node.peer_node->core.self().failure_domain;
        if (everyone_watches)
            settings.watchers_per_domain = settings.watcher_candidates = std::size_t{1} << 20U;
        node.spread = std::make_unique<spread_core>(settings, random_source{net.random.bits()});
        node.peer_node->on_command = [this, &node](const membership_command& command) {
            if (const auto* message = std::get_if<config_message>(&command))
                run(node, node.spread->peer_message_received(net.now, *message));
            if (const auto* received = std::get_if<rumor_received>(&command)) {
                if (const auto* confirmed = std::get_if<confirmation>(&received->item))
                    run(node, node.spread->peer_confirmation_received(net.now, *confirmed));
            }
            if (std::holds_alternative<member_changed>(command))
                node.members_seen = 0;
        };
        node.peer_node->on_tick = [this, &node] { tick(node); };
        nodes.push_back(std::move(made));
        return node;
    }

    /// Tables of `rows` routes to one pool; `mark` sets the time-out of row `edited`.
    static configuration tables(std::size_t rows, std::size_t edited, std::uint32_t mark)
    {
        configuration out;
        out.deployment = "test";
        pool single_pool;
        single_pool.name = pool_id{"p"};
        single_pool.model = "m";
        single_pool.version = "1";
        out.pools.push_back(single_pool);
        for (std::size_t i = 0; i < rows; ++i) {
            route row;
            std::string digits = std::to_string(i);
            row.name = route_id{"r" + std::string(5 - digits.size(), '0') + digits};
            row.model = "m" + digits;
            row.workspaces = {"*"};
            row.pool = single_pool.name;
            if (i == edited)
                row.timeout = std::chrono::milliseconds{1000 + mark};
            out.routes.push_back(std::move(row));
        }
        return out;
    }

    /// Makes the store unavailable to all nodes, or available again. Ends all watches.
    void set_outage(bool outage)
    {
        m_outage = outage;
        for (const auto& node : nodes)
            fail_watch(*node);
    }
    void set_platform_unreachable(fleet_node& node, bool unreachable)
    {
        node.platform_unreachable = unreachable;
        fail_watch(node);
    }

    /// Accepts the tables at `node` as an edit of the current head. Returns the revision, or 0 if
    /// it failed. With `lose_reply` the node does not learn that its swap succeeded.
    std::int64_t accept(fleet_node& node, const configuration& wanted, const std::string& id,
                        bool lose_reply = false)
    {
        if (m_outage || node.platform_unreachable)
            return 0;
        stored_state stored;
        if (const kv_entry* head = store.find(keys.head())) {
            stored.head_mod_revision = head->mod_revision;
            stored.head = parse_head(head->value).value();
            stored.current = from_pages(stored.head.manifest, pages()).value();
            stored.current.revision = stored.head.revision();
            stored.base = stored.current;
        }
        edit change{wanted, {}};
        change.metadata.change_id = id;
        change.metadata.author = "ana";
        const auto plan = plan_acceptance(keys, stored, change);
        if (!plan || plan.value().unchanged)
            return 0;
        for (const kv_transaction& part : plan.value().prepare)
            (void)transact(node, part);
        if (!transact(node, plan.value().swap).succeeded)
            return 0;
        notify_watchers();
        accepted_at[plan.value().next_head.revision().value()] = net.now;
        if (!lose_reply) {
            std::vector<config_page> config_pages;
            for (const table_page& page : plan.value().new_pages)
                config_pages.push_back({page.digest, page.bytes});
            run(node,
                node.spread->accepted(net.now, render_head(plan.value().next_head), config_pages));
        }
        return plan.value().next_head.revision().value();
    }

    [[nodiscard]] bool all_at(std::int64_t revision) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
            return node->peer_node->crashed || node->highest >= revision;
        });
    }
    [[nodiscard]] bool no_revision_decreased() const
    {
        return std::none_of(nodes.begin(), nodes.end(),
                            [](const auto& node) { return node->revision_decreased; });
    }
    [[nodiscard]] std::uint64_t calls() const
    {
        std::uint64_t sum = 0;
        for (const auto& node : nodes)
            sum += node->calls;
        return sum;
    }

    std::map<std::int64_t, time_point> accepted_at;

private:
    bool m_outage = false;

    void fail_watch(fleet_node& node)
    {
        if (!node.watching || node.peer_node->crashed || node.peer_node->paused)
            return;
        node.watching = false;
        run(node, node.spread->platform_call_failed(net.now));
    }

    std::vector<table_page> pages() const
    {
        std::vector<table_page> out;
        for (const kv_entry& entry : store.with_prefix(keys.pages()))
            out.push_back({entry.key.substr(keys.pages().size()), entry.value});
        return out;
    }

    kv_outcome transact(fleet_node& node, const kv_transaction& transaction)
    {
        ++node.calls;
        return store.transact(transaction).value();
    }

    void tick(fleet_node& node)
    {
        const std::size_t known = node.peer_node->core.members().size() + 1;
        if (node.members_seen != known) {
            node.members_seen = known;
            const member& self = node.peer_node->core.self();
            std::vector<node_id> live = node.peer_node->core.members().select([&](const member& m) {
                return m.live() && m.failure_domain == self.failure_domain;
            });
            live.push_back(self.node);
            std::sort(live.begin(), live.end());
            run(node, node.spread->domain_changed(net.now, std::move(live)));
        }
        run(node, node.spread->tick(net.now));
    }

    void run(fleet_node& node, const spread_commands& commands)
    {
        for (const spread_command& command : commands)
            std::visit([&](const auto& each) { execute(node, each); }, command);
    }
    /// A call on the platform: completes after call_delay, unless the node has crashed by then.
    void call(fleet_node& node, const std::function<void()>& done)
    {
        ++node.calls;
        net.after(call_delay, [this, &node, done] {
            if (node.peer_node->crashed)
                return;
            if (node.peer_node->paused) { // the reply stays in the socket buffer
                net.after(std::chrono::milliseconds{100}, [this, &node, done] {
                    --node.calls;
                    call(node, done);
                });
                return;
            }
            if (m_outage || node.platform_unreachable)
                run(node, node.spread->platform_call_failed(net.now));
            else
                done();
        });
    }
    void deliver_head(fleet_node& node)
    {
        const kv_entry* head = store.find(keys.head());
        const auto value = head == nullptr ? std::nullopt : std::optional{head->value};
        run(node, node.spread->platform_head_received(net.now, value));
    }
    void execute(fleet_node& node, const watch_head& /*command*/)
    {
        call(node, [this, &node] {
            ++node.calls; // the watch
            node.watching = true;
            node.watch_silent = false;
            deliver_head(node);
        });
    }
    void execute(fleet_node& node, const stop_watch& /*command*/) { node.watching = false; }
    void execute(fleet_node& node, const read_head& /*command*/)
    {
        call(node, [this, &node] { deliver_head(node); });
    }
    void execute(fleet_node& node, const read_pages& command)
    {
        // One call per page; call() counts the first.
        node.calls += command.digests.size() - std::min<std::size_t>(1, command.digests.size());
        call(node, [this, &node, command] {
            std::vector<config_page> out;
            for (const std::string& digest : command.digests) {
                if (const kv_entry* page = store.find(keys.page(digest)))
                    out.push_back({digest, page->value});
            }
            run(node, node.spread->platform_pages_received(net.now, out));
        });
    }
    void execute(fleet_node& node, const send_to_peer& command)
    {
        if (!everyone_watches)
            net.run(*node.peer_node,
                    node.peer_node->core.send_config(net.now, command.to, command.body));
    }
    void execute(fleet_node& node, const install& command)
    {
        const std::int64_t revision = command.tables->revision.value();
        node.revision_decreased = node.revision_decreased || revision <= node.highest;
        node.highest = revision;
        node.installed_at[revision] = net.now;
    }
    void execute(fleet_node& node, const announce& command)
    {
        if (!everyone_watches) {
            net.run(*node.peer_node,
                    node.peer_node->core.config_installed(net.now, command.digest.revision,
                                                          command.digest.platform_lost));
        }
    }
    void execute(fleet_node& /*node*/, const report& command)
    {
        reported_kinds.push_back(command.kind);
    }

    void notify_watchers()
    {
        for (const auto& node : nodes) {
            if (!node->watching || node->watch_silent || node->peer_node->crashed)
                continue;
            net.after(call_delay, [this, raw = node.get()] {
                if (raw->peer_node->paused || raw->peer_node->crashed)
                    return;
                if (m_outage || raw->platform_unreachable) {
                    raw->watching = false;
                    run(*raw, raw->spread->platform_call_failed(net.now));
                }
                else {
                    deliver_head(*raw);
                }
            });
        }
    }
};

} // namespace jaynotch::testing

// For tests and benchmarks: nodes with membership and spread cores, joined by the in-memory
// network, before one key-value store that can fail, on a simulated clock.
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
    test_node* link = nullptr;
    std::unique_ptr<spread_core> spread;
    bool watching = false;   ///< has a watch registered in the store
    bool watch_dead = false; ///< the watch lives on but delivers nothing
    bool cut_off = false;    ///< can't reach the platform
    std::uint64_t calls = 0; ///< on the platform
    std::int64_t highest = 0;
    std::map<std::int64_t, time_point> installed_at;
    std::size_t members_seen = 0;
    bool went_down = false; ///< a revision was installed that was not higher
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
    const bool everyone_watches; ///< the baseline: no spread through peers
    duration call_time = std::chrono::milliseconds{2};
    std::vector<std::unique_ptr<fleet_node>> nodes;
    std::vector<std::string> refused; ///< kinds of reports

    fleet_node& add(std::size_t index, std::size_t domains, std::uint64_t boot = 1)
    {
        auto made = std::make_unique<fleet_node>();
        fleet_node& node = *made;
        node.link = &net.add(index, domains, boot);
        spread_settings settings;
        settings.deployment = "test";
        settings.self = node.link->core.self().node;
        settings.failure_domain = node.link->core.self().failure_domain;
        if (everyone_watches)
            settings.watchers = settings.candidates = std::size_t{1} << 20U;
        node.spread = std::make_unique<spread_core>(settings, random_source{net.random.bits()});
        node.link->on_command = [this, &node](const membership_command& command) {
            if (const auto* message = std::get_if<config_message>(&command))
                run(node, node.spread->peer_spoke(net.now, *message));
            if (const auto* news = std::get_if<rumor_received>(&command)) {
                if (const auto* told = std::get_if<confirmation>(&news->item))
                    run(node, node.spread->peer_confirmed(net.now, *told));
            }
            if (std::holds_alternative<member_changed>(command))
                node.members_seen = 0;
        };
        node.link->on_tick = [this, &node] { tick(node); };
        nodes.push_back(std::move(made));
        return node;
    }

    /// Tables of `rows` routes to one pool; `mark` makes row `edited` differ.
    static configuration tables(std::size_t rows, std::size_t edited, std::uint32_t mark)
    {
        configuration out;
        out.deployment = "test";
        pool only;
        only.name = pool_id{"p"};
        only.model = "m";
        only.version = "1";
        out.pools.push_back(only);
        for (std::size_t i = 0; i < rows; ++i) {
            route row;
            std::string digits = std::to_string(i);
            row.name = route_id{"r" + std::string(5 - digits.size(), '0') + digits};
            row.model = "m" + digits;
            row.workspaces = {"*"};
            row.pool = only.name;
            if (i == edited)
                row.timeout = std::chrono::milliseconds{1000 + mark};
            out.routes.push_back(std::move(row));
        }
        return out;
    }

    /// The store stops answering, or answers again; watches end.
    void set_outage(bool now_out)
    {
        m_outage = now_out;
        for (const auto& node : nodes)
            end_watch(*node);
    }
    void cut_platform(fleet_node& node, bool cut)
    {
        node.cut_off = cut;
        end_watch(node);
    }

    /// Accepts tables at `node` as of now, on top of whatever stands; 0 if it failed.
    std::int64_t accept(fleet_node& node, const configuration& wanted, const std::string& id,
                        bool lose_reply = false)
    {
        if (m_outage || node.cut_off)
            return 0;
        standing seen;
        if (const kv_entry* head = store.find(keys.head())) {
            seen.head_mod_revision = head->mod_revision;
            seen.head = parse_head(head->value).value();
            seen.current = from_pages(seen.head.manifest, pages()).value();
            seen.current.revision = seen.head.revision();
            seen.base = seen.current;
        }
        edit change{wanted, {}};
        change.made_by.change_id = id;
        change.made_by.author = "ana";
        const auto plan = plan_acceptance(keys, seen, change);
        if (!plan || plan.value().unchanged)
            return 0;
        for (const kv_transaction& part : plan.value().prepare)
            (void)transact(node, part);
        if (!transact(node, plan.value().swap).succeeded)
            return 0;
        publish();
        accepted_at[plan.value().next.revision().value()] = net.now;
        if (!lose_reply) {
            std::vector<config_page> fresh;
            for (const table_page& page : plan.value().new_pages)
                fresh.push_back({page.digest, page.bytes});
            run(node, node.spread->accepted(net.now, render_head(plan.value().next), fresh));
        }
        return plan.value().next.revision().value();
    }

    [[nodiscard]] bool all_at(std::int64_t revision) const
    {
        return std::all_of(nodes.begin(), nodes.end(), [&](const auto& node) {
            return node->link->crashed || node->highest >= revision;
        });
    }
    [[nodiscard]] bool none_went_down() const
    {
        return std::none_of(nodes.begin(), nodes.end(),
                            [](const auto& node) { return node->went_down; });
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

    void end_watch(fleet_node& node)
    {
        if (!node.watching || node.link->crashed || node.link->paused)
            return;
        node.watching = false;
        run(node, node.spread->platform_failed(net.now));
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
        const std::size_t known = node.link->core.members().size() + 1;
        if (node.members_seen != known) {
            node.members_seen = known;
            const member& self = node.link->core.self();
            std::vector<node_id> live = node.link->core.members().select([&](const member& m) {
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
            std::visit([&](const auto& order) { carry_out(node, order); }, command);
    }
    /// A call on the platform: takes its time, may fail, never reaches a crashed node.
    void call(fleet_node& node, const std::function<void()>& done)
    {
        ++node.calls;
        net.after(call_time, [this, &node, done] {
            if (node.link->crashed)
                return;
            if (node.link->paused) { // the answer waits in the socket
                net.after(std::chrono::milliseconds{100}, [this, &node, done] {
                    --node.calls;
                    call(node, done);
                });
                return;
            }
            if (m_outage || node.cut_off)
                run(node, node.spread->platform_failed(net.now));
            else
                done();
        });
    }
    void deliver_head(fleet_node& node)
    {
        const kv_entry* head = store.find(keys.head());
        const auto value = head == nullptr ? std::nullopt : std::optional{head->value};
        run(node, node.spread->platform_head(net.now, value));
    }
    void carry_out(fleet_node& node, const watch_head& /*order*/)
    {
        call(node, [this, &node] {
            ++node.calls; // the watch
            node.watching = true;
            node.watch_dead = false;
            deliver_head(node);
        });
    }
    void carry_out(fleet_node& node, const stop_watch& /*order*/) { node.watching = false; }
    void carry_out(fleet_node& node, const read_head& /*order*/)
    {
        call(node, [this, &node] { deliver_head(node); });
    }
    void carry_out(fleet_node& node, const read_pages& order)
    {
        node.calls += order.digests.size() - std::min<std::size_t>(1, order.digests.size());
        call(node, [this, &node, order] {
            std::vector<config_page> out;
            for (const std::string& digest : order.digests) {
                if (const kv_entry* page = store.find(keys.page(digest)))
                    out.push_back({digest, page->value});
            }
            run(node, node.spread->platform_pages(net.now, out));
        });
    }
    void carry_out(fleet_node& node, const tell_peer& order)
    {
        if (!everyone_watches)
            net.run(*node.link, node.link->core.send_config(net.now, order.to, order.body));
    }
    void carry_out(fleet_node& node, const install& order)
    {
        const std::int64_t revision = order.tables->revision.value();
        node.went_down = node.went_down || revision <= node.highest;
        node.highest = revision;
        node.installed_at[revision] = net.now;
    }
    void carry_out(fleet_node& node, const announce& order)
    {
        if (!everyone_watches) {
            net.run(*node.link, node.link->core.config_installed(net.now, order.digest.revision,
                                                                 order.digest.platform_lost));
        }
    }
    void carry_out(fleet_node& /*node*/, const report& order) { refused.push_back(order.kind); }

    void publish()
    {
        for (const auto& node : nodes) {
            if (!node->watching || node->watch_dead || node->link->crashed)
                continue;
            net.after(call_time, [this, raw = node.get()] {
                if (raw->link->paused || raw->link->crashed)
                    return;
                if (m_outage || raw->cut_off) {
                    raw->watching = false;
                    run(*raw, raw->spread->platform_failed(net.now));
                }
                else {
                    deliver_head(*raw);
                }
            });
        }
    }
};

} // namespace jaynotch::testing

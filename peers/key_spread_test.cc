// Tests of the spread of the store's entries within one failure domain: real membership frames, key
// relays and choice of followers on a simulated clock, with links of limited bandwidth.
#include "peers/key_relay.h"
#include "peers/store_followers.h"
#include "peers/test_network.h"

#include <criterion/criterion.h>

#include <algorithm>

using namespace jaynotch;
using namespace jaynotch::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view config_key = "config";
constexpr std::size_t config_bytes = 60'000;
constexpr std::size_t entry_bytes = 800;
/// Of an entry VM of the deployment with the slowest links.
constexpr double slow_link_bytes_s = 6.1e6;
/// Within this time a change must be in force on all nodes.
constexpr duration max_change_delay = 3s;

/// The store: the newest value of each key by revision.
class fake_store {
public:
    void write(const std::string& key, std::size_t bytes)
    {
        const auto old = m_revisions.find(key);
        if (old != m_revisions.end())
            m_entries.erase(old->second);
        m_revisions[key] = ++m_revision;
        m_entries[m_revision] = {key, m_revision, std::string(bytes, 'v')};
    }

    [[nodiscard]] std::int64_t revision() const { return m_revision; }
    [[nodiscard]] std::int64_t revision_of(const std::string& key) const
    {
        return m_revisions.at(key);
    }
    [[nodiscard]] std::vector<relayed_key> changes_after(std::int64_t revision) const
    {
        std::vector<relayed_key> changes;
        for (auto row = m_entries.upper_bound(revision); row != m_entries.end(); ++row)
            changes.push_back(row->second);
        return changes;
    }

private:
    std::int64_t m_revision = 0;
    std::map<std::int64_t, relayed_key> m_entries;
    std::map<std::string, std::int64_t> m_revisions;
};

/// One node's relay and its watch of the store, as in the daemon's registry feed.
struct feed {
    feed(test_node& member, random_source random)
        : node{member}, relay{{.self = member.core.self().node,
                               .name = "documents",
                               .is_urgent = [](std::string_view key) { return key == config_key; }},
                              random},
          followers{{.self = member.core.self().node}}
    {}

    test_node& node;
    key_relay_core relay;
    store_followers followers;
    std::int64_t revision = 0; ///< of the store, as last watched
    std::int64_t config_revision = 0;
    bool follows = false;
    bool answered = false; ///< by the store, since it follows
    time_point answered_at{};
    time_point poll_begun{};
    time_point next_poll{};
    time_point pushed_at{};
    std::size_t members = 0;
};

class domain_simulation {
public:
    explicit domain_simulation(std::size_t nodes, std::size_t entries) : m_network{1}
    {
        m_store.write(std::string{config_key}, config_bytes);
        for (std::size_t index = 0; index < entries; ++index)
            m_store.write(entry_name(index), entry_bytes);
        for (std::size_t index = 0; index < nodes; ++index) {
            m_network.add(index, 1);
            m_feeds.push_back(std::make_unique<feed>(*m_network.nodes.back(),
                                                     random_source{m_network.random.bits()}));
            connect(*m_feeds.back());
        }
        cr_assert(m_network.until([this] { return m_network.views_converged(); }, 600s));
        for (const auto& each : m_feeds)
            read_all(*each);
        step();
        m_network.run_for(10s);
        m_network.link_bytes_s = slow_link_bytes_s;
        m_network.run_for(2s);
    }

    void change_entries(std::size_t count)
    {
        for (std::size_t index = 0; index < count; ++index)
            m_store.write(entry_name(index), entry_bytes);
    }

    /// Changes entries at a steady rate for `span`, each in turn.
    void change_steadily(std::size_t entries, std::size_t changes_s, duration span)
    {
        constexpr std::size_t slices = 5; // of a second
        constexpr duration slice_time = 200ms;
        std::size_t next = 0;
        for (const time_point end = m_network.now + span; m_network.now < end;) {
            for (std::size_t change = 0; change < changes_s / slices; ++change, ++next)
                m_store.write(entry_name(next % entries), entry_bytes);
            m_network.run_for(slice_time);
            m_most_following = std::max(m_most_following, following());
        }
    }

    void run_for(duration span) { m_network.run_for(span); }

    /// Changes the configuration. Returns the time until it is in force on all nodes.
    duration change_configuration()
    {
        m_store.write(std::string{config_key}, config_bytes);
        const time_point begun = m_network.now;
        const auto in_force = [this] {
            return std::all_of(m_feeds.begin(), m_feeds.end(), [this](const auto& each) {
                return each->config_revision >= m_store.revision_of(std::string{config_key});
            });
        };
        m_network.until(in_force, 30s);
        return m_network.now - begun;
    }

    [[nodiscard]] std::size_t most_following() const { return m_most_following; }

private:
    [[nodiscard]] std::size_t following() const
    {
        return static_cast<std::size_t>(std::count_if(
            m_feeds.begin(), m_feeds.end(), [](const auto& each) { return each->follows; }));
    }

    static constexpr duration step_interval = 20ms;
    static constexpr duration poll_wait = 1s;
    static constexpr duration push_interval = 400ms;
    static constexpr duration batch_delay = 120ms;
    static constexpr duration max_watch_gap = 3s;

    static std::string entry_name(std::size_t index) { return "vm/" + std::to_string(index); }

    void connect(feed& each)
    {
        each.node.on_command = [this, &each](const membership_command& command) {
            if (const auto* message = std::get_if<key_message>(&command))
                run(each, each.relay.message_received(m_network.now, *message));
            const auto* heard = std::get_if<rumor_received>(&command);
            const auto* notice = heard == nullptr ? nullptr : std::get_if<key_notice>(&heard->item);
            if (notice != nullptr)
                run(each, each.relay.notice_received(m_network.now, *notice));
        };
        each.node.on_tick = [this, &each] {
            update_members(each);
            run(each, each.relay.tick(m_network.now));
        };
    }

    void update_members(feed& each)
    {
        std::vector<node_id> live{each.node.core.self().node};
        for (const member& other : each.node.core.members().all()) {
            if (other.live())
                live.push_back(other.node);
        }
        if (std::exchange(each.members, live.size()) == live.size())
            return;
        each.followers.members_changed(live);
        run(each, each.relay.members_changed(live, live));
    }

    void read_all(feed& each)
    {
        for (const relayed_key& entry : m_store.changes_after(0))
            run(each, each.relay.read(entry));
        each.relay.stop_pushing();
        each.revision = m_store.revision();
        each.followers.store_answered(m_network.now);
    }

    void step()
    {
        for (const auto& each : m_feeds)
            step_feed(*each);
        m_network.after(step_interval, [this] { step(); });
    }

    void step_feed(feed& each)
    {
        const time_point now = m_network.now;
        const bool follows = each.followers.should_follow(now);
        if (std::exchange(each.follows, follows) != follows) {
            each.answered = false;
            each.poll_begun = now;
            each.next_poll = now;
            if (!follows)
                each.relay.stop_pushing();
        }
        if (!follows)
            return;
        const bool changed = m_store.revision() > each.revision;
        if (now >= each.next_poll && (changed || now - each.poll_begun >= poll_wait))
            finish_poll(each);
        else if (each.answered && now - each.pushed_at >= push_interval)
            push(each);
    }

    void finish_poll(feed& each)
    {
        const std::vector<relayed_key> changes = m_store.changes_after(each.revision);
        if (m_network.now - each.answered_at > max_watch_gap)
            read_all(each);
        for (const relayed_key& entry : changes)
            run(each, each.relay.key_changed(m_network.now, entry));
        each.answered_at = m_network.now;
        each.revision = m_store.revision();
        each.answered = true;
        each.followers.store_answered(m_network.now);
        each.next_poll = m_network.now + (changes.empty() ? 0ms : batch_delay);
        each.poll_begun = each.next_poll;
        push(each);
    }

    void push(feed& each)
    {
        each.pushed_at = m_network.now;
        if (const auto age = each.followers.store_age(m_network.now))
            run(each, each.relay.push(*age));
    }

    void run(feed& each, const key_relay_commands& commands)
    {
        for (const key_relay_command& command : commands) {
            if (const auto* message = std::get_if<send_key_message>(&command))
                m_network.run(each.node,
                              each.node.core.send_keys(m_network.now, message->to, message->body,
                                                       message->priority));
            else if (const auto* announced = std::get_if<announce_key>(&command))
                m_network.run(each.node, each.node.core.publish(m_network.now, announced->notice));
            else if (const auto* updated = std::get_if<key_updated>(&command)) {
                if (updated->entry.key == config_key)
                    each.config_revision = updated->entry.revision;
            }
            else if (const auto* fresh = std::get_if<neighbour_fresh>(&command))
                each.followers.push_received(fresh->neighbour, fresh->store_age, m_network.now);
        }
    }

    test_network m_network;
    fake_store m_store;
    std::vector<std::unique_ptr<feed>> m_feeds;
    std::size_t m_most_following = 0;
};

} // namespace

// Entries change faster than the followers' links carry to all neighbours, so that each push
// arrives seconds late. Guards against nodes that take such pushes for fresh and don't ask the
// store.
Test(key_spread, a_configuration_change_is_in_force_in_time_while_all_pushes_are_late)
{
    struct overload {
        std::size_t nodes;
        std::size_t changes_s; ///< changed entries per second
    };
    constexpr std::size_t entries = 1'000;
    for (const overload each : {overload{36, 500}, overload{100, 125}}) {
        domain_simulation domain{each.nodes, entries};
        domain.change_steadily(entries, each.changes_s, 10s);
        cr_expect_lt(domain.change_configuration(), max_change_delay, "%zu nodes", each.nodes);
    }
}

// A change of the configuration follows the changes of many entries. Guards against nodes that keep
// outdated tables because it waits behind those entries on the followers' links.
Test(key_spread, a_configuration_change_is_in_force_in_time_after_many_changed_entries)
{
    for (const std::size_t nodes : {4U, 36U, 100U}) {
        domain_simulation domain{nodes, 1'000};
        domain.change_entries(1'000);
        domain.run_for(500ms);
        cr_expect_lt(domain.change_configuration(), max_change_delay, "%zu nodes", nodes);
    }
}

// Entries change in a domain of a hundred nodes. Guards against followers that send each of them to
// all neighbours over their own links: nodes without fresh pushes follow the store, and push too.
Test(key_spread, two_nodes_follow_the_store_while_many_entries_change)
{
    constexpr std::size_t entries = 1'000;
    constexpr std::size_t changes_s = 300;
    domain_simulation domain{100, entries};
    domain.change_steadily(entries, changes_s, 5s);
    cr_assert_eq(domain.most_following(), 2U, "%zu nodes follow", domain.most_following());
}

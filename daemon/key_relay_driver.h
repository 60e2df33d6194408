// Runs the core that relays keys which a few nodes watch and all nodes need (peers/key_relay.h):
// updates its list of members and executes its commands. The feeds (record_feed, registry_feed)
// pass in the keys that this node reads and consume the ones that arrive.
//
//   key_relay_driver relay{settings, peers, "records", {on_key, on_watch}};
//   relay.tick();                       // a few times a second
//   relay.key_changed(entry);           // read, watched or written by this node
//   relay.notice_received(notice);      // a rumor
//   relay.message_received(message);    // from a peer
#pragma once

#include "base/base.h"
#include "daemon/settings.h"
#include "outside/kv_types.h"
#include "peers/key_relay.h"
#include "peers/peers.h"

#include <functional>
#include <string>

namespace jaynotch {

struct key_relay_hooks {
    /// A value that is new to this node. A key's revisions arrive in rising order, each once.
    std::function<void(const kv_entry&)> on_key;
    /// This node has become a watcher of the platform's keys.
    std::function<void()> on_watch;
    /// The live members of this node's failure domain, including this node, when they change.
    std::function<void(const std::vector<node_id>&)> on_neighbours = {};
    /// A neighbour that watches the platform got an answer from it `store_age` ago, and this node
    /// has everything that the neighbour had then.
    std::function<void(const node_id&, duration store_age)> on_fresh = {};
    /// Whether a change of the key must not wait for changes of other keys.
    std::function<bool(std::string_view key)> is_urgent = {};
};

class key_relay_driver {
public:
    /// The watchers are chosen by a hash over `name`, so that each relay has different ones.
    /// `settings` and `peers` must outlive the driver.
    key_relay_driver(const daemon_settings& settings, peer_service& peers, std::string name,
                     key_relay_hooks hooks);
    key_relay_driver(const key_relay_driver&) = delete;
    key_relay_driver& operator=(const key_relay_driver&) = delete;

    void tick();
    void key_changed(const kv_entry& entry);
    /// One entry of a complete read of the platform's keys. It isn't announced or pushed, as most
    /// other nodes have it already.
    void read(const kv_entry& entry);
    /// All keys of the platform have been read.
    void platform_read() { m_core.platform_read(); }
    /// Sends the keys that changed since the last push, if any, to all nodes of this failure domain
    /// at once, with the time since the platform answered, and what this node knows
    /// of its outages.
    void push(duration store_age, const store_record& store);
    /// The same knowledge, to be sent with replies to peers.
    void set_store_record(time_point steady_since, time_point heard_at)
    {
        m_core.set_store_record(steady_since, heard_at);
    }
    /// Tells all nodes that everything has been read, and how long that took.
    void announce_reading(duration took) { execute(m_core.announce_reading(took)); }
    /// Whether the platform, or peers that were synced themselves, have shown all keys.
    [[nodiscard]] bool synced() const { return m_core.synced(); }
    void stop_pushing() { m_core.stop_pushing(); }
    void notice_received(const key_notice& notice);
    void message_received(const key_message& message);
    [[nodiscard]] bool watching() const { return m_core.watching(); }
    [[nodiscard]] const std::map<std::string, relayed_key>& keys() const { return m_core.keys(); }

private:
    void members_changed();
    void execute(const key_relay_commands& commands);
    void execute(const watch_keys& cmd);
    void execute(const send_key_message& cmd);
    void execute(const announce_key& cmd);
    void execute(const key_updated& cmd);
    void execute(const neighbour_fresh& cmd);

    const daemon_settings& m_settings;
    peer_service& m_peers;
    key_relay_hooks m_hooks;
    key_relay_core m_core;
    std::uint64_t m_members_version = 0;
};

} // namespace jaynotch

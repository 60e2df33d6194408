// Drives the relay of keys that a few nodes watch and all need (peers/key_relay.h): keeps it told
// of the members and carries out what it decides. The feeds add where keys come from and go to.
//
//   key_relay_driver relay{settings, peers, "records", {on_key, on_watch}};
//   relay.tick();                  // a few times a second
//   relay.learned(entry);          // read, watched or written by this node
//   relay.noticed(notice);         // a rumor
//   relay.heard(message);          // of a peer
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
    /// A value that this node did not have, each revision once and rising.
    std::function<void(const kv_entry&)> on_key;
    /// This node has become a watcher.
    std::function<void()> on_watch;
    /// Live members of the own failure domain, this node among them, whenever they change.
    std::function<void(const std::vector<node_id>&)> on_neighbours = {};
    /// A neighbour watches the platform, which answered it so long ago, and this node has all that
    /// it had then.
    std::function<void(const node_id&, duration store_age)> on_fresh = {};
};

class key_relay_driver {
public:
    /// `name` chooses the watchers, differently for each relay. `settings` and `peers` must outlive
    /// the driver.
    key_relay_driver(const daemon_settings& settings, peer_service& peers, std::string name,
                     key_relay_hooks hooks);
    key_relay_driver(const key_relay_driver&) = delete;
    key_relay_driver& operator=(const key_relay_driver&) = delete;

    void tick();
    void learned(const kv_entry& entry);
    /// One of everything that the platform has, which the others most likely have too.
    void read(const kv_entry& entry);
    /// Tells the own failure domain at once what was learned since the last push, or that nothing
    /// was, and that the platform answered `store_age` ago.
    void push(duration store_age);
    void stop_pushing() { m_core.stop_pushing(); }
    void noticed(const key_notice& notice);
    void heard(const key_message& message);
    [[nodiscard]] bool watching() const { return m_core.watching(); }
    [[nodiscard]] const std::map<std::string, relayed_key>& keys() const { return m_core.keys(); }

private:
    void members_changed();
    void execute(const key_relay_commands& commands);
    void execute(const watch_keys& cmd);
    void execute(const tell_keys& cmd);
    void execute(const announce_key& cmd);
    void execute(const take_key& cmd);
    void execute(const neighbour_fresh& cmd);

    const daemon_settings& m_settings;
    peer_service& m_peers;
    key_relay_hooks m_hooks;
    key_relay_core m_core;
    std::uint64_t m_members_version = 0;
};

} // namespace jaynotch

// Keys of the platform that a few nodes watch and all nodes need: the decision core of their relay.
//
//   key_relay_core relay{{.self = node}, random_source{seed}};
//   run(relay.tick(now));                          // a few times a second
//   run(relay.members_changed(own_domain, all));
//   run(relay.learned(now, entry));                // read, watched or written by this node
//   run(relay.noticed(now, notice));               // rumor of a peer
//   run(relay.heard(now, message));                // request or reply of a peer
//
// The assignment records of the fabric domains travel this way. Were every node to watch them, the
// calls on the platform would grow with the fleet; and a node that starts while the platform is
// down would not know one group, though its peers know them all.
//
// The newest revision of each key wins. Keys are never removed, as records are not.
#pragma once

#include "base/base.h"
#include "peers/frame.h"
#include "peers/payload.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

struct key_relay_settings {
    node_id self;
    std::string name = "records"; ///< chooses the watchers, differently for each relay
    std::size_t watchers = 2;     ///< nodes of a failure domain that watch the platform
    duration request_timeout = std::chrono::milliseconds{400}; ///< for a peer's reply
    duration sync_interval = std::chrono::seconds{20};         ///< between comparisons with a peer
    duration initial_sync_interval =
        std::chrono::milliseconds{500};        ///< the same until the first reply
    std::size_t max_reply_bytes = 256U << 10U; ///< of one reply
    double max_reply_bytes_s = 200'000.0;      ///< of all replies
    std::size_t max_keys = 4096;
};

// Commands.
/// Begin or stop to watch the platform.
struct watch_keys {
    bool on = false;
};
struct send_key_message {
    node_id to;
    key_body body;
};
/// To be published to all peers.
struct announce_key {
    key_notice notice;
};
/// A newer value that this node did not have.
struct key_updated {
    relayed_key entry;
};
/// A neighbour watches the platform, which answered it `store_age` ago, and this node has all that
/// the neighbour had then.
struct neighbour_fresh {
    node_id neighbour;
    duration store_age{0};
};
using key_relay_command =
    std::variant<watch_keys, send_key_message, announce_key, key_updated, neighbour_fresh>;
using key_relay_commands = std::vector<key_relay_command>;

class key_relay_core {
public:
    key_relay_core(key_relay_settings settings, random_source random);

    key_relay_commands tick(time_point now);
    /// Live members, this node among them: of its failure domain, and of all.
    key_relay_commands members_changed(const std::vector<node_id>& own_domain,
                                       const std::vector<node_id>& all);
    key_relay_commands key_changed(time_point now, const relayed_key& entry);
    /// One of everything that the platform has. It is neither announced nor pushed: the others have
    /// most of it, and what they lack they get by comparison. Call stop_pushing() after the last.
    key_relay_commands read(const relayed_key& entry);
    /// Tells every node of the own failure domain at once what was learned since the last call, or
    /// just that there was nothing, and that the platform answered `store_age` ago: one that is
    /// told need not watch.
    key_relay_commands push(duration store_age);
    /// This node stops to push; when it begins again, the others have to compare with it first.
    void stop_pushing();
    key_relay_commands notice_received(time_point now, const key_notice& notice);
    key_relay_commands message_received(time_point now, const key_message& message);

    [[nodiscard]] bool watching() const { return m_watching; }
    /// Keys known, by name.
    [[nodiscard]] const std::map<std::string, relayed_key>& keys() const { return m_keys; }

private:
    /// A neighbour that pushes.
    struct push_source {
        std::int64_t number = 0; ///< of its last push that arrived
        bool complete = false;   ///< no push of it is missing, and what came before was compared
        time_point asked{};      ///< to compare
    };

    bool update_if_newer(const relayed_key& entry, key_relay_commands& out);
    void handle_push(time_point now, const node_id& from, const key_reply& push,
                     key_relay_commands& out);
    void handle_request(time_point now, const node_id& to, const key_request& asked,
                        key_relay_commands& out);
    void send_request(time_point now, bool everything, key_relay_commands& out);
    [[nodiscard]] std::vector<known_key> known() const;
    [[nodiscard]] const relayed_key* find(std::uint32_t wire) const;
    bool consume_reply_budget(time_point now, std::size_t bytes);

    key_relay_settings m_settings;
    random_source m_random;
    std::map<std::string, relayed_key> m_keys;
    std::map<std::uint32_t, std::string> m_names;    ///< of m_keys by their hash
    std::map<std::uint32_t, std::int64_t> m_missing; ///< noticed, not had yet
    std::vector<node_id> m_watchers;                 ///< of our failure domain, but us
    std::vector<node_id> m_neighbours;               ///< all of our failure domain, but us
    std::set<std::string> m_unpushed;                ///< keys to be told in the next push
    bool m_pushing = false;
    std::int64_t m_push_number = 0;
    std::map<node_id, push_source> m_push_sources;
    std::vector<node_id> m_peers; ///< whom to ask: our domain's, else anyone
    bool m_watching = false;
    bool m_synced = false; ///< a peer or the platform has answered once
    std::size_t m_failed_requests = 0;
    time_point m_next_request{};
    time_point m_next_sync{};
    double m_reply_tokens = 0.0;
    std::optional<time_point> m_refilled;
};

} // namespace jaynotch

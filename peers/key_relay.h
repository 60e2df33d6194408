// Distribution of platform keys that a few nodes watch to all nodes: the decision core. It does no
// I/O; its caller passes it events and executes the commands that it returns.
//
//   key_relay_core relay{{.self = node}, random_source{seed}};
//   run(relay.tick(now));                          // a few times a second
//   run(relay.members_changed(own_domain, all));
//   run(relay.key_changed(now, entry));            // watched or written by this node
//   run(relay.read(entry)); relay.platform_read(); // everything was read
//   run(relay.notice_received(now, notice));       // rumor of a peer
//   run(relay.message_received(now, message));     // request, reply or push of a peer
//
// The assignment records of the fabric domains (daemon/record_feed.h) and the documents of the
// registry (daemon/registry_feed.h) are distributed this way. If every node watched them, the
// number of calls to the platform would grow with the fleet, and a node that starts during an
// outage of the platform would know no groups although its peers know them all.
//
// The highest revision of each key replaces the others. Keys are never removed: record_feed ignores
// deletions, and registry_feed passes a deletion on as an empty value with a higher revision.
#pragma once

#include "base/base.h"
#include "peers/frame.h"
#include "peers/payload.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jaynotch {

struct key_relay_settings {
    node_id self;
    std::string name = "records"; ///< hash key; each relay has other watchers
    std::size_t watchers = 2;     ///< nodes of a failure domain that watch the platform
    duration request_timeout = std::chrono::milliseconds{400}; ///< for a peer's reply
    duration sync_interval = std::chrono::seconds{20};         ///< between comparisons with a peer
    /// Used instead of sync_interval until this node has seen all entries once.
    duration initial_sync_interval = std::chrono::milliseconds{250};
    std::size_t max_reply_bytes = 256U << 10U; ///< of one reply
    double max_reply_bytes_s = 200'000.0;      ///< of all replies, per second
    std::size_t max_keys = 4096;
    /// With more neighbours, a push is sent to some of them, which forward it to the others. A
    /// configuration of many routes takes 0.25 MB, twice, for each neighbour, and everything else
    /// on a link of 20 Mbit/s waits behind it.
    std::size_t max_direct_neighbours = 12;
    /// Whether a change of the key must not wait for changes of other keys; empty: none.
    std::function<bool(std::string_view key)> is_urgent = {};
};

// Commands, to be executed by the caller.

/// Start or stop watching the platform.
struct watch_keys {
    bool on = false;
};
/// Send a message to a peer.
struct send_key_message {
    node_id to;
    key_body body;
    frame_priority priority = frame_priority::bulk;
};
/// Publish a notice as a rumor.
struct announce_key {
    key_notice notice;
};
/// This node has received a newer value of a key.
struct key_updated {
    relayed_key entry;
};
/// A neighbour watches the platform, which answered it `store_age` ago, and this node has all
/// entries that the neighbour had at that time.
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

    /// Sends comparisons and repeated requests when they are due.
    key_relay_commands tick(time_point now);
    /// Sets the live members, including this node: those of its failure domain, and all.
    key_relay_commands members_changed(const std::vector<node_id>& own_domain,
                                       const std::vector<node_id>& all);
    /// This node has read, watched or written a value. A newer one is announced and pushed.
    key_relay_commands key_changed(time_point now, const relayed_key& entry);
    /// Adds an entry of a full read of the platform. It is neither announced nor pushed, since the
    /// other nodes have most entries and get the rest by comparison; only a newer revision of an
    /// urgent key is sent to them at once. Call stop_pushing() after the last one.
    key_relay_commands read(const relayed_key& entry);
    /// Pushes the entries that are new since the last push, if any, to all nodes of the own failure
    /// domain, with the time since the platform answered this node, and what it knows of
    /// outages. Nodes that receive pushes need not watch the platform.
    key_relay_commands push(duration store_age, std::optional<store_record> store = {});
    /// To be sent with replies: the platform has had no outage since `steady_since` until
    /// `heard_at`.
    void set_store_record(time_point steady_since, time_point heard_at)
    {
        m_steady_since = steady_since;
        m_heard_at = heard_at;
    }
    /// The platform has answered with all entries that it has, even if there are none.
    void platform_read() { m_synced = true; }
    /// Tells all nodes that this one has read everything from the platform, and how long that took.
    key_relay_commands announce_reading(duration took);
    /// Whether the platform, or a peer that was itself synced, has once shown all its entries.
    [[nodiscard]] bool synced() const { return m_synced; }
    /// Stops pushing. The other nodes must compare with this one after its next push.
    void stop_pushing();
    /// A notice arrived. If this node lacks the revision, it requests it from a peer in a later
    /// tick.
    key_relay_commands notice_received(time_point now, const key_notice& notice);
    key_relay_commands message_received(time_point now, const key_message& message);

    [[nodiscard]] bool watching() const { return m_watching; }
    /// Known entries by key.
    [[nodiscard]] const std::map<std::string, relayed_key>& keys() const { return m_keys; }

private:
    /// A neighbour that gets the pushes of this node directly.
    struct push_route {
        node_id to;
        std::vector<node_id> forward_to; ///< neighbours that get them from it
    };
    /// State of a neighbour that pushes to this node.
    struct push_source {
        std::int64_t number = 0;                  ///< of the last push received
        std::int64_t first_of_run = 0;            ///< no push is missing between it and `number`
        bool complete = false;                    ///< no push is missing since the last comparison
        std::optional<time_point> store_answered; ///< of the last push: when the store answered
        time_point comparison_requested_at{};
    };

    enum class update { none, added, replaced };
    update update_if_newer(const relayed_key& entry, key_relay_commands& out);
    /// Marks a changed entry for the next push. A new value of an urgent key is sent at once as
    /// well.
    void add_to_push(const relayed_key& entry, update how, key_relay_commands& out);
    void send_if_urgent(const relayed_key& entry, key_relay_commands& out) const;
    void send_to_domain(const key_reply& reply, frame_priority priority,
                        key_relay_commands& out) const;
    /// `ranking`: the live members of the domain, as all of them rank them.
    void plan_routes(std::vector<std::string> ranking);
    void forward(const key_message& message, const key_reply& reply, key_relay_commands& out) const;
    void handle_comparison(time_point now, const node_id& from, const key_reply& reply,
                           key_relay_commands& out);
    /// `origin`: node that pushed, which may have been forwarded; `delay`: of the last frame.
    void handle_push(time_point now, const node_id& origin, duration delay, const key_reply& push,
                     key_relay_commands& out);
    void handle_request(time_point now, const node_id& to, const key_request& request,
                        key_relay_commands& out);
    void send_request(time_point now, bool everything, key_relay_commands& out);
    /// A node has announced that it has read everything.
    void note_reader(time_point now, const node_id& reader);
    [[nodiscard]] node_id choose_peer();
    [[nodiscard]] std::vector<known_key> known() const;
    [[nodiscard]] const relayed_key* find(std::uint32_t wire) const;
    bool consume_reply_budget(time_point now, std::size_t bytes);

    key_relay_settings m_settings;
    random_source m_random;
    std::map<std::string, relayed_key> m_keys;
    std::map<std::uint32_t, std::string> m_names;    ///< keys of m_keys by wire_key
    std::map<std::uint32_t, std::int64_t> m_missing; ///< revisions announced, but not received yet
    std::vector<node_id> m_watchers;   ///< of the own failure domain, except this node
    std::vector<node_id> m_neighbours; ///< nodes of the own failure domain, except this node
    std::vector<push_route> m_routes;  ///< to all neighbours
    std::set<std::string> m_unpushed;  ///< keys to be sent with the next push
    bool m_pushing = false;
    std::int64_t m_push_number = 0;
    std::map<node_id, push_source> m_push_sources;
    std::vector<node_id> m_peers;   ///< to send requests to: m_neighbours, or all nodes if empty
    std::vector<node_id> m_all;     ///< live nodes of all failure domains, except this one
    std::vector<node_id> m_readers; ///< that have announced a reading, until m_synced
    std::optional<node_id> m_unfinished_from; ///< sent a part of its entries
    std::optional<duration> m_reading_took;   ///< the last reading of this node
    bool m_watching = false;
    bool m_synced = false;                    ///< see synced()
    std::optional<time_point> m_steady_since; ///< nullopt: not sent with replies
    time_point m_heard_at;
    std::size_t m_failed_requests = 0;
    time_point m_next_request{};
    time_point m_next_sync{};
    double m_reply_tokens = 0.0;
    std::optional<time_point> m_refilled;
};

} // namespace jaynotch

// Failure detection and gossip among the daemons: the decision core. It does no I/O; its caller
// passes it the time and the received frames, and executes the commands that it returns.
//
//   membership_core core{settings, random_source{seed}};
//   run(core.tick(now));                              // about ten times a second
//   run(core.frame_received(now, name_in_certificate, bytes));
//   // run() sends the frames of send_frame and passes the other commands to their handlers
//
// Bytes per second, calculated for 410 nodes in 5 failure domains with 200 groups. The test of
// bytes per second in membership_test.cc checks the total.
//
//   frame head (version, deployment, names, boot, sequence, digests)      ~65 B
//   length, TLS record, TCP and IP headers                               ~106 B
//   one ping and one ack a second, each both sent and received: 2 x 171   342 B/s each way
//   TCP acknowledgements without data                                     104 B/s each way
//   bridges (8 of 82 nodes): one more ping and ack                        342 B/s each way
//   rumors, bounded by a token bucket (rumor_bytes_s)                     900 B/s each way
//   configuration: 3,300 changes a day, 12 urgent frames, head and page   ~200 B/s each way
//   sum                                            ~1,550 B/s each way; a bridge ~1,900
//
// This is within the budget of 3 KB/s in each direction. With more items to send, the rate stays
// the same and loads, demand and confirmations arrive later: 200 tickets of 17 B sent 3 times are
// 10 kB, so each node's load report of each group is renewed about every 11 s. Tickets that have
// become incomplete are sent before all others.
#pragma once

#include "base/base.h"
#include "peers/frame.h"
#include "peers/member_table.h"
#include "peers/payload.h"
#include "peers/rumor_table.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jaynotch {

struct membership_settings {
    std::string deployment;
    member self;
    duration probe_interval = std::chrono::seconds{1};
    duration probe_timeout = std::chrono::milliseconds{300}; ///< until indirect probes start
    duration suspicion_timeout = std::chrono::seconds{4};    ///< until a suspect is declared dead
    duration dead_member_retention = std::chrono::hours{6};  ///< also of members that left
    duration sync_interval = std::chrono::seconds{60};       ///< minimum time between table syncs
    /// Used instead of sync_interval during startup, since the first peers asked may know few
    /// members.
    duration initial_sync_interval = std::chrono::seconds{1};
    double sync_bytes_s = 400.0;     ///< bytes per second of replies with the whole table
    double sync_burst = 256'000.0;   ///< bytes; ten tables of 410 nodes
    std::size_t indirect_probes = 3; ///< nodes that are asked to probe for this one
    std::size_t fan_out = 6;         ///< random peers that an urgent rumor is sent to
    std::size_t bridges = 2;         ///< nodes of a failure domain that probe each other domain
    std::size_t small_domain = 3;    ///< domains with fewer members are monitored by bridges too
    double rumor_bytes_s = 900.0;    ///< bytes per second sent for rumors
    std::size_t rumor_frame_bytes = 1200; ///< maximum bytes of rumors in a frame
};

// Commands, to be executed by the caller.

struct send_frame {
    node_id to;          ///< empty: any node that answers at the address (a seed)
    std::string address; ///< "IP:port"
    std::string bytes;
    frame_priority priority = frame_priority::control;
};
/// A member joined or changed its state, boot number or incarnation.
struct member_changed {
    member now;
};
/// A rumor of another node that is newer than the one known before.
struct rumor_received {
    rumor item;
};
/// Another process with this node's name started later; this process must stop serving.
struct superseded {
    std::uint64_t boot = 0; ///< of the other process
};
using membership_command = std::variant<send_frame, member_changed, rumor_received, config_message,
                                        key_message, server_message, superseded>;
using membership_commands = std::vector<membership_command>;

class membership_core {
public:
    membership_core(membership_settings settings, random_source random);

    /// Runs all timers: probes, suspicions, seeds and expiry.
    membership_commands tick(time_point now);
    /// `verified_name` is the sender's name in its certificate; empty over plain TCP.
    membership_commands frame_received(time_point now, const node_id& verified_name,
                                       std::string_view bytes);
    /// Starts to spread a rumor of this node. Leaving servers and incomplete tickets are sent at
    /// once.
    membership_commands publish(time_point now, const rumor& item);
    /// Reports the revision that this node has installed. A higher one than before is sent at once.
    membership_commands config_installed(time_point now, config_revision installed,
                                         bool platform_lost);
    // Messages to one node. Nothing is sent to a node that is not in the member table.
    membership_commands send_config(time_point now, const node_id& to, const config_body& body);
    membership_commands send_keys(time_point now, const node_id& to, const key_body& body,
                                  frame_priority priority);
    membership_commands send_server_message(time_point now, const node_id& to,
                                            const server_body& body);

    /// Pings `nodes`. Their acks carry the revision that they have installed.
    membership_commands ping_nodes(time_point now, const std::vector<node_id>& nodes);
    /// Announces to some peers that this node leaves, and stops probing.
    membership_commands leave(time_point now);
    void add_seeds(const std::vector<std::string>& addresses);

    [[nodiscard]] const member& self() const { return m_self; }
    [[nodiscard]] const member_table& members() const { return m_members; }
    [[nodiscard]] std::uint64_t refused() const { return m_refused; }

private:
    /// A probe without an answer so far.
    struct probe {
        node_id target;
        time_point sent;
        std::int32_t sequence = 0;
        bool indirect_probes_requested = false;
        bool monitored = true; ///< without an answer the target becomes suspect
    };
    /// A ping sent on behalf of another node (an indirect probe).
    struct relayed_ping {
        node_id requester;
        node_id subject;
        std::int32_t sequence = 0;           ///< of the ping sent by this node
        std::int32_t requester_sequence = 0; ///< of the request
        time_point sent;
    };
    /// What this node knows about a peer from the frames that it received from it.
    struct peer_info {
        std::uint64_t boot = 0;
        duration min_clock_offset{0}; ///< minimum of (local time - peer's time)
        time_point measured_at;
        config_digest config;
    };

    // membership.cc
    [[nodiscard]] std::int64_t table_digest() const;
    wire::frame make_frame(time_point now, wire::frame_kind::type kind);
    void send(time_point now, const member& to, wire::frame& frame, membership_commands& out,
              frame_priority priority = frame_priority::control);
    void send_simple_frame(time_point now, const member& to, wire::frame_kind::type kind,
                           membership_commands& out);
    /// Returns false for a frame of another deployment, a forged or outdated sender, or another
    /// target.
    bool should_accept(const wire::frame& frame, const node_id& verified_name) const;
    /// Returns by how much the frame took longer than the fastest one from the same peer.
    duration estimate_delay(time_point now, const wire::frame& frame);
    void apply_members(time_point now, const wire::frame& frame, membership_commands& out);
    void apply_member_report(time_point now, const member& received, membership_commands& out);
    void apply_report_on_self(time_point now, const member& received, membership_commands& out);
    void apply_rumors(time_point now, duration delay, const wire::frame& frame,
                      membership_commands& out);
    void apply_rumor(time_point now, duration delay, rumor item, membership_commands& out);
    void handle_config(const wire::frame& frame, membership_commands& out);
    void reply_to_sync(time_point now, const member& to, membership_commands& out);
    /// The members in a sync reply: all, or beyond the budget some live ones of the failure domain
    /// of `to`.
    std::vector<member> members_to_show(time_point now, const member& to);
    static void handle_keys(duration delay, const wire::frame& frame, membership_commands& out);
    static void handle_server_messages(const wire::frame& frame, membership_commands& out);
    void respond(time_point now, const wire::frame& frame, membership_commands& out);
    void publish_self(time_point now);
    void push_urgent(time_point now, membership_commands& out);
    void push_once(time_point now, membership_commands& out);
    std::vector<node_id> urgent_targets();

    // membership_probe.cc
    void probe_own_domain(time_point now, membership_commands& out);
    void probe_other_domains(time_point now, membership_commands& out);
    void start_probe(time_point now, const node_id& target, bool monitored,
                     membership_commands& out);
    void check_probes(time_point now, membership_commands& out);
    void request_indirect_probes(time_point now, const probe& unanswered, membership_commands& out);
    void suspect(time_point now, const node_id& target, membership_commands& out);
    void handle_ack(time_point now, const wire::frame& frame, membership_commands& out);
    void relay_ping(time_point now, const wire::frame& frame, membership_commands& out);
    void contact_seeds(time_point now, membership_commands& out);
    node_id next_probe_target();
    std::vector<failure_domain_id> bridged_domains();
    std::vector<node_id> pick(std::vector<node_id> from, std::size_t count);
    void refresh_views(time_point now);
    /// Whether this node may suspect the member and declare it dead.
    [[nodiscard]] bool monitors(const member& other) const;

    membership_settings m_settings;
    random_source m_random;
    member m_self;
    member_table m_members;
    rumor_table m_rumors;
    std::int32_t m_sequence = 0;
    std::uint32_t m_deployment_key = 0;
    std::uint64_t m_refused = 0;
    config_digest m_config;
    bool m_urgent_pending = false;
    std::optional<time_point> m_second_push_at;
    bool m_leaving = false;
    time_point m_started{};
    time_point m_next_probe{};
    time_point m_next_sync{};
    time_point m_next_housekeeping{};
    time_point m_next_seed{};
    double m_sync_tokens = 0.0; ///< bytes of sync replies that may be sent
    time_point m_sync_refilled{};
    std::vector<std::string> m_seeds;
    std::vector<probe> m_probes;
    std::deque<relayed_ping> m_relayed_pings;
    std::map<node_id, peer_info> m_peer_info;

    // Derived from m_members and recalculated after it changes.
    bool m_views_stale = true;
    time_point m_next_view_refresh{};
    std::vector<node_id> m_own_live;    ///< live members of the own domain except this node
    std::vector<node_id> m_own_dead;    ///< dead members of the own domain
    std::vector<node_id> m_probe_order; ///< shuffled m_own_live
    std::size_t m_probe_index = 0;      ///< next in m_probe_order
    struct domain_view {
        failure_domain_id domain;
        std::vector<node_id> live;
        std::vector<node_id> dead_nodes;
        bool bridged = false; ///< this node is a bridge to the domain
    };
    std::vector<domain_view> m_domains;
};

} // namespace jaynotch

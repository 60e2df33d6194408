// Propagates accepted configurations to this node and its peers. spread_core makes the decisions
// without input or output: it takes events and returns commands, which the caller executes.
//
//   spread_core core{settings, random_source{seed}};
//   run(core.tick(now));                                // about ten times a second
//   run(core.peer_message_received(now, message));      // from membership_core
//   run(core.platform_head_received(now, entry_value)); // from a get or a watch
//
// The installed revision only increases. "The platform" is the key-value service. Which nodes read
// from the platform and which from their peers is explained in spread.cc.
#pragma once

#include "base/base.h"
#include "config/head.h"
#include "peers/frame.h"
#include "peers/member.h"
#include "peers/payload.h"

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace jaynotch {

struct spread_settings {
    std::string deployment;
    node_id self;
    failure_domain_id failure_domain;
    /// Nodes of each failure domain that watch the head.
    std::size_t watchers_per_domain = 2;
    /// Nodes of each failure domain from which the watchers are chosen.
    std::size_t watcher_candidates = 4;
    duration peer_timeout = std::chrono::milliseconds{400};    ///< for the reply of a peer
    duration initial_backoff = std::chrono::milliseconds{200}; ///< after a failed platform call
    duration max_watcher_backoff = std::chrono::milliseconds{1500}; ///< for watchers
    duration max_other_backoff = std::chrono::seconds{20};          ///< for all other nodes
    /// The platform counts as lost after calls have failed for this long.
    duration platform_lost_after = std::chrono::seconds{2};
    /// A watcher also reads the head at this interval, in case its watch has stopped delivering.
    duration check_interval = std::chrono::seconds{10};
    /// Rate limit of the replies to peers, in bytes per second.
    double reply_bytes_s = 1'000'000.0;
};

/// The installed tables, with the head that they were assembled from.
struct installed_configuration {
    std::shared_ptr<const configuration> tables;
    head_record head;
    std::string head_for_peers; ///< the rendered head with a short history
};

// Commands that the caller executes.

/// Read the head, then watch it until stop_watch.
struct watch_head {};
struct stop_watch {};
struct read_head {};
/// Read these pages from the platform.
struct read_pages {
    std::vector<std::string> digests;
};
struct send_to_peer {
    node_id to;
    config_body body;
};
/// A new configuration was installed; pass it to the rest of the daemon.
struct install {
    std::shared_ptr<const configuration> tables;
};
/// Announce the installed revision, and whether the platform is lost, to the peers.
struct announce {
    config_digest digest;
};
/// Log a failure for the operator; `kind` is the name of the log event.
struct report {
    std::string kind;
    error failure;
};
using spread_command = std::variant<watch_head, stop_watch, read_head, read_pages, send_to_peer,
                                    install, announce, report>;
using spread_commands = std::vector<spread_command>;

class spread_core {
public:
    spread_core(spread_settings settings, random_source random);

    spread_commands tick(time_point now);
    /// `live` are the live members of this node's failure domain, itself included, sorted.
    spread_commands domain_changed(time_point now, std::vector<node_id> live);
    spread_commands peer_message_received(time_point now, const config_message& message);
    spread_commands peer_confirmation_received(time_point now, const confirmation& confirmed);
    /// `value` is the value of the head key; empty if the key does not exist.
    spread_commands platform_head_received(time_point now, const std::optional<std::string>& value);
    spread_commands platform_pages_received(time_point now, const std::vector<config_page>& pages);
    /// This node itself accepted a change; `head` and the new `pages` need not be read.
    spread_commands accepted(time_point now, const std::string& head,
                             const std::vector<config_page>& pages);
    /// A call on the platform failed, or the watch ended.
    spread_commands platform_call_failed(time_point now);

    [[nodiscard]] const std::optional<installed_configuration>& installed() const
    {
        return m_installed;
    }
    [[nodiscard]] config_revision revision() const;
    [[nodiscard]] config_revision highest_known() const { return m_highest_known; }
    [[nodiscard]] bool watching() const { return m_watching; }
    [[nodiscard]] bool platform_lost() const { return m_platform_lost; }
    [[nodiscard]] const std::map<std::string, std::string>& pages() const { return m_pages; }

private:
    /// A newer head whose pages are being fetched.
    struct pending_fetch {
        head_record head;
        std::set<std::string> missing;               ///< digests
        std::map<std::string, std::string> received; ///< pages by digest
    };

    /// Page digests of a revision that was installed here, to find the pages that a peer lacks.
    struct recent_revision {
        head_record head;                 ///< its history holds only its own entry
        std::vector<std::string> digests; ///< sorted
    };

    void handle_digest(time_point now, const node_id& from, const config_digest& digest,
                       spread_commands& out);
    void handle_request(time_point now, const node_id& to, const config_request& peer_request,
                        spread_commands& out);
    void handle_reply(time_point now, const node_id& from, const config_reply& reply,
                      spread_commands& out);
    void fetch_head_text(const std::string& text, spread_commands& out);
    void fetch_if_newer(const head_record& head, spread_commands& out);
    bool add_fetched_pages(const std::vector<config_page>& pages);
    void continue_fetch(time_point now, const std::optional<node_id>& from, spread_commands& out);
    void install_fetched(spread_commands& out);
    void request_from_peer(time_point now, const node_id& peer, spread_commands& out);
    void request_from_any(time_point now, spread_commands& out);
    void request_from_platform(time_point now, spread_commands& out);
    void schedule_platform_calls(time_point now, spread_commands& out);
    void platform_call_succeeded(spread_commands& out);
    void set_platform_lost(bool lost, spread_commands& out);
    void choose_watchers(spread_commands& out);
    [[nodiscard]] bool behind() const;
    bool consume_reply_budget(time_point now, std::size_t bytes);

    spread_settings m_settings;
    random_source m_random;
    std::optional<installed_configuration> m_installed;
    std::map<std::string, std::string> m_pages;     ///< of the installed tables, by digest
    std::deque<recent_revision> m_recent_revisions; ///< newest last
    std::optional<pending_fetch> m_fetch;
    config_revision m_highest_known;
    std::map<node_id, config_digest> m_peer_digests;    ///< the last digest received from each peer
    std::map<std::uint32_t, bool> m_peer_platform_lost; ///< by wire_key of the node
    std::vector<node_id> m_domain_nodes;
    bool m_watching = false;
    bool m_watch_active = false; ///< the watch was started and has not failed
    bool m_platform_lost = false;
    std::optional<time_point> m_start_time; ///< of the first tick
    bool m_older_head_reported = false;     ///< reported once until a newer head is read
    bool m_request_pending = false;         ///< a peer has until m_request_deadline to reply
    std::size_t m_failed_requests = 0; ///< consecutive requests to peers without a useful reply
    time_point m_request_deadline{};
    bool m_call_pending = false; ///< a call on the platform has not returned yet
    time_point m_next_call{};
    time_point m_next_check{};
    duration m_backoff{0};
    std::optional<time_point> m_failing_since;
    double m_reply_tokens = 0.0; ///< bytes that may be sent to peers now
    time_point m_last_refill{};
};

} // namespace jaynotch

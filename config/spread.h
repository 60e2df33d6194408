// How an accepted configuration reaches this node and is put into force: the decision core.
//
//   spread_core core{settings, random_source{seed}};
//   run(core.tick(now));                       // about ten times a second
//   run(core.peer_message_received(now, message));        // from membership_core
//   run(core.platform_head_received(now, entry_value)); // from a get or a watch
//
// The revision installed only rises. Which of the nodes ask the platform, and which their peers,
// is explained in spread.cc.
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
    std::size_t watchers_per_domain = 2; ///< nodes of each failure domain that watch the head
    std::size_t watcher_candidates =
        4; ///< nodes of a domain that may become watchers while others fail
    duration peer_timeout = std::chrono::milliseconds{400};         ///< for a peer's reply
    duration initial_backoff = std::chrono::milliseconds{200};      ///< between calls that fail
    duration max_watcher_backoff = std::chrono::milliseconds{1500}; ///< of watchers
    duration max_other_backoff = std::chrono::seconds{20};          ///< of nodes that don't watch
    duration platform_lost_after =
        std::chrono::seconds{2}; ///< failing calls before the platform is lost
    duration check_interval = std::chrono::seconds{10}; ///< a watcher reads the head that often
    double reply_bytes_s = 1'000'000.0;                 ///< bytes a second for peers that ask
};

/// What stands in force, with what was needed to put it there.
struct installed_configuration {
    std::shared_ptr<const configuration> tables;
    head_record head;
    std::string head_for_peers; ///< the whole head as peers get it, with a short history
};

// Commands.
struct watch_head {}; ///< read the head, then watch it, until stop_watch
struct stop_watch {};
struct read_head {};
struct read_pages {
    std::vector<std::string> digests;
};
struct send_to_peer {
    node_id to;
    config_body body;
};
/// A new configuration is in force; tell the peers and the rest of the daemon.
struct install {
    std::shared_ptr<const configuration> tables;
};
/// The revision installed, and whether the platform is lost, as peers should hear it.
struct announce {
    config_digest digest;
};
/// Something that an operator should see.
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
    /// Live members of this node's failure domain, itself included, sorted.
    spread_commands domain_changed(time_point now, std::vector<node_id> live);
    spread_commands peer_message_received(time_point now, const config_message& message);
    spread_commands peer_confirmation_received(time_point now, const confirmation& confirmed);
    /// The value of the head key; empty if there is none.
    spread_commands platform_head_received(time_point now, const std::optional<std::string>& value);
    spread_commands platform_pages_received(time_point now, const std::vector<config_page>& pages);
    /// This node itself has swapped the head: it knows the pages that are new.
    spread_commands accepted(time_point now, const std::string& head,
                             const std::vector<config_page>& pages);
    /// A call failed. A watcher is to be told this for its watch too.
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
        std::set<std::string> missing;
        std::map<std::string, std::string> received;
    };

    /// Pages of a revision that was installed here, to work out what another node lacks.
    struct recent_revision {
        head_record head;                 ///< with no more history than its own entry
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
    std::map<std::string, std::string> m_pages;     ///< of what is installed, by digest
    std::deque<recent_revision> m_recent_revisions; ///< newest last
    std::optional<pending_fetch> m_fetch;
    config_revision m_highest_known;
    std::map<node_id, config_digest> m_peer_digests; ///< of our domain and whoever spoke to us
    std::map<std::uint32_t, bool> m_peer_platform_lost;
    std::vector<node_id> m_domain_nodes;
    bool m_watching = false;
    bool m_watch_active = false; ///< the watch was begun and has not failed
    bool m_platform_lost = false;
    std::optional<time_point> m_start_time;
    bool m_older_head_reported = false; ///< that the platform lags behind us, once
    bool m_request_pending = false; ///< a peer was asked and `m_request_deadline` is its deadline
    std::size_t m_failed_requests = 0; ///< peers in a row that did not help
    time_point m_request_deadline{};
    bool m_call_pending = false; ///< a platform call of ours is under way
    time_point m_next_call{};
    time_point m_next_check{};
    duration m_backoff{0};
    std::optional<time_point> m_failing_since;
    double m_reply_tokens = 0.0;
    time_point m_last_refill{};
};

} // namespace jaynotch

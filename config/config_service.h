// Connects the acceptance and propagation of configurations with the key-value service, the peers
// and timers. See config.h.
#pragma once

#include "base/base.h"
#include "config/accept.h"
#include "config/head.h"
#include "peers/peers.h"
#include "services/services.h"
#include "tables/merge.h"
#include "tables/pages.h"
#include "tables/parse.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

struct config_settings {
    std::string deployment;
    std::string key_prefix; ///< empty: "/jaynotch/<deployment>/"
    std::uint64_t random_seed = 0;
};

/// The revision that one node has installed.
struct node_confirmation {
    node_id node;
    failure_domain_id failure_domain;
    member_state state = member_state::alive;
    config_revision revision;   ///< 0 if the node has not confirmed any yet
    bool platform_lost = false; ///< the key-value service does not answer that node
};

/// State of the configuration on this node, for operators.
struct config_status {
    config_revision installed;
    config_revision head;       ///< highest revision known, from a peer or the key-value service
    bool ready = false;         ///< a configuration is installed
    bool watching = false;      ///< this node is one of the watchers of its failure domain
    bool platform_lost = false; ///< the key-value service does not answer this node
    std::string last_error;
};

class config_service {
public:
    /// `kv` and `peers` must outlive the service.
    static result<std::unique_ptr<config_service>> create(boost::asio::io_context& io,
                                                          config_settings settings, kv_service& kv,
                                                          peer_service& peers);
    config_service(const config_service&) = delete;
    config_service& operator=(const config_service&) = delete;
    ~config_service();

    /// Runs until stop().
    boost::asio::awaitable<void> run();
    void stop();

    /// Checks, merges and accepts an edit. Errors: invalid_argument, invalid_table, conflict (names
    /// the other author, the time and the revision, and what to do), too_large, unavailable,
    /// unknown_outcome (apply again with the same change_id).
    boost::asio::awaitable<result<accepted_change>> apply(const change_request& request);
    /// Accepts the tables of an earlier revision as a new revision.
    boost::asio::awaitable<result<accepted_change>>
    roll_back(config_revision to, std::string author, std::string change_id);
    /// Accepted changes that are still kept, newest first. While the key-value service does not
    /// answer, those that the installed head lists: only the latest two if it came from a peer.
    boost::asio::awaitable<result<std::vector<history_entry>>> history();
    /// The tables of a revision that is still kept. Errors: not_found if it is not kept.
    boost::asio::awaitable<result<configuration>> at(config_revision revision);

    /// The installed configuration; null until the first one is installed.
    [[nodiscard]] std::shared_ptr<const configuration> current() const;
    [[nodiscard]] config_status status() const;
    /// Every member, this node included, with the revision that it last confirmed. Also queries
    /// live members whose confirmation is older than this node's revision.
    [[nodiscard]] std::vector<node_confirmation> node_confirmations() const;

    /// Sets the handler that is called after each installation; its revisions strictly increase.
    void on_installed(std::function<void(std::shared_ptr<const configuration>)> handler);

private:
    class state;
    explicit config_service(std::shared_ptr<state> impl);
    std::shared_ptr<state> m_state;
};

} // namespace jaynotch

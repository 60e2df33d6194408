// The shell that drives the acceptance and spread of configurations with the key-value service and
// the peers. See config.h.
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

/// How far one node is.
struct node_confirmation {
    node_id node;
    failure_domain_id failure_domain;
    member_state state = member_state::alive;
    config_revision revision; ///< 0 if not heard yet
    bool platform_lost = false;
};

/// What an operator wants to know first.
struct config_status {
    config_revision installed;
    config_revision head;       ///< highest revision heard of, from anywhere
    bool ready = false;         ///< a configuration is installed
    bool watching = false;      ///< this node holds one of its domain's watches
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

    /// Checks, merges and accepts an edit. Errors: invalid_table, conflict (who, when, which
    /// revision, what to do), unavailable, unknown_outcome (ask again with the same change_id).
    boost::asio::awaitable<result<accepted_change>> apply(const change_request& request);
    /// Makes the tables of an earlier revision a new one.
    boost::asio::awaitable<result<accepted_change>>
    roll_back(config_revision to, std::string author, std::string change_id);
    /// Accepted changes that are still kept, newest first; from the key-value service, or from
    /// what is installed while that is down.
    boost::asio::awaitable<result<std::vector<history_entry>>> history();
    /// The tables as of a revision that is still kept.
    boost::asio::awaitable<result<configuration>> at(config_revision revision);

    /// What is in force here; null until the first one is installed.
    [[nodiscard]] std::shared_ptr<const configuration> current() const;
    [[nodiscard]] config_status status() const;
    /// Every member with the revision that it has installed, this node included.
    [[nodiscard]] std::vector<node_confirmation> node_confirmations() const;

    /// Called after each installation, with revisions that only rise.
    void on_installed(std::function<void(std::shared_ptr<const configuration>)> handler);

private:
    class state;
    explicit config_service(std::shared_ptr<state> impl);
    std::shared_ptr<state> m_state;
};

} // namespace jaynotch

// Finds out whether the platform's store is down for all nodes: a manager that can't renew its
// lease asks all other nodes whether they reach the store, and this node answers such questions.
// What a manager does with the result is decided in groups/election.h.
//
//   outage_inquiry inquiry{io, settings, kv, peers, {on_confirmed, on_outage_reported, manages}};
//   inquiry.start_round(domain);     // on_confirmed is called if no node reaches the store
//   inquiry.receive(from, message);  // a store_question or store_answer
//   inquiry.update_members();        // at each tick
#pragma once

#include "base/base.h"
#include "daemon/settings.h"
#include "peers/peers.h"
#include "peers/store_checks.h"
#include "services/services.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace jaynotch {

struct outage_hooks {
    /// All nodes asked have answered that they do not reach the store. The round started at
    /// `asked`.
    std::function<void(const failure_domain_id&, time_point asked)> on_confirmed;
    /// This node answers the domain's manager that it does not reach the store.
    std::function<void(const failure_domain_id&)> on_outage_reported;
    /// Whether this node itself manages the domain.
    std::function<bool(const failure_domain_id&)> manages;
};

class outage_inquiry : public std::enable_shared_from_this<outage_inquiry> {
public:
    /// `settings`, `kv` and `peers` must outlive it.
    outage_inquiry(boost::asio::io_context& io, const daemon_settings& settings, kv_service& kv,
                   peer_service& peers, outage_hooks hooks);

    /// Asks all other nodes whether they reach the store. Replaces the domain's previous round.
    void start_round(const failure_domain_id& domain);
    void receive(const node_id& from, const store_question& asked);
    void receive(const node_id& from, const store_answer& reply);
    /// Answers that the store is not reached, without a check. For a node that is stopping and will
    /// manage nothing any more, so that nothing depends on whether it reaches the store.
    void confirm_without_check(const node_id& from, const store_question& asked)
    {
        answer({from, asked}, false);
    }
    /// Updates the nodes whose answers are required from the current members.
    void update_members();
    /// Whether this node has recently reported an outage to a manager, which may therefore be
    /// managing without the store.
    [[nodiscard]] bool recently_reported_outage() const;

private:
    struct requester {
        node_id node;
        store_question question;
    };
    struct round {
        std::int64_t number = 0;
        time_point asked;
        std::set<node_id> unanswered; ///< nodes that have not confirmed the outage yet
        std::set<node_id> logged;     ///< the unanswered nodes that were last logged
    };

    void answer(const requester& to, bool reached);
    void begin_check();
    boost::asio::awaitable<void> call_store();
    boost::asio::awaitable<void> time_out(std::uint64_t check);
    void finish_check(std::uint64_t check, bool reached);

    boost::asio::io_context& m_io;
    const daemon_settings& m_settings;
    kv_service& m_kv;
    peer_service& m_peers;
    outage_hooks m_hooks;
    std::map<failure_domain_id, round> m_rounds;
    std::int64_t m_last_round = 0;
    /// Live nodes, and nodes that were live recently with the time at which they were found dead.
    std::map<node_id, std::optional<time_point>> m_nodes;
    std::optional<std::uint64_t> m_members_version; ///< version of the member list in m_nodes
    std::vector<requester> m_waiting_requesters;    ///< waiting for the result of the current check
    std::uint64_t m_check = 0;                      ///< number of the latest check
    bool m_checking = false;
    store_checks m_checks;
    time_point m_outage_reported_at; ///< when another node was last told of an outage
};

} // namespace jaynotch

// Whether the platform's store answers anybody: a manager that can't renew its lease asks all other
// nodes, and this node answers theirs (groups/election.h says what follows from it).
//
//   outage_inquiry inquiry{io, settings, kv, peers, {on_confirmed, on_outage_reported, manages}};
//   inquiry.ask(domain);                   // on_confirmed is called if nobody reaches the store
//   inquiry.take(from, question);          // or an answer
//   inquiry.update_members();                // each tick
#pragma once

#include "base/base.h"
#include "daemon/settings.h"
#include "peers/peers.h"
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
    /// No node reaches the store; the first of them was asked at `asked`.
    std::function<void(const failure_domain_id&, time_point asked)> on_confirmed;
    /// This node has told another that it does not, which manages the domain.
    std::function<void(const failure_domain_id&)> on_outage_reported;
    /// Whether this node itself manages the domain.
    std::function<bool(const failure_domain_id&)> manages;
};

class outage_inquiry : public std::enable_shared_from_this<outage_inquiry> {
public:
    /// `settings`, `kv` and `peers` must outlive it.
    outage_inquiry(boost::asio::io_context& io, const daemon_settings& settings, kv_service& kv,
                   peer_service& peers, outage_hooks hooks);

    void start_round(const failure_domain_id& domain);
    void receive(const node_id& from, const store_question& asked);
    void receive(const node_id& from, const store_answer& told);
    /// Answers that the store is not reached, whatever it does: this node manages nothing any more.
    void confirm_without_check(const node_id& from, const store_question& asked)
    {
        answer({from, asked}, false);
    }
    void update_members();
    /// Whether this node has conceded an outage lately, so that another may manage without store.
    [[nodiscard]] bool recently_reported_outage() const;

private:
    struct requester {
        node_id node;
        store_question question;
    };
    struct round {
        std::int64_t number = 0;
        time_point asked;
        std::set<node_id> unanswered; ///< have not answered yet
        std::set<node_id> logged;     ///< of the last round that was logged
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
    /// Nodes that live, and those that lately did with the time at which they ceased to.
    std::map<node_id, std::optional<time_point>> m_nodes;
    std::optional<std::uint64_t> m_members_version; ///< version of the members in m_nodes
    std::vector<requester> m_waiting_requesters;    ///< wait for the check under way
    std::uint64_t m_check = 0;                      ///< the last one begun
    bool m_checking = false;
    time_point m_failed_at;          ///< when the store was last found not to answer
    time_point m_outage_reported_at; ///< when another node was last told so
};

} // namespace jaynotch

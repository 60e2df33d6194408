// Where daemons leave their peer addresses for one another, so that a newcomer finds a first peer.
//
// One key a node under a lease of an hour, renewed each twenty minutes: three calls an hour and
// node, and the key of a node that was replaced goes by itself.
#pragma once

#include "base/base.h"
#include "services/services.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

class node_registry {
public:
    node_registry(kv_service& kv, std::string key_prefix, node_id node, std::string address);

    /// Writes this node's key, or renews its lease.
    boost::asio::awaitable<result<void>> renew();
    /// Addresses of all nodes but this one.
    boost::asio::awaitable<result<std::vector<std::string>>> peer_addresses();

    static constexpr duration renew_interval = std::chrono::minutes{20};

private:
    kv_service& m_kv;
    std::string m_prefix;
    std::string m_key;
    std::string m_address;
    std::optional<lease_id> m_lease;
};

} // namespace jaynotch

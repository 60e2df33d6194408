// Registry of the nodes' peer addresses in the key-value service, where a new node finds its first
// peer.
//
// Each node has one key under a lease of an hour, which it renews every twenty minutes: three calls
// per node and hour. The key of a node that was replaced expires with its lease.
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

    /// Renews the lease of this node's key; writes the key if it has no lease or the lease expired.
    boost::asio::awaitable<result<void>> renew();
    /// Addresses of all registered nodes except this one.
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

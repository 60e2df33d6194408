// Detects which servers of plain services are leaving. A server announces this by answering
// GET /healthz with 503 or with a jaynotch-leaving header. Each server is probed by two daemons,
// chosen by rendezvous hashing over the live ones, which inform the others through the peers.
//
//   plain_watch watch{io, servers, self, hooks};
//   watch.install(tables);
//   watch.start();
//   watch.reported("10.2.0.4:8000");      // by a peer, the VM list or an engine
//   watch.announced("10.2.0.4:8000");     // by a header of the server's answer to a request
#pragma once

#include "base/base.h"
#include "daemon/upstreams.h"
#include "tables/tables.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace jaynotch {

struct plain_watch_hooks {
    /// The names of the live daemons, including this node.
    std::function<std::vector<std::string>()> live_nodes;
    /// A server has started to leave, or is back.
    std::function<void(const std::string& server, bool leaving)> on_leaving;
    /// Publishes to the peers that a server is leaving. Repeated while the server keeps leaving.
    std::function<void(const std::string& server)> publish;
};

class plain_watch {
public:
    plain_watch(boost::asio::io_context& io, upstreams& servers, node_id self,
                plain_watch_hooks hooks);
    ~plain_watch();
    plain_watch(const plain_watch&) = delete;
    plain_watch& operator=(const plain_watch&) = delete;

    void start();
    /// Ends the loop of probes; running probes end by themselves.
    void stop();
    /// Watches the servers of `tables` from now on; what is known of the ones that stay is kept.
    void install(const configuration& tables);
    /// A server has announced to this node that it is leaving; the peers are informed.
    void announced(const std::string& server);
    /// A peer, the VM list or an engine's report says that a server is leaving.
    void reported(const std::string& server);
    [[nodiscard]] bool leaving(const std::string& server) const;
    [[nodiscard]] std::vector<std::string> servers() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch

// Watches the plain services' servers for their own word that they are leaving (503 from
// GET /healthz): two daemons look at each server, chosen by rendezvous hashing over the live ones,
// and tell the rest through the peers.
//
//   plain_watch watch{io, self, hooks};
//   watch.install(tables);
//   watch.start();
//   watch.heard("10.2.0.4:8000");     // a peer, the VM list or an answer's header says so
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
    /// The servers that take part now, this node included.
    std::function<std::vector<std::string>()> live_nodes;
    /// A server began or ceased to leave.
    std::function<void(const std::string& server, bool leaving)> on_leaving;
    /// To be told to the peers; again while it lasts.
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
    /// Ends the loops; calls under way end by themselves.
    void stop();
    void install(const configuration& tables);
    /// A server said of itself, here, that it is leaving.
    void announced(const std::string& server);
    /// Others say that a server is leaving.
    void reported(const std::string& server);
    [[nodiscard]] bool leaving(const std::string& server) const;
    [[nodiscard]] std::vector<std::string> servers() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch

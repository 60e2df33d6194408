// Delivers the documents of the platform's store to this node: from the store itself, and from its
// peers while the node does not watch the store or the store refuses it.
//
//   registry_feed feed{io, settings, kv, peers, hooks};
//   feed.start();
//   feed.tick();                   // a few times a second
//   feed.notice_received(notice);  // a peer has gossiped that a document changed
//
// Each hook is called at most once for each revision of a document, with rising revisions.
#pragma once

#include "base/base.h"
#include "daemon/settings.h"
#include "outside/outside.h"
#include "peers/peers.h"
#include "services/services.h"
#include "tables/tables.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace jaynotch {

struct registry_hooks {
    std::function<void(std::shared_ptr<const configuration>)> on_configuration;
    std::function<void(const runner&)> on_runner;
    std::function<void(const vm_id&)> on_runner_removed;
    /// Operators have asked to evacuate a failure domain, or withdrawn it.
    std::function<void(const failure_domain_id&, bool evacuated)> on_evacuation;
    /// Any other key was written (`exists`) or deleted.
    std::function<void(const kv_entry&, bool exists)> on_key;
    /// `current`: the store answers this node and all its documents have been read. `rank`: the
    /// node's rank among the followers of the store in its failure domain.
    std::function<void(bool current, std::size_t rank)> on_current_changed;
    /// All changes that arrived together have been delivered.
    std::function<void()> on_batch;
};

class registry_feed {
public:
    /// `settings`, `kv` and `peers` must outlive the feed.
    registry_feed(boost::asio::io_context& io, const daemon_settings& settings, kv_service& kv,
                  peer_service& peers, registry_hooks hooks);
    ~registry_feed();
    registry_feed(const registry_feed&) = delete;
    registry_feed& operator=(const registry_feed&) = delete;

    void start();
    void stop();
    void tick();
    void notice_received(const key_notice& notice);
    /// Whether the store answers this node and all its documents have been read.
    [[nodiscard]] bool current() const;
    /// Whether the newest configuration is one that this node can't read. An earlier one is in
    /// force then, or none.
    [[nodiscard]] bool configuration_unreadable() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch

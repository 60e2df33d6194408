// The documents of the platform's store as this node gets them: from the store itself, and from its
// peers while the store turns it away.
//
//   registry_feed feed{io, settings, kv, peers, hooks};
//   feed.start();
//   feed.tick();              // a few times a second
//   feed.noticed(notice);     // a rumor
//
// Each document is handed on once for each revision, and revisions only rise.
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
    /// Any other key, and whether it is there.
    std::function<void(const kv_entry&, bool there)> on_key;
    /// Whether the store answers this node and all it holds has been read; and the node's place
    /// among the followers of its failure domain.
    std::function<void(bool current, std::size_t rank)> on_current_changed;
    /// Everything that came at once has been handed on.
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
    void noticed(const key_notice& notice);
    [[nodiscard]] bool current() const;

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch

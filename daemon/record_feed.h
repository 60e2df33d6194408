// The fabric domains' assignment records, as this node gets them: from the platform if it is one of
// its failure domain's watchers, and from its peers in any case.
//
//   record_feed feed{io, settings, kv, peers, [&](const kv_entry& record) { ... }};
//   feed.start();
//   feed.tick();                   // a few times a second
//   feed.noticed(notice);          // a rumor
//   feed.written(record);          // this node's manager wrote one
//
// Each record is handed on once for each revision, and revisions only rise.
#pragma once

#include "base/base.h"
#include "daemon/settings.h"
#include "peers/key_relay.h"
#include "peers/peers.h"
#include "services/services.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>

namespace jaynotch {

class record_feed {
public:
    /// `settings`, `kv` and `peers` must outlive the feed.
    record_feed(boost::asio::io_context& io, const daemon_settings& settings, kv_service& kv,
                peer_service& peers, std::function<void(const kv_entry&)> on_record);
    ~record_feed();
    record_feed(const record_feed&) = delete;
    record_feed& operator=(const record_feed&) = delete;

    void start();
    void stop();
    void tick();
    void noticed(const key_notice& notice);
    void record_written(const kv_entry& record);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch

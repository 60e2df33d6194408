// Delivers the assignment records of the fabric domains to this node: from the platform's key-value
// service if the node is one of its failure domain's watchers, and from its peers in any case.
//
//   record_feed feed{io, settings, kv, peers, [&](const kv_entry& record) { ... }};
//   feed.start();
//   feed.tick();                   // a few times a second
//   feed.notice_received(notice);  // a peer has gossiped that a record changed
//   feed.record_written(record);   // this node's manager wrote a record
//
// `on_record` is called at most once for each revision of a record, with rising revisions.
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
    void notice_received(const key_notice& notice);
    void record_written(const kv_entry& record);

private:
    class impl;
    std::shared_ptr<impl> m_impl;
};

} // namespace jaynotch

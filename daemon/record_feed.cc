#include "daemon/record_feed.h"

#include "daemon/key_relay_driver.h"
#include "groups/groups.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

// A watcher reads all records once and then watches them. After any error it reads all of them
// again, so it misses no change however the platform fails. Which nodes watch, and how the others
// get the changes, is decided in peers/key_relay.cc.

namespace jaynotch {

namespace {

namespace net = boost::asio;

constexpr duration retry_interval = std::chrono::seconds{1};
/// Limits how long a node keeps its watch after it has ceased to be a watcher.
constexpr duration max_watch_wait = std::chrono::seconds{10};

} // namespace

class record_feed::impl : public std::enable_shared_from_this<impl> {
public:
    impl(net::io_context& context, const daemon_settings& chosen, kv_service& service,
         peer_service& others, std::function<void(const kv_entry&)> on_record)
        : io{context}, settings{chosen}, kv{service}, on_record_read{std::move(on_record)},
          relay{chosen,
                others,
                "records",
                {[this](const kv_entry& entry) { handle_entry(entry); },
                 [this] { m_pause.cancel(); }}},
          prefix{groups::record_prefix(chosen.deployment)}, m_pause{context}
    {}

    net::awaitable<void> run()
    {
        const auto self = shared_from_this();
        while (!stopped) {
            if (relay.watching()) {
                co_await read_and_watch();
            }
            if (!stopped) {
                boost::system::error_code woken;
                m_pause.expires_after(retry_interval);
                co_await m_pause.async_wait(net::redirect_error(net::use_awaitable, woken));
            }
        }
    }

    void stop()
    {
        stopped = true;
        m_pause.cancel();
    }

    void pass_to_relay(const kv_entry& record)
    {
        if (groups::is_record_key(settings.deployment, record.key))
            relay.key_changed(record);
    }

    net::io_context& io;
    const daemon_settings& settings;
    kv_service& kv;
    std::function<void(const kv_entry&)> on_record_read;
    key_relay_driver relay;
    std::string prefix;
    bool stopped = false;

private:
    net::awaitable<void> read_and_watch()
    {
        const result<kv_range> read = co_await kv.get_prefix(prefix);
        if (!read || stopped)
            co_return;
        for (const kv_entry& record : read.value().entries)
            pass_to_relay(record);
        relay.platform_read();
        result<kv_watch> watch = co_await kv.watch(prefix, read.value().revision + 1);
        while (watch && !stopped && relay.watching()) {
            const result<kv_watch_batch> batch = co_await watch.value().next(max_watch_wait);
            if (!batch || stopped)
                break;
            for (const kv_event& event : batch.value().events) {
                if (!event.deleted)
                    pass_to_relay(event.entry);
            }
        }
    }

    void handle_entry(const kv_entry& entry)
    {
        // A peer may relay any key; keys that are not records are ignored.
        if (groups::is_record_key(settings.deployment, entry.key))
            on_record_read(entry);
    }

    timer m_pause;
};

record_feed::record_feed(net::io_context& io, const daemon_settings& settings, kv_service& kv,
                         peer_service& peers, std::function<void(const kv_entry&)> on_record)
    : m_impl{std::make_shared<impl>(io, settings, kv, peers, std::move(on_record))}
{
    peers.on_keys([weak = std::weak_ptr{m_impl}](const key_message& message) {
        if (const auto self = weak.lock(); self && !self->stopped)
            self->relay.message_received(message);
    });
}

record_feed::~record_feed()
{
    stop();
}

void record_feed::start()
{
    net::co_spawn(m_impl->io, m_impl->run(), net::detached);
}

void record_feed::stop()
{
    m_impl->stop();
}

void record_feed::tick()
{
    m_impl->relay.tick();
}

void record_feed::notice_received(const key_notice& notice)
{
    m_impl->relay.notice_received(notice);
}

void record_feed::record_written(const kv_entry& record)
{
    m_impl->pass_to_relay(record);
}

} // namespace jaynotch

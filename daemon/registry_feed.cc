#include "daemon/registry_feed.h"

#include "daemon/key_relay_driver.h"
#include "platform/platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

// Two nodes of a failure domain watch and tell the others at once what is new, and how long ago the
// store answered them; others stand in while neither is fresh (peers/store_followers.h). A watch
// that waits is a call, so the calls grow with the failure domains and not with the nodes.
//
// The feed reads everything once and then watches. After an error it goes on watching from the last
// revision seen; only if the store has dropped that history, or this node has not watched for long,
// does it read everything anew and work out what is gone. What it learns it also tells its peers
// (peers/key_relay.h), so that a node that the store turns away keeps up with them.
//
// Entries that lapsed while the store was away. Runners can't renew their leases then; those that
// live are back within about two seconds of the store's return. Entries that vanish in that time
// are therefore kept a little longer, or the whole fleet would be dropped for nothing.

namespace jaynotch {

namespace {

namespace net = boost::asio;

constexpr duration shortest_pause = std::chrono::milliseconds{50};
constexpr duration longest_pause = std::chrono::milliseconds{800};
constexpr duration watch_wait = std::chrono::seconds{10};
/// Between two pushes of a watcher that has nothing new.
constexpr duration push_interval = std::chrono::milliseconds{400};
/// Each call costs the store the same whatever it brings, so changes gather, for a time that is
/// short beside the time in which one must be in force.
constexpr watch_pace first_pace{.gather = std::chrono::milliseconds{120}};
/// While a watcher that ranks before is fresh, the next one only has to be ready to take over.
constexpr watch_pace second_pace{.gather = std::chrono::milliseconds{500}};
/// Of a watcher that only informs itself.
constexpr watch_pace own_pace{.gather = std::chrono::milliseconds{100}};
/// While a large fleet starts, no node knows yet who else is there to follow, and all entries
/// change.
constexpr watch_pace start_pace{.gather = std::chrono::milliseconds{100},
                                .gather_a_change = std::chrono::milliseconds{10},
                                .most_gather = std::chrono::milliseconds{800}};
constexpr duration start_span = std::chrono::seconds{6};
/// After this long without watching, reading everything costs less than what has changed since.
constexpr duration longest_gap = std::chrono::seconds{3};
/// For living runners to be back in the registry once the store answers again.
constexpr duration return_grace = std::chrono::milliseconds{2'200};
/// A store that failed for shorter has let no lease lapse: runners write each second or so.
constexpr duration outage = std::chrono::milliseconds{1'500};

std::int64_t in_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::int64_t milliseconds_since(time_point then)
{
    return in_milliseconds(runtime_clock::now() - then);
}

} // namespace

class registry_feed::impl : public std::enable_shared_from_this<impl> {
public:
    impl(net::io_context& context, const daemon_settings& chosen, kv_service& service,
         peer_service& others, registry_hooks given)
        : io{context}, kv{service}, hooks{std::move(given)}, relay{chosen, others, "documents",
                                                                   relay_hooks()},
          m_pause{context}, m_shares_watches{chosen.mechanisms.has(mechanism::shared_watches)},
          m_first_start{chosen.first_start}, m_followers{{.self = chosen.node, .name = "documents"}}
    {}

    net::awaitable<void> run()
    {
        const auto self = shared_from_this();
        duration pause = shortest_pause;
        while (!stopped) {
            bool worked = true;
            if (should_watch()) {
                worked = co_await read_or_watch();
            }
            if (stopped)
                break;
            pause = worked ? shortest_pause : std::min(pause * 2, longest_pause);
            boost::system::error_code woken;
            m_pause.expires_after(pause);
            co_await m_pause.async_wait(net::redirect_error(net::use_awaitable, woken));
        }
    }

    void stop()
    {
        stopped = true;
        m_pause.cancel();
    }

    void tick()
    {
        relay.tick();
        kv.set_watch_pace(pace());
        drop_overdue();
        end_batch();
        if (current && runtime_clock::now() - m_pushed >= push_interval)
            push();
    }

    void end_batch()
    {
        if (std::exchange(m_news, false))
            hooks.on_batch();
    }

    net::io_context& io;
    kv_service& kv;
    registry_hooks hooks;
    key_relay_driver relay;
    bool stopped = false;
    bool current = false;

private:
    key_relay_hooks relay_hooks()
    {
        key_relay_hooks given;
        given.on_key = [this](const kv_entry& entry) { take(entry); };
        given.on_watch = [this] { m_pause.cancel(); };
        given.on_fresh = [this](const node_id& from, duration store_age) {
            m_followers.told(from, store_age, runtime_clock::now());
            if (store_age < outage)
                regained();
        };
        given.on_neighbours = [this](const std::vector<node_id>& nodes) {
            m_followers.members_changed(nodes);
            hooks.on_current(current, m_followers.rank());
        };
        return given;
    }

    [[nodiscard]] watch_pace pace() const
    {
        const time_point now = runtime_clock::now();
        const bool relied_upon = m_followers.relied_upon();
        if (m_first_start && !relied_upon && now - m_started < start_span)
            return start_pace;
        if (!relied_upon)
            return own_pace;
        return m_followers.first_fresh(now) ? first_pace : second_pace;
    }

    [[nodiscard]] bool should_watch()
    {
        return !m_read_once || !m_shares_watches || m_followers.due(runtime_clock::now());
    }

    void push()
    {
        m_pushed = runtime_clock::now();
        if (const std::optional<duration> age = m_followers.store_age(m_pushed))
            relay.push(*age);
    }

    /// The store has answered, and what it said has been learned.
    void answered()
    {
        m_watched = runtime_clock::now();
        m_followers.answered(m_watched);
    }

    /// True if the store answered.
    net::awaitable<bool> read_or_watch()
    {
        bool fine = true;
        if (m_revision == 0 || runtime_clock::now() - m_watched > longest_gap) {
            fine = co_await read_all();
        }
        if (fine && !stopped && should_watch()) {
            fine = co_await watch_on();
        }
        co_return fine;
    }

    net::awaitable<bool> read_all()
    {
        const time_point asked = runtime_clock::now();
        const result<kv_range> read =
            co_await kv.get_prefix(std::string{platform::watched_prefix()});
        if (stopped)
            co_return false;
        if (!read) {
            lost(read.error());
            co_return false;
        }
        log_event(log_level::info, "store_read",
                  {{"entries", read.value().entries.size()},
                   {"revision", read.value().revision},
                   {"took_ms", milliseconds_since(asked)}});
        regained();
        std::set<std::string> there;
        for (const kv_entry& entry : read.value().entries) {
            there.insert(entry.key);
            relay.read(entry);
        }
        for (const auto& [key, held] : std::map{relay.keys()}) {
            if (!held.value.empty() && !there.contains(key) &&
                held.revision < read.value().revision)
                relay.read(gone(key, read.value().revision));
        }
        relay.stop_pushing(); // the neighbours compare before they count on the next push
        m_revision = read.value().revision;
        m_read_once = true;
        answered();
        set_current(true);
        end_batch();
        push();
        if (!should_watch())
            hand_over();
        co_return true;
    }

    net::awaitable<bool> watch_on()
    {
        result<kv_watch> watch =
            co_await kv.watch(std::string{platform::watched_prefix()}, m_revision + 1);
        if (!watch) {
            lost(watch.error());
            co_return false;
        }
        const time_point begun = runtime_clock::now();
        time_point answered_last = begun;
        while (!stopped) {
            const result<kv_watch_batch> batch = co_await watch.value().next(watch_wait);
            if (stopped)
                co_return false;
            if (!batch) {
                log_event(log_level::info, "watch_ended",
                          {{"reason", batch.error().message},
                           {"revision", m_revision},
                           {"silent_ms", milliseconds_since(answered_last)}});
                if (batch.error().kind == error_kind::not_found)
                    m_revision = 0; // that history is gone: read everything anew
                else
                    lost(batch.error());
                // One that ends again and again soon after its first answer must not be begun anew
                // at once.
                co_return m_revision == 0 || runtime_clock::now() - begun >= longest_pause;
            }
            if (batch.value().revision == 0)
                continue; // nothing came from the store yet
            answered_last = runtime_clock::now();
            regained();
            for (const kv_event& event : batch.value().events) {
                if (event.deleted)
                    relay.learned(gone(event.entry.key, event.entry.mod_revision));
                else
                    relay.learned(event.entry);
            }
            m_revision = std::max(m_revision, batch.value().revision);
            answered();
            set_current(true);
            end_batch();
            push();
            if (!should_watch()) {
                hand_over();
                co_return true;
            }
        }
        co_return false;
    }

    /// Other watchers tell from now on.
    void hand_over()
    {
        relay.stop_pushing();
        set_current(false);
    }

    /// An empty value stands for a key that is gone: no document is empty.
    static kv_entry gone(const std::string& key, std::int64_t revision)
    {
        kv_entry made;
        made.key = key;
        made.mod_revision = revision;
        return made;
    }

    void lost(const error& why)
    {
        if (!m_lost_since) {
            m_lost_since = runtime_clock::now();
            log_event(log_level::warning, "store_lost",
                      {{"reason", why.message}, {"revision", m_revision}});
        }
        m_followers.lost(runtime_clock::now());
        set_current(false);
    }

    void regained()
    {
        if (!m_lost_since)
            return;
        const time_point now = runtime_clock::now();
        const duration away = now - *m_lost_since;
        m_lost_since.reset();
        if (away >= outage)
            m_returning_until = now + return_grace;
        log_event(log_level::info, "store_regained",
                  {{"away_ms", in_milliseconds(away)}, {"revision", m_revision}});
    }

    void set_current(bool now)
    {
        if (current == now)
            return;
        current = now;
        hooks.on_current(now, m_followers.rank());
    }

    void take(const kv_entry& entry)
    {
        m_news = true;
        const bool there = !entry.value.empty();
        if (platform::is_runner(entry.key))
            take_runner(entry, there);
        else if (platform::is_configuration(entry.key))
            take_configuration(entry, there);
        else
            hooks.on_key(entry, there);
    }

    void take_runner(const kv_entry& entry, bool there)
    {
        const vm_id id = platform::runner_id(entry.key);
        m_missing.erase(id);
        if (!there) {
            const time_point now = runtime_clock::now();
            if (now < m_returning_until)
                m_missing[id] = m_returning_until;
            else
                hooks.on_runner_gone(id);
            return;
        }
        result<runner> read = platform::parse_runner(entry);
        if (read) {
            hooks.on_runner(read.value());
            return;
        }
        log_event(log_level::warning, "registry_entry_unreadable",
                  {{"key", entry.key}, {"reason", read.error().message}});
        hooks.on_runner_gone(id);
    }

    void take_configuration(const kv_entry& entry, bool there)
    {
        if (!there)
            return; // the last one stays in force
        result<configuration> read = platform::parse_configuration(entry);
        if (!read) {
            log_event(log_level::error, "configuration_unreadable",
                      {{"revision", entry.mod_revision}, {"reason", read.error().message}});
            return;
        }
        if (m_installed && read.value().revision < *m_installed)
            return;
        m_installed = read.value().revision;
        hooks.on_configuration(std::make_shared<const configuration>(std::move(read).value()));
    }

    void drop_overdue()
    {
        const time_point now = runtime_clock::now();
        for (auto row = m_missing.begin(); row != m_missing.end();) {
            if (now < row->second) {
                ++row;
                continue;
            }
            hooks.on_runner_gone(row->first);
            m_news = true;
            row = m_missing.erase(row);
        }
    }

    timer m_pause;
    bool m_shares_watches; ///< two nodes of a failure domain watch for all
    bool m_first_start;    ///< of the whole fleet
    time_point m_started = runtime_clock::now();
    store_followers m_followers;
    time_point m_pushed;
    time_point m_watched;        ///< when the store answered this node last
    std::int64_t m_revision = 0; ///< seen last; 0: everything has to be read
    bool m_read_once = false;
    bool m_news = false;
    std::optional<time_point> m_lost_since;
    time_point m_returning_until;
    std::map<vm_id, time_point> m_missing; ///< entries that vanished as the store came back
    std::optional<config_revision> m_installed;
};

registry_feed::registry_feed(net::io_context& io, const daemon_settings& settings, kv_service& kv,
                             peer_service& peers, registry_hooks hooks)
    : m_impl{std::make_shared<impl>(io, settings, kv, peers, std::move(hooks))}
{
    peers.on_keys([weak = std::weak_ptr{m_impl}](const key_message& message) {
        const auto self = weak.lock();
        if (!self || self->stopped)
            return;
        self->relay.heard(message);
        self->end_batch();
    });
}

registry_feed::~registry_feed()
{
    stop();
}

void registry_feed::start()
{
    net::co_spawn(m_impl->io, m_impl->run(), net::detached);
}

void registry_feed::stop()
{
    m_impl->stop();
}

void registry_feed::tick()
{
    m_impl->tick();
}

void registry_feed::noticed(const key_notice& notice)
{
    m_impl->relay.noticed(notice);
}

bool registry_feed::current() const
{
    return m_impl->current;
}

} // namespace jaynotch

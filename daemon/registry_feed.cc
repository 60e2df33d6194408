#include "daemon/registry_feed.h"

#include "daemon/key_relay_driver.h"
#include "platform/platform.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <set>

// Two nodes of each failure domain, the followers, watch the store. They push changes to the other
// nodes of the domain at once, together with the time since the store last answered. Other nodes
// stand in while the answers of both followers are too old (peers/store_followers.h). Each wait on
// a watch is a call to the store, so the number of calls grows with the number of failure domains
// and not with the number of nodes.
//
// The feed reads all documents once and then watches them. After an error it continues to watch
// from the last revision received. It reads everything again, and works out which documents were
// deleted, only if the store has dropped the history since that revision or if this node has not
// watched for long. Changes also go to the peers (peers/key_relay.h), so that a node that the store
// refuses stays up to date.
//
// A node that starts has everything from the store or from a peer, whichever is first. The order in
// which nodes read is decided in peers/reading_turns.h. A reading is not given up because it takes
// long: the store may have the calls of many nodes to answer, also those that were given up, and a
// new call would be the last of them. It is given up when the store has answered a later call.
//
// Runners can't renew the leases of their entries while the store is down, so entries expire.
// Runners that are alive register again within about two seconds after the store recovers. Entries
// that are deleted in that time are therefore kept a little longer; otherwise the whole fleet would
// be removed although it works. Calls of this node that fail while the store answers others are no
// outage (peers/store_outage.h): a runner whose entry is gone then has left.
//
// The store may also come back from a copy that is some seconds old. Operators and runners then
// write again what the copy lacks. Until they had the time to, a document in the copy that differs
// from the one known here is probably older, so it is not used, nor is its absence believed; what
// is written from then on is used at once. After that time everything is read again and used as it
// is. A runner's word that it leaves is used in any case. An older version of the configuration
// than the installed one is never used. Keys that nodes write are used as the copy has them.

namespace jaynotch {

namespace {

namespace net = boost::asio;

constexpr duration min_retry_interval = std::chrono::milliseconds{50};
constexpr duration max_retry_interval = std::chrono::milliseconds{800};
constexpr double min_jitter = 0.5; ///< least fraction of a retry interval that is waited
/// After this long without an answer a reading is checked: a later call that the store answers at
/// once shows that it is lost.
constexpr duration read_check_interval = std::chrono::seconds{1};
constexpr duration watch_wait = std::chrono::seconds{10};
/// Time between two pushes of a follower that has no changes to send.
constexpr duration push_interval = std::chrono::milliseconds{400};
/// Each call costs the store the same whatever it returns, so changes are collected into batches.
/// The delay is short compared with the time within which a change must be in force.
constexpr watch_pace first_follower_pace{.batch_delay = std::chrono::milliseconds{120}};
/// While a follower that ranks before this one is up to date, this one only has to be ready to take
/// over, so it may wait longer.
constexpr watch_pace other_follower_pace{.batch_delay = std::chrono::milliseconds{500}};
/// For a watcher on which no other node depends.
constexpr watch_pace non_follower_pace{.batch_delay = std::chrono::milliseconds{100}};
/// While a large fleet starts, no node knows its peers yet, so all of them watch, and all entries
/// change.
constexpr watch_pace start_pace{.batch_delay = std::chrono::milliseconds{100},
                                .batch_delay_per_change = std::chrono::milliseconds{10},
                                .max_batch_delay = std::chrono::milliseconds{800}};
constexpr duration startup_period = std::chrono::seconds{6};
/// After this long without a watch, reading everything costs less than reading all changes since.
constexpr duration max_watch_gap = std::chrono::seconds{3};
/// Time for live runners to register again once the store has recovered.
constexpr duration reregistration_grace = std::chrono::milliseconds{2'200};
/// An entry expires after three of its runner's heartbeats, so none does in an outage of two.
constexpr int min_outage_heartbeats = 2;
/// A push that took longer is logged, and a backlog above this size.
constexpr duration late_push = std::chrono::milliseconds{500};
constexpr std::uint64_t large_backlog_bytes = 1U << 20U;
/// Between two log lines about late pushes, and about the backlog.
constexpr duration delay_log_interval = std::chrono::seconds{1};
/// How long a node with tables from peers waits at most for the followers' own readings before it
/// may stand in for them.
constexpr duration max_followers_wait = std::chrono::seconds{5};
/// A push with an older answer of the store does not end an outage.
constexpr duration max_answer_age = std::chrono::milliseconds{1'500};

std::int64_t in_milliseconds(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(factor * span);
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
        : io{context}, kv{service}, hooks{std::move(given)},
          relay{chosen, others, "documents", relay_hooks()}, m_peers{others}, m_pause{context},
          m_shares_watches{chosen.mechanisms.has(mechanism::shared_watches)},
          m_first_start{chosen.first_start}, m_check_key{chosen.deployment + "/check"},
          m_random{hash64(chosen.node.value(), chosen.seed)}, m_followers{{.self = chosen.node,
                                                                           .name = "documents"}},
          m_outage{{.min_outage = min_outage_heartbeats * chosen.site.heartbeat,
                    .grace = reregistration_grace}}
    {}

    net::awaitable<void> run()
    {
        const auto self = shared_from_this();
        duration pause = min_retry_interval;
        while (!stopped) {
            bool succeeded = true;
            if (should_watch()) {
                succeeded = co_await read_or_watch();
            }
            if (stopped)
                break;
            pause = succeeded ? min_retry_interval : std::min(pause * 2, max_retry_interval);
            boost::system::error_code woken;
            // Nodes that failed together must not all come back together.
            m_pause.expires_after(scaled(pause, min_jitter + (1.0 - min_jitter) * m_random.unit()));
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
        if (relay.synced())
            relay.set_store_record(m_outage.steady_since(), m_outage.last_answer());
        relay.tick();
        kv.set_watch_pace(pace());
        remove_overdue_runners();
        end_batch();
        if (current && runtime_clock::now() - m_last_push_at >= push_interval)
            push();
        log_backlog();
    }

    void message_received(const key_message& message)
    {
        log_late_push(message);
        note_store_record(message);
        const bool synced = relay.synced();
        m_source = &message;
        relay.message_received(message);
        m_source = nullptr;
        note_reading(message);
        if (!synced && relay.synced())
            note_synced_by_peers(message);
        end_batch();
    }

    void end_batch()
    {
        if (std::exchange(m_changed, false))
            hooks.on_batch();
    }

    net::io_context& io;
    kv_service& kv;
    registry_hooks hooks;
    key_relay_driver relay;
    bool stopped = false;
    bool current = false;
    bool configuration_unreadable = false; ///< the newest one

private:
    key_relay_hooks relay_hooks()
    {
        key_relay_hooks given;
        given.on_key = [this](const kv_entry& entry) { handle_entry(entry); };
        given.on_watch = [this] { m_pause.cancel(); };
        given.on_fresh = [this](const node_id& from, duration store_age) {
            const time_point now = runtime_clock::now();
            m_followers.push_received(from, store_age, now);
            m_outage.neighbour_answered(now - store_age);
            if (store_age < max_answer_age)
                store_recovered();
        };
        given.is_urgent = [](std::string_view key) {
            return platform::is_configuration(key) || platform::is_evacuation(key);
        };
        given.on_neighbours = [this](const std::vector<node_id>& nodes) {
            m_followers.members_changed(nodes);
            count_fleet();
            hooks.on_current_changed(current, m_followers.rank());
        };
        return given;
    }

    void count_fleet()
    {
        std::set<failure_domain_id> domains;
        m_live_nodes = 0;
        for (const member& one : m_peers.members()) {
            if (!one.live())
                continue;
            ++m_live_nodes;
            domains.insert(one.failure_domain);
        }
        m_failure_domains = domains.size();
    }

    [[nodiscard]] watch_pace pace() const
    {
        const time_point now = runtime_clock::now();
        const bool has_dependents = m_followers.has_dependents();
        if (m_first_start && !has_dependents && now - m_started < startup_period)
            return start_pace;
        if (!has_dependents)
            return non_follower_pace;
        return m_followers.is_first_fresh(now) ? first_follower_pace : other_follower_pace;
    }

    [[nodiscard]] bool should_watch()
    {
        const time_point now = runtime_clock::now();
        if (!relay.synced())
            return m_turns.may_read(m_followers.rank(), m_live_nodes, now);
        if (!m_shares_watches)
            return true;
        const bool follows = m_followers.should_follow(now);
        if (std::exchange(m_follows, follows) != follows)
            log_event(log_level::info, follows ? "follows_store" : "follows_neighbours",
                      {{"rank", m_followers.rank()},
                       {"fresh_ms_ago", in_milliseconds(now - m_followers.last_fresh())}});
        return follows;
    }

    /// A node has read everything, and tells how long that took.
    void note_reading(const key_message& message)
    {
        const auto* reply = std::get_if<key_reply>(&message.body);
        if (reply == nullptr || !reply->reading_took)
            return;
        m_turns.reading_announced(*reply->reading_took);
        if (!relay.synced())
            m_pause.cancel();
    }

    /// The followers of all failure domains read everything for themselves, in turn if the store is
    /// slow, before they push.
    void note_synced_by_peers(const key_message& message)
    {
        const time_point now = runtime_clock::now();
        const time_point sent_at = now - message.delay;
        const store_record known = std::get<key_reply>(message.body).store.value_or(store_record{});
        m_outage.informed(sent_at - known.steady, sent_at - known.heard);
        const duration reading = m_turns.reading_took().value_or(duration{0});
        const auto readings =
            static_cast<duration::rep>(m_followers.followers() * m_failure_domains);
        m_followers.informed(now + std::min(readings * reading, max_followers_wait));
        log_event(log_level::info, "tables_from_peers",
                  {{"after_ms", in_milliseconds(now - m_started)},
                   {"entries", relay.keys().size()},
                   {"reading_ms", in_milliseconds(reading)}});
    }

    /// Entries that are missing after an outage are kept, so this comes before the entries.
    void note_store_record(const key_message& message)
    {
        const auto* reply = std::get_if<key_reply>(&message.body);
        if (reply == nullptr || !reply->store)
            return;
        const time_point sent_at = runtime_clock::now() - message.delay;
        m_outage.neighbour_knows(sent_at - reply->store->steady, sent_at - reply->store->heard);
    }

    void log_late_push(const key_message& message)
    {
        const auto* push = std::get_if<key_reply>(&message.body);
        const time_point now = runtime_clock::now();
        const bool late = push != nullptr && push->push_number && message.delay >= late_push;
        if (!late || now - m_late_push_logged_at < delay_log_interval)
            return;
        m_late_push_logged_at = now;
        log_event(log_level::info, "push_late",
                  {{"from", message.from.value()},
                   {"delay_ms", in_milliseconds(message.delay)},
                   {"entries", push->entries.size()}});
    }

    void log_backlog()
    {
        const time_point now = runtime_clock::now();
        const peer_counters sent = m_peers.counters();
        const bool large = sent.queued_bytes >= large_backlog_bytes;
        if (!large || now - m_backlog_logged_at < delay_log_interval)
            return;
        m_backlog_logged_at = now;
        log_event(log_level::info, "peer_backlog",
                  {{"queued_bytes", sent.queued_bytes},
                   {"sent_bytes", sent.bytes_sent},
                   {"dropped_frames", sent.frames_dropped},
                   {"keys", relay.keys().size()}});
    }

    void push()
    {
        m_last_push_at = runtime_clock::now();
        if (const std::optional<duration> age = m_followers.store_age(m_last_push_at))
            relay.push(*age, {m_last_push_at - m_outage.steady_since(),
                              m_last_push_at - m_outage.last_answer()});
    }

    /// The store has answered and the changes in its answer were applied.
    void store_answered()
    {
        m_last_answer_at = runtime_clock::now();
        m_followers.store_answered(m_last_answer_at);
        m_outage.store_answered(m_last_answer_at);
        store_recovered();
    }

    /// Returns true if the store answered.
    net::awaitable<bool> read_or_watch()
    {
        bool succeeded = true;
        if (m_revision == 0 || kv.era() != m_era ||
            runtime_clock::now() - m_last_answer_at > max_watch_gap) {
            succeeded = co_await read_all();
        }
        if (succeeded && !stopped && should_watch()) {
            succeeded = co_await watch_until_error();
        }
        co_return succeeded;
    }

    net::awaitable<bool> read_all()
    {
        const time_point asked = runtime_clock::now();
        const result<kv_range> read = co_await read_everything();
        if (stopped)
            co_return false;
        if (!read) {
            ++m_failed_reads;
            log_event(log_level::warning, "store_read_failed",
                      {{"reason", read.error().message},
                       {"took_ms", milliseconds_since(asked)},
                       {"failures", m_failed_reads}});
            store_failed(read.error());
            co_return false;
        }
        m_failed_reads = 0;
        const bool restored = m_era && kv.era() != m_era;
        m_era = kv.era();
        log_event(log_level::info, "store_read",
                  {{"entries", read.value().entries.size()},
                   {"revision", read.value().revision},
                   {"era", m_era.value_or(0)},
                   {"took_ms", milliseconds_since(asked)}});
        m_outage.store_answered(runtime_clock::now());
        apply_read(read.value(), restored);
        relay.platform_read();
        // Documents from a full read are not pushed. Neighbours must compare their documents with
        // this node's before they rely on its next push.
        relay.stop_pushing();
        m_revision = read.value().revision;
        announce_first_reading(runtime_clock::now() - asked);
        store_answered();
        set_current(true);
        end_batch();
        push();
        if (!should_watch())
            stop_watching();
        co_return true;
    }

    /// A reading that is under way.
    struct reading {
        explicit reading(net::io_context& context) : ended{context} {}
        std::optional<result<kv_range>> answer;
        std::shared_ptr<kv_read_progress> progress = std::make_shared<kv_read_progress>();
        timer ended; ///< cancelled when `answer` is set
    };

    net::awaitable<void> read_into(std::shared_ptr<reading> begun)
    {
        const auto self = shared_from_this();
        begun->answer.emplace(
            co_await kv.get_prefix(std::string{platform::watched_prefix()}, begun->progress));
        begun->ended.cancel();
    }

    /// Waits until everything has been read, as long as the reading may be under way.
    net::awaitable<result<kv_range>> read_everything()
    {
        const auto begun = std::make_shared<reading>(io);
        net::co_spawn(io, read_into(begun), net::detached);
        while (!stopped && !begun->answer) {
            boost::system::error_code ended;
            begun->ended.expires_after(read_check_interval);
            co_await begun->ended.async_wait(net::redirect_error(net::use_awaitable, ended));
            if (begun->answer || !begun->progress->waiting)
                continue;
            // Whether it is slow or away: what vanishes from it meanwhile may return.
            store_failed({error_kind::deadline_exceeded, "the store has not answered a reading yet",
                          "it is waited for; check the store's load"});
            const result<kv_read> later = co_await kv.get(m_check_key);
            if (!later && !begun->answer)
                store_failed(later.error());
            if (later && !begun->answer && begun->progress->waiting)
                co_return error{error_kind::deadline_exceeded,
                                "the store has answered a later call", "read again"};
        }
        if (!begun->answer)
            co_return error{error_kind::cancelled, "this node stops", ""};
        co_return std::move(*begun->answer);
    }

    /// Unless one was announced before: the nodes learn nothing from a second one.
    void announce_first_reading(duration took)
    {
        if (m_turns.reading_took())
            return;
        m_turns.reading_announced(took);
        relay.announce_reading(took);
    }

    /// `restored`: the store has come back from a copy since the last reading.
    void apply_read(const kv_range& read, bool restored)
    {
        std::size_t withheld = 0;
        std::set<std::string> present_keys;
        for (const kv_entry& entry : read.entries) {
            present_keys.insert(entry.key);
            if (is_withheld(entry, restored))
                ++withheld;
            else
                relay.read(entry);
        }
        for (const auto& [key, document] : std::map{relay.keys()}) {
            if (document.value.empty() || present_keys.contains(key) ||
                document.revision >= read.revision)
                continue;
            if (restored && is_written_by_others(key))
                ++withheld;
            else
                relay.read(deleted_entry(key, read.revision));
        }
        if (!restored)
            return;
        const time_point now = runtime_clock::now();
        m_read_again_at = now + reregistration_grace;
        m_copy_grace_until = now + 2 * reregistration_grace;
        log_event(log_level::warning, "store_restored",
                  {{"era", m_era.value_or(0)}, {"withheld", withheld}});
    }

    static bool is_written_by_others(std::string_view key)
    {
        return platform::is_runner(key) || platform::is_configuration(key) ||
               platform::is_evacuation(key);
    }

    /// Whether an entry that differs from the document known here is not used: an older version of
    /// the configuration never, other entries of a copy not yet.
    [[nodiscard]] bool is_withheld(const kv_entry& entry, bool restored) const
    {
        const auto known = relay.keys().find(entry.key);
        if (known == relay.keys().end() || known->second.value == entry.value)
            return false;
        if (platform::is_configuration(entry.key)) {
            const result<configuration> read = platform::parse_configuration(entry);
            return read && m_installed && read.value().revision < *m_installed;
        }
        if (!restored || !is_written_by_others(entry.key))
            return false;
        if (!platform::is_runner(entry.key) || known->second.value.empty())
            return true; // an evacuation, or a runner that was removed
        const result<runner> read = platform::parse_runner(entry);
        return !read || !read.value().leaving;
    }

    net::awaitable<bool> watch_until_error()
    {
        result<kv_watch> watch =
            co_await kv.watch(std::string{platform::watched_prefix()}, m_revision + 1);
        if (!watch) {
            store_failed(watch.error());
            co_return false;
        }
        const time_point begun = runtime_clock::now();
        time_point last_answer_at = begun;
        while (!stopped) {
            if (m_read_again_at && runtime_clock::now() >= *m_read_again_at) {
                m_read_again_at.reset();
                m_revision = 0;
                co_return true;
            }
            const result<kv_watch_batch> batch = co_await watch.value().next(
                m_read_again_at ? std::min(watch_wait, *m_read_again_at - runtime_clock::now())
                                : watch_wait);
            if (stopped)
                co_return false;
            if (!batch) {
                log_event(log_level::info, "watch_ended",
                          {{"reason", batch.error().message},
                           {"revision", m_revision},
                           {"silent_ms", milliseconds_since(last_answer_at)}});
                if (batch.error().kind == error_kind::not_found)
                    m_revision = 0; // the store has dropped that history: read everything
                else
                    store_failed(batch.error());
                // A watch that ended soon after its start counts as failed, so that watches that
                // keep ending early are retried with growing pauses.
                co_return m_revision == 0 || runtime_clock::now() - begun >= max_retry_interval;
            }
            if (batch.value().revision == 0)
                continue; // the store has sent nothing yet
            last_answer_at = runtime_clock::now();
            m_outage.store_answered(last_answer_at);
            for (const kv_event& event : batch.value().events) {
                if (event.deleted)
                    relay.key_changed(deleted_entry(event.entry.key, event.entry.mod_revision));
                else
                    relay.key_changed(event.entry);
            }
            m_revision = std::max(m_revision, batch.value().revision);
            store_answered();
            set_current(true);
            end_batch();
            push();
            if (!should_watch()) {
                stop_watching();
                co_return true;
            }
        }
        co_return false;
    }

    /// Stops pushing, since this node is no longer a follower; the followers push from now on.
    void stop_watching()
    {
        relay.stop_pushing();
        set_current(false);
    }

    /// A deleted key is represented by an empty value; no document is empty.
    static kv_entry deleted_entry(const std::string& key, std::int64_t revision)
    {
        kv_entry made;
        made.key = key;
        made.mod_revision = revision;
        return made;
    }

    void store_failed(const error& why)
    {
        if (!m_store_failed_since) {
            m_store_failed_since = runtime_clock::now();
            log_event(log_level::warning, "store_lost",
                      {{"reason", why.message}, {"revision", m_revision}});
        }
        m_followers.store_failed(runtime_clock::now());
        m_outage.store_failed();
        set_current(false);
    }

    void store_recovered()
    {
        if (!m_store_failed_since)
            return;
        const time_point now = runtime_clock::now();
        const duration away = now - *m_store_failed_since;
        m_store_failed_since.reset();
        log_event(log_level::info, "store_regained",
                  {{"away_ms", in_milliseconds(away)},
                   {"revision", m_revision},
                   {"steady_ms", in_milliseconds(now - m_outage.steady_since())}});
    }

    /// Missing entries of runners may return until then.
    [[nodiscard]] time_point grace_until() const
    {
        return std::max(m_outage.grace_until(), m_copy_grace_until);
    }

    void set_current(bool now)
    {
        if (current == now)
            return;
        current = now;
        hooks.on_current_changed(now, m_followers.rank());
    }

    void handle_entry(const kv_entry& entry)
    {
        m_changed = true;
        const bool exists = !entry.value.empty();
        if (platform::is_runner(entry.key))
            handle_runner_entry(entry, exists);
        else if (platform::is_configuration(entry.key))
            handle_configuration_entry(entry, exists);
        else if (platform::is_evacuation(entry.key))
            hooks.on_evacuation(platform::evacuated_domain(entry.key), exists);
        else
            hooks.on_key(entry, exists);
    }

    void handle_runner_entry(const kv_entry& entry, bool exists)
    {
        const vm_id id = platform::runner_id(entry.key);
        m_missing_runners.erase(id);
        if (!exists) {
            if (runtime_clock::now() < grace_until())
                m_missing_runners.insert(id);
            else
                hooks.on_runner_removed(id);
            return;
        }
        result<runner> read = platform::parse_runner(entry);
        if (read) {
            hooks.on_runner(read.value());
            return;
        }
        log_event(log_level::warning, "registry_entry_unreadable",
                  {{"key", entry.key}, {"reason", read.error().message}});
        hooks.on_runner_removed(id);
    }

    void handle_configuration_entry(const kv_entry& entry, bool exists)
    {
        if (!exists)
            return; // the installed configuration stays in force
        result<configuration> read = platform::parse_configuration(entry);
        configuration_unreadable = !read;
        if (!read) {
            log_event(log_level::error, "configuration_unreadable",
                      {{"revision", entry.mod_revision}, {"reason", read.error().message}});
            return;
        }
        if (m_installed && read.value().revision < *m_installed)
            return;
        m_installed = read.value().revision;
        log_event(log_level::info, "config_received",
                  {{"revision", read.value().revision.value()},
                   {"from", m_source == nullptr ? std::string{"store"} : m_source->from.value()},
                   {"delay_ms", m_source == nullptr ? 0 : in_milliseconds(m_source->delay)},
                   {"bytes", entry.value.size()},
                   {"keys", relay.keys().size()}});
        hooks.on_configuration(std::make_shared<const configuration>(std::move(read).value()));
    }

    void remove_overdue_runners()
    {
        if (m_missing_runners.empty() || runtime_clock::now() < grace_until())
            return;
        for (const vm_id& id : std::exchange(m_missing_runners, {}))
            hooks.on_runner_removed(id);
        m_changed = true;
    }

    peer_service& m_peers;
    timer m_pause;
    bool m_shares_watches;   ///< only followers watch the store
    bool m_first_start;      ///< the whole fleet starts for the first time
    std::string m_check_key; ///< of no value; read to see whether the store answers
    random_source m_random;
    time_point m_started = runtime_clock::now();
    store_followers m_followers;
    store_outage m_outage;
    time_point m_last_push_at;
    time_point m_last_answer_at; ///< when the store last answered this node
    reading_turns m_turns{{}, m_started};
    std::size_t m_live_nodes = 1;              ///< of all failure domains
    std::size_t m_failure_domains = 1;         ///< of the live nodes
    std::uint64_t m_failed_reads = 0;          ///< since everything was last read
    std::int64_t m_revision = 0;               ///< last one received; 0: everything has to be read
    std::optional<std::int64_t> m_era;         ///< of the store at the last reading
    std::optional<time_point> m_read_again_at; ///< since the store has come back from a copy
    bool m_changed = false;
    bool m_follows = false;                ///< last result of should_follow()
    const key_message* m_source = nullptr; ///< being processed; null: the store's answer
    time_point m_late_push_logged_at;
    time_point m_backlog_logged_at;
    std::optional<time_point> m_store_failed_since;
    time_point m_copy_grace_until;     ///< after the store has come back from a copy
    std::set<vm_id> m_missing_runners; ///< deleted, but kept until grace_until()
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
        self->message_received(message);
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

void registry_feed::notice_received(const key_notice& notice)
{
    m_impl->relay.notice_received(notice);
}

bool registry_feed::current() const
{
    return m_impl->current;
}

bool registry_feed::configuration_unreadable() const
{
    return m_impl->configuration_unreadable;
}

} // namespace jaynotch

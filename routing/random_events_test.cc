// Random events in random order, as from a faulty shell, faulty peers and a faulty platform.
#include "routing/core_fixture.h"

#include <criterion/criterion.h>

#include <map>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

/// Generates random events with ids from a small range, so that many refer to existing objects.
class random_event_source {
public:
    explicit random_event_source(std::uint64_t seed) : m_random{seed} {}

    event next()
    {
        switch (m_random.index(19)) {
        case 0:
        case 1:
        case 2:
            return arrival();
        case 3:
            return attempt_sent{request(), attempt()};
        case 4:
            return attempt_head{request(),
                                attempt(),
                                status(),
                                m_random.chance(0.8) ? std::optional{attempt()} : std::nullopt,
                                m_random.chance(0.1),
                                m_random.chance(0.1) ? "v2" : ""};
        case 5:
            return attempt_progress{request(), attempt(), 1};
        case 6:
            return attempt_finished{request(), attempt(), m_random.chance(0.7), {}};
        case 7:
            return attempt_failed{request(), attempt(),
                                  static_cast<attempt_failure>(m_random.index(7))};
        case 8:
            return caller_gone{request()};
        case 9:
            return key_status_requested{request(), workspace_id{"farm"}, key()};
        case 10:
            return kv_answer();
        case 11:
            if (m_random.chance(0.3))
                return lease_result{token(), error{error_kind::unavailable, "", ""}};
            return lease_result{token(), lease_id{4}};
        case 12:
            return groups();
        case 13:
            return group_broken{group()};
        case 14:
            return target_leaving{m_random.chance(0.5) ? group() : server(), m_random.chance(0.5)};
        case 15:
            return load_reported{
                group(), {9, 3, 0.5}, std::chrono::milliseconds{m_random.between(0, 5'000)}};
        case 16:
            return cache_events_received{
                group(), {{m_random.index(9), m_random.chance(0.5)}}, true};
        case 17:
            return tables();
        default:
            return peer_demand_received{node_id{std::to_string(m_random.index(3))},
                                        {{pool_id{"chat"}, workspace_id{"farm"}, 3, 4}}};
        }
    }

    void note(const command_list& commands)
    {
        for (const command& each : commands) {
            if (const auto* sent = std::get_if<send_attempt>(&each))
                m_attempts.push_back(sent->attempt);
            else if (const auto* call = std::get_if<call_kv>(&each))
                m_calls.push_back(*call);
            else if (const auto* lease = std::get_if<grant_lease>(&each))
                m_tokens.push_back(lease->token);
        }
    }

private:
    template <class T>
    T any_of(const std::vector<T>& values)
    {
        if (values.empty())
            return T{};
        // One of the latest.
        const std::size_t back = std::min(values.size(), std::size_t{12});
        return values[values.size() - 1 - m_random.index(back)];
    }

    request_id request() { return request_id{m_next_request - m_random.index(12)}; }
    attempt_id attempt() { return any_of(m_attempts); }
    kv_token token() { return any_of(m_tokens); }
    target_id group() { return target_id{"group-" + std::to_string(m_random.index(5))}; }
    target_id server() { return target_id{"10.0.0." + std::to_string(m_random.index(4)) + ":80"}; }
    std::string key() { return m_random.chance(0.3) ? "" : std::to_string(m_random.index(4)); }
    std::uint32_t status() { return std::array{200U, 200U, 404U, 429U, 503U}[m_random.index(5)]; }

    event arrival()
    {
        request_info info;
        info.id = request_id{m_random.chance(0.9) ? ++m_next_request : m_next_request};
        info.kind = static_cast<request_kind>(m_random.index(3));
        info.model = "summary";
        info.method = "POST";
        info.path = std::array{"/orders", "/once", "/read", "/nowhere"}[m_random.index(4)];
        info.workspace = workspace_id{"farm"};
        info.idempotency_key = key();
        info.body_digest = m_random.chance(0.9) ? "a" : "";
        info.stream = m_random.chance(0.5);
        info.body_buffered = m_random.chance(0.8);
        for (std::uint64_t block = 0; block < m_random.index(100); ++block)
            info.prefix_blocks.push_back(m_random.index(9));
        return request_arrived{info};
    }

    event kv_answer()
    {
        const call_kv call = any_of(m_calls);
        if (m_random.chance(0.3))
            return kv_result{call.token, error{error_kind::unavailable, "", ""}};
        kv_outcome outcome;
        outcome.succeeded = m_random.chance(0.5);
        outcome.revision = 4;
        for (const kv_compare& compare : call.transaction.compares) {
            if (!outcome.succeeded && m_random.chance(0.5))
                outcome.entries.push_back({compare.key, "not a record", 2, 2, lease_id{}});
        }
        return kv_result{call.token, outcome};
    }

    event groups()
    {
        groups_changed changed;
        for (const target& each : make_groups(4)) {
            if (m_random.chance(0.6))
                changed.groups.push_back(each);
        }
        return changed;
    }

    event tables()
    {
        configuration made = make_tables();
        if (m_random.chance(0.3))
            made.pools.pop_back();
        if (m_random.chance(0.2))
            made.pools.front().name = pool_id{"renamed-" + std::to_string(m_random.index(1'000))};
        if (m_random.chance(0.1))
            made.routes.clear();
        return tables_installed{made};
    }

    random_source m_random;
    std::uint64_t m_next_request = 100;
    std::vector<attempt_id> m_attempts;
    std::vector<call_kv> m_calls;
    std::vector<kv_token> m_tokens;
};

std::optional<request_id> final_of(const command& candidate)
{
    return std::visit(
        [](const auto& each) -> std::optional<request_id> {
            using command_type = std::decay_t<decltype(each)>;
            constexpr bool is_final = std::is_same_v<command_type, complete> ||
                                      std::is_same_v<command_type, refuse> ||
                                      std::is_same_v<command_type, replay> ||
                                      std::is_same_v<command_type, end_truncated> ||
                                      std::is_same_v<command_type, forget> ||
                                      std::is_same_v<command_type, report_key_status>;
            if constexpr (is_final)
                return each.request;
            else
                return std::nullopt;
        },
        candidate);
}

} // namespace

// Guards against an entry VM that fails because of a defect elsewhere: duplicate events from the
// shell, invalid replies of the key-value service, tables that change during requests. Every
// request must get exactly one final answer in the end, and no pool capacity may leak.
Test(random_event_source, any_order_of_events_ends_every_request_once)
{
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        core_settings settings = fixture::default_settings();
        settings.prefix_index_entries = 16;
        settings.max_requests = 40;
        settings.max_queued_per_workspace = 4;
        fixture world{settings, 3, seed};
        random_event_source source{seed};
        random_source random{seed};
        std::map<request_id, int> finals;
        std::size_t highest_open = 0;
        const auto note = [&](const command_list& commands) {
            source.note(commands);
            for (const command& each : commands) {
                if (const auto request = final_of(each))
                    ++finals[*request];
            }
            highest_open = std::max(highest_open, world.core.open_requests());
        };
        std::map<request_id, int> arrivals;
        for (int step = 0; step < 3'000; ++step) {
            const event next = source.next();
            if (const auto* arrived = std::get_if<request_arrived>(&next))
                ++arrivals[arrived->request.id];
            if (const auto* asked = std::get_if<key_status_requested>(&next))
                ++arrivals[asked->request];
            note(world.send(next));
            if (random.chance(0.2))
                note(world.pass(std::chrono::milliseconds{random.between(10, 400)},
                                std::chrono::milliseconds{50}));
        }
        cr_assert_leq(highest_open, 40);
        // Keyed requests end at the timeout of their claims, sent ones at their deadlines.
        note(world.pass(std::chrono::seconds{700}, std::chrono::milliseconds{500}));
        cr_assert_eq(world.core.open_requests(), 0, "seed %lu: %lu without an end", seed,
                     world.core.open_requests());
        for (const target_status& row : world.core.targets())
            cr_assert_eq(row.in_flight, 0, "seed %lu: a place leaked", seed);
        for (const auto& [request, times] : arrivals) {
            cr_assert_leq(finals[request], times, "seed %lu: too many finals", seed);
        }
        for (const pool_status& row : world.core.pools()) {
            cr_assert_eq(row.queued, 0, "seed %lu: still queued", seed);
            cr_assert_eq(row.in_flight, 0, "seed %lu: still in flight", seed);
        }
    }
}

// Runs every short sequence of events on one request and compares the commands with a simple
// reference model, which derives its expectations from the list of all attempts.
#include "routing/core_fixture.h"

#include <criterion/criterion.h>

using namespace jaynotch;
using namespace jaynotch::testing;

namespace {

enum class step {
    sent,
    head_ok,
    head_wrong_attempt,
    head_did_not_run,
    head_server_failure,
    head_other_version,
    part,
    complete_answer,
    truncated_answer,
    not_connected,
    cut,
    caller_left,
    group_lost,
    wait_long,
    count, ///< number of steps
};

enum class call { chat, read, keyed, once };

/// An attempt as seen by the reference model.
struct observed_attempt {
    attempt_id id;
    target_id target;
    bool sent = false;
    bool repeated = false;    ///< resent to the same backend server
    bool did_not_run = false; ///< reported by the backend server for the last sending
    bool delivered = false;
    bool over = false; ///< ended or cancelled
};

class reference_model {
public:
    explicit reference_model(call made) : m_call{made} {}

    /// Called before an event: updates the current attempt.
    void before(step next)
    {
        if (m_attempts.empty() || m_attempts.back().over)
            return;
        observed_attempt& now = m_attempts.back();
        const bool head = next == step::head_ok || next == step::head_wrong_attempt ||
                          next == step::head_did_not_run || next == step::head_server_failure ||
                          next == step::head_other_version;
        const bool answer =
            next == step::part || next == step::complete_answer || next == step::truncated_answer;
        now.repeated = now.repeated || (next == step::sent && now.sent);
        now.sent = now.sent || next == step::sent || head || answer;
        now.did_not_run = now.did_not_run || (next == step::head_did_not_run && !now.delivered);
    }

    /// Called after an event: checks the core's commands.
    void after(const command_list& commands)
    {
        for (const command& each : commands) {
            if (const auto* attempt = std::get_if<send_attempt>(&each))
                check_attempt(*attempt);
            else if (const auto* ended = std::get_if<cancel_attempt>(&each))
                check_cancelled(*ended);
            else if (std::holds_alternative<deliver>(each))
                m_attempts.back().delivered = true;
            else if (const auto* refused = std::get_if<refuse>(&each))
                check_refused(*refused);
            else if (std::holds_alternative<complete>(each) ||
                     std::holds_alternative<end_truncated>(each) ||
                     std::holds_alternative<replay>(each) || std::holds_alternative<forget>(each))
                ++m_finals;
        }
        cr_assert_leq(m_finals, 1, "two final answers");
    }

    void end_attempt()
    {
        if (!m_attempts.empty())
            m_attempts.back().over = true;
    }

    [[nodiscard]] const observed_attempt* present() const
    {
        return m_attempts.empty() ? nullptr : &m_attempts.back();
    }
    [[nodiscard]] int finals() const { return m_finals; }

private:
    [[nodiscard]] bool any_may_have_run() const
    {
        for (const observed_attempt& each : m_attempts) {
            if (each.sent && (each.repeated || !each.did_not_run))
                return true;
        }
        return false;
    }

    [[nodiscard]] bool any_sent() const
    {
        for (const observed_attempt& each : m_attempts) {
            if (each.sent)
                return true;
        }
        return false;
    }

    void check_attempt(const send_attempt& attempt)
    {
        cr_assert_eq(m_finals, 0, "sent after the final answer");
        if (m_call == call::once)
            cr_assert(!any_sent(), "a non-repeatable call was sent again");
        if (m_call == call::keyed)
            cr_assert(!any_may_have_run(), "a keyed call was sent again though it may have run");
        m_attempts.push_back({attempt.attempt, attempt.target});
    }

    void check_cancelled(const cancel_attempt& ended)
    {
        cr_assert(!m_attempts.empty() && m_attempts.back().id == ended.attempt);
        m_attempts.back().over = true;
    }

    void check_refused(const refuse& refused)
    {
        ++m_finals;
        for (const observed_attempt& each : m_attempts)
            cr_assert(!each.delivered, "refused after part of an answer was delivered");
        if (any_may_have_run())
            cr_assert(refused.ran == ran_state::unknown,
                      "reported as not run, but it may have run");
        else
            cr_assert(refused.ran == ran_state::no,
                      "nothing ran, but the outcome was reported as unknown");
    }

    call m_call;
    std::vector<observed_attempt> m_attempts;
    int m_finals = 0;
};

/// One request and a sequence of steps.
class history {
public:
    explicit history(call made) : m_world{small_settings(), 2, 1}, m_model{made}, m_call{made} {}

    void run(const std::vector<step>& steps)
    {
        start();
        for (const step next : steps) {
            if (m_model.finals() > 0)
                break;
            m_model.before(next);
            m_model.after(play(next));
        }
        // After any sequence, the timeouts lead to exactly one final answer.
        for (int tries = 0; tries < 8 && m_model.finals() == 0; ++tries)
            m_model.after(wait_long());
        cr_assert_eq(m_model.finals(), 1, "no final answer");
        cr_assert_eq(m_world.core.open_requests(), 0);
    }

private:
    static core_settings small_settings()
    {
        core_settings settings = fixture::default_settings();
        settings.prefix_index_entries = 4;
        return settings;
    }

    void start()
    {
        switch (m_call) {
        case call::chat:
            m_model.after(m_world.chat(1));
            return;
        case call::read:
            m_model.after(m_world.plain(1, "/read"));
            return;
        case call::once:
            m_model.after(m_world.plain(1, "/once"));
            return;
        case call::keyed:
            break;
        }
        const command_list asked = m_world.plain(1, "/orders", "key");
        const command_list leased =
            m_world.send(lease_result{first<grant_lease>(asked)->token, lease_id{5}});
        const kv_token token = first<call_kv>(leased)->token;
        m_model.after(m_world.send(kv_result{token, kv_outcome{true, 3, {}}}));
    }

    command_list wait_long()
    {
        command_list out = m_world.pass(std::chrono::seconds{11}, std::chrono::milliseconds{500});
        return out;
    }

    command_list play(step next)
    {
        if (next == step::wait_long)
            return wait_long();
        const request_id request{1};
        if (next == step::caller_left)
            return m_world.send(caller_gone{request});
        const observed_attempt* now = m_model.present();
        if (now == nullptr)
            return {};
        const attempt_id attempt = now->id;
        const auto head = [&](std::uint32_t status, attempt_id named, bool did_not_run,
                              const std::string& version) {
            return m_world.send(
                attempt_head{request, attempt, status, named, did_not_run, version});
        };
        const auto over = [&](const event& happened) {
            m_model.end_attempt();
            return m_world.send(happened);
        };
        switch (next) {
        case step::sent:
            return m_world.send(attempt_sent{request, attempt});
        case step::head_ok:
            return head(200, attempt, false, "");
        case step::head_wrong_attempt:
            return head(200, attempt_id{attempt.value() + 1}, false, "");
        case step::head_did_not_run:
            return head(409, attempt, true, "");
        case step::head_server_failure:
            return head(503, attempt, false, "");
        case step::head_other_version:
            return head(200, attempt, false, "v9");
        case step::part:
            return m_world.send(attempt_progress{request, attempt, 1});
        case step::complete_answer:
            return over(attempt_finished{request, attempt, true, stored_answer{}});
        case step::truncated_answer:
            return over(attempt_finished{request, attempt, false, {}});
        case step::not_connected:
            return over(attempt_failed{request, attempt, attempt_failure::not_connected});
        case step::cut:
            return over(attempt_failed{request, attempt, attempt_failure::cut});
        case step::group_lost:
            return m_world.send(group_broken{now->target});
        default:
            return {};
        }
    }

    fixture m_world;
    reference_model m_model;
    call m_call;
};

void run_all(call made, std::size_t length)
{
    const auto kinds = static_cast<std::size_t>(step::count);
    std::size_t histories = 1;
    for (std::size_t at = 0; at < length; ++at)
        histories *= kinds;
    for (std::size_t number = 0; number < histories; ++number) {
        std::vector<step> steps;
        for (std::size_t at = 0, rest = number; at < length; ++at, rest /= kinds)
            steps.push_back(static_cast<step>(rest % kinds));
        history{made}.run(steps);
    }
}

} // namespace

// Guards against a refusal that reports "did not run" although an attempt may have run: the caller
// would repeat the call, and it would run twice. This happens if the end of an attempt is treated
// as more certain than it is. Tries all sequences of four events on each kind of call.
Test(event_sequences, every_short_history_of_a_chat)
{
    run_all(call::chat, 4);
}
Test(event_sequences, no_short_read_history_exceeds_the_server_limit)
{
    run_all(call::read, 4);
}
Test(event_sequences, every_short_history_of_a_keyed_call)
{
    run_all(call::keyed, 4);
}
Test(event_sequences, every_short_history_of_a_call_sent_once)
{
    run_all(call::once, 4);
}

#include "http/session_table.h"

#include <algorithm>

// An idle connection costs a well-behaved client no more than a new one, so the one idle longest
// goes first. After that come requests that arrive slowly: a client that sends without pauses has
// sent its request within `min_receiving` or keeps up `slow_bytes_s`, whatever its size.
//
// A table is scanned only when a connection arrives and no place is free, or memory is short, which
// costs less than accepting the connection or reading the body.

namespace jaynotch {

namespace {

constexpr duration min_receiving = std::chrono::seconds{1};
constexpr double slow_bytes_s = 16.0 * 1024;
constexpr duration min_blocked = std::chrono::seconds{2};

double bytes_per_second(const session& receiving, time_point now)
{
    const double seconds = std::chrono::duration<double>{now - receiving.since}.count();
    const auto bytes = receiving.caller->received() - receiving.received_before;
    return static_cast<double>(bytes) / seconds;
}

} // namespace

void session_table::add(session_ptr added)
{
    m_closing += added->phase == session_phase::closing ? 1 : 0;
    m_sessions.insert(std::move(added));
    if (m_closing > m_closing_limit)
        reset_longest_closing();
}

void session_table::remove(const session_ptr& removed)
{
    if (m_sessions.erase(removed) > 0)
        m_closing -= removed->phase == session_phase::closing ? 1 : 0;
}

void session_table::enter(session& current, session_phase phase, time_point now)
{
    if (current.phase == session_phase::closing)
        return;
    current.phase = phase;
    current.since = now;
    current.received_before = current.caller->received();
    if (phase != session_phase::closing)
        return;
    ++m_closing;
    if (m_closing > m_closing_limit)
        reset_longest_closing();
}

bool session_table::make_room(time_point now)
{
    if (close_longest_idle(now, false))
        return true;
    session* slow = slowest_receiving(now, false);
    if (slow != nullptr)
        end_receiving(*slow, now);
    return slow != nullptr;
}

bool session_table::free_memory(time_point now)
{
    if (session* slow = slowest_receiving(now, true)) {
        end_receiving(*slow, now);
        return true;
    }
    if (session* blocked = longest_blocked(now)) {
        ++m_given_way.blocked;
        blocked->caller->abort();
        return true;
    }
    return close_longest_idle(now, true);
}

bool session_table::close_longest_idle(time_point now, bool holding)
{
    session* idle = longest_idle(holding);
    if (idle == nullptr)
        return false;
    ++m_given_way.idle;
    enter(*idle, session_phase::closing, now);
    idle->caller->close_idle();
    return true;
}

session* session_table::longest_blocked(time_point now) const
{
    session* longest = nullptr;
    time_point since = now - min_blocked;
    for (const session_ptr& each : m_sessions) {
        const std::optional<time_point> blocked = each->caller->blocked_since();
        if (blocked && *blocked <= since && !each->caller->closed() &&
            each->caller->memory().bytes() > 0) {
            since = *blocked;
            longest = each.get();
        }
    }
    return longest;
}

session* session_table::longest_idle(bool holding) const
{
    session* longest = nullptr;
    for (const session_ptr& each : m_sessions) {
        const bool candidate = each->phase == session_phase::idle && !each->accepted_at_close &&
                               (!holding || each->caller->memory().bytes() > 0) &&
                               (longest == nullptr || each->since < longest->since);
        // One whose request has just arrived is not idle any more.
        if (candidate && !each->caller->has_input())
            longest = each.get();
    }
    return longest;
}

session* session_table::slowest_receiving(time_point now, bool holding) const
{
    session* slowest = nullptr;
    double lowest = slow_bytes_s;
    for (const session_ptr& each : m_sessions) {
        if (each->phase != session_phase::receiving || now - each->since < min_receiving ||
            (holding && each->caller->memory().bytes() == 0))
            continue;
        const double rate = bytes_per_second(*each, now);
        if (rate < lowest) {
            lowest = rate;
            slowest = each.get();
        }
    }
    return slowest;
}

void session_table::end_receiving(session& slow, time_point now)
{
    ++m_given_way.slow;
    slow.caller->expire_input();
    enter(slow, session_phase::closing, now);
}

void session_table::reset_longest_closing()
{
    const auto earlier = [](const session_ptr& a, const session_ptr& b) {
        const bool a_closing = a->phase == session_phase::closing && !a->caller->closed();
        const bool b_closing = b->phase == session_phase::closing && !b->caller->closed();
        return a_closing != b_closing ? a_closing : a->since < b->since;
    };
    const auto longest = std::min_element(m_sessions.begin(), m_sessions.end(), earlier);
    if (longest != m_sessions.end() && (*longest)->phase == session_phase::closing)
        (*longest)->caller->abort();
}

} // namespace jaynotch

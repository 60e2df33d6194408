// The open connections of a server, and which of them give way when places or memory are short.
//
//   session_table sessions{closing_limit};
//   if (sessions.open() >= limit && !sessions.make_room(now)) ...   // refuse the new connection
//   sessions.enter(*session, session_phase::serving, now);
//
// A connection whose request is being served never gives way for a place, and for memory only if
// its client has not read the answer for a while. One whose request arrives has its wait for input
// ended, so the request is refused as not executed.
#pragma once

#include "base/base.h"
#include "http/connection.h"

#include <cstddef>
#include <memory>
#include <unordered_set>
#include <utility>

namespace jaynotch {

enum class session_phase {
    idle,      ///< waits for the first byte of a request
    receiving, ///< a request has arrived in part
    serving,   ///< a request has been read and is being executed or answered
    closing,   ///< takes no more requests
};

/// An open connection and its state.
struct session {
    std::shared_ptr<connection> caller;
    session_phase phase = session_phase::idle;
    time_point since;                  ///< beginning of the phase
    std::uint64_t received_before = 0; ///< bytes on the connection before the phase
    bool accepted_at_close = false;    ///< accepted from the backlog while the listener closed
};

/// Connections that gave way since the last report.
struct given_way {
    std::size_t idle = 0;    ///< closed while idle
    std::size_t slow = 0;    ///< whose requests arrived slowly
    std::size_t blocked = 0; ///< whose clients did not read
};

class session_table {
public:
    using session_ptr = std::shared_ptr<session>;

    /// Of the connections that are closing, those beyond `closing_limit` are reset.
    explicit session_table(std::size_t closing_limit) : m_closing_limit{closing_limit} {}

    void add(session_ptr added);
    void remove(const session_ptr& removed);
    void enter(session& current, session_phase phase, time_point now);
    /// Connections that may still send requests.
    [[nodiscard]] std::size_t open() const { return m_sessions.size() - m_closing; }
    [[nodiscard]] std::size_t size() const { return m_sessions.size(); }
    [[nodiscard]] const std::unordered_set<session_ptr>& all() const { return m_sessions; }

    /// Ends the connection that has been idle longest or, if none is, the one whose request arrives
    /// most slowly. False if there is neither.
    bool make_room(time_point now);
    /// Of the connections that hold memory, ends the one whose request arrives most slowly; if none
    /// arrives slowly, resets the one that has not read its answer for longest; if all read, closes
    /// the one idle longest. False if there is none of these.
    bool free_memory(time_point now);

    [[nodiscard]] given_way take_given_way() { return std::exchange(m_given_way, {}); }

private:
    /// False if there is none. With `holding`: of those that hold memory.
    bool close_longest_idle(time_point now, bool holding);
    session* longest_idle(bool holding) const;
    /// nullptr if all requests arrive fast enough. With `holding`: of those that hold memory.
    session* slowest_receiving(time_point now, bool holding) const;
    /// Of those that hold memory.
    session* longest_blocked(time_point now) const;
    void end_receiving(session& slow, time_point now);
    void reset_longest_closing();

    std::unordered_set<session_ptr> m_sessions;
    std::size_t m_closing_limit;
    given_way m_given_way;
    std::size_t m_closing = 0; ///< sessions in the phase `closing`
};

} // namespace jaynotch

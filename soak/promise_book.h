// The account of a soak: what callers asked and were answered, what runners ran, and which promises
// that breaks. Pure: no sockets, no clock.
//
//   promise_book book;
//   book.asked({.id = "c1-7", .kind = asked_kind::order, .node = "entry-1", .sent = now});
//   book.ran("c1-7", now);                                  // by a runner
//   book.answered("c1-7", {.status = 503, ...}, now);
//   for (const std::string& broken : book.broken()) ...     // once everything has settled
#pragma once

#include "base/base.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jaynotch {

enum class asked_kind {
    stream, ///< may be resumed on another server
    order,  ///< runs once at most
    read,   ///< may be repeated
};

struct asked_request {
    std::string id;
    asked_kind kind = asked_kind::read;
    std::string node;
    std::int64_t key_version = 0; ///< of the key that it bore; 0: none is needed
    time_point sent;
    std::size_t most_servers = 1; ///< that may run it
};

/// What a caller got. `status` is 0 if the connection ended without a whole answer.
struct seen_answer {
    std::uint32_t status = 0;
    std::string id;   ///< as the answer names it
    std::string body; ///< of a success
};

/// When a node or its links, or the store, were harmed on purpose.
struct harm {
    std::string node; ///< empty: everything
    time_point from;
    time_point until = time_point::max();
    bool planned = false; ///< a stop that was asked for, as opposed to a failure
};

/// Figures that the configuration's and drains' promises are made in.
struct promised_times {
    duration config_apply = std::chrono::milliseconds{2'000};
    duration drain = std::chrono::milliseconds{2'000};
    duration settled = std::chrono::milliseconds{3'000}; ///< after harm, before bounds hold again
    /// A loaded machine runs a few busy processes besides: scheduling delays that are nobody's
    /// fault.
    duration slack = std::chrono::milliseconds{1'500};
};

class promise_book {
public:
    explicit promise_book(std::size_t stream_events, promised_times times = {})
        : m_stream_events{stream_events}, m_times{times}
    {}

    void asked(asked_request request);
    void ran(const std::string& id, const std::string& runner, time_point now);
    void answered(const std::string& id, seen_answer answer, time_point now);
    /// The store has accepted a version, with which `keys` are the keys in force: the last two.
    void accepted(std::int64_t version, time_point now) { m_accepted[version] = now; }
    void draining(const std::string& runner, time_point now) { m_draining[runner] = now; }
    /// A node started: what it knew before is gone.
    void restarted(const std::string& node, time_point now) { m_starts[node].push_back(now); }
    std::size_t harmed(harm what);
    void healed(std::size_t harm, time_point now) { m_harms[harm].until = now; }

    /// Everything that breaks a promise, one line each.
    [[nodiscard]] std::vector<std::string> broken() const;
    [[nodiscard]] std::size_t requests() const { return m_requests.size(); }
    [[nodiscard]] std::size_t whole() const;

private:
    struct run {
        std::string runner;
        time_point at;
    };
    struct account {
        asked_request asked;
        std::vector<run> runs;
        bool ended = false;
        seen_answer answer;
        time_point ended_at;
    };

    void check_answer(const account& one, std::vector<std::string>& out) const;
    void check_runs(const account& one, std::vector<std::string>& out) const;
    static void check_servers(const account& one, std::vector<std::string>& out);
    void check_stop(const account& one, std::vector<std::string>& out) const;
    void check_drain(const account& one, std::vector<std::string>& out) const;
    void check_key(const account& one, std::vector<std::string>& out) const;
    void check_versions(std::vector<std::string>& out) const;
    [[nodiscard]] std::string expected_body(const account& one) const;
    /// Whether the node and everything else was sound all the while.
    [[nodiscard]] bool calm(const std::string& node, time_point from, time_point until,
                            bool planned_counts) const;

    std::size_t m_stream_events;
    promised_times m_times;
    std::map<std::string, account> m_requests;
    std::map<std::int64_t, time_point> m_accepted;
    std::map<std::string, time_point> m_draining;
    std::map<std::string, std::vector<time_point>> m_starts;
    std::vector<harm> m_harms;
};

} // namespace jaynotch

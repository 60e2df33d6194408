// The account of a soak: what callers asked and were answered, what runners ran, and which promises
// that breaks. Pure: no sockets, no clock.
//
//   promise_checker book;
//   book.asked({.id = "c1-7", .kind = caller_request_kind::order, .node = "entry-1", .sent = now});
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

enum class caller_request_kind {
    stream, ///< may be resumed on another server
    order,  ///< runs once at most
    read,   ///< may be repeated
};

struct request_record {
    std::string id;
    caller_request_kind kind = caller_request_kind::read;
    std::string node;
    std::int64_t key_version = 0; ///< of the key that it bore; 0: none is needed
    time_point sent;
    std::size_t max_servers = 1; ///< that may run it
};

/// What a caller got. `status` is 0 if the connection ended without a whole answer.
struct received_answer {
    std::uint32_t status = 0;
    std::string id;   ///< as the answer names it
    std::string body; ///< of a success
};

/// When a node or its links, or the store, were harmed on purpose.
struct fault_period {
    std::string node; ///< empty: everything
    time_point from;
    time_point until = time_point::max();
    bool planned = false; ///< a stop that was asked for, as opposed to a failure
};

/// Figures that the configuration's and drains' promises are made in.
struct promise_bounds {
    duration config_apply = std::chrono::milliseconds{2'000};
    duration drain = std::chrono::milliseconds{2'000};
    duration recovery = std::chrono::milliseconds{3'000}; ///< after harm, before bounds hold again
    /// A loaded machine runs a few busy processes besides: scheduling delays that are nobody's
    /// fault.
    duration slack = std::chrono::milliseconds{1'500};
};

class promise_checker {
public:
    explicit promise_checker(std::size_t stream_events, promise_bounds times = {})
        : m_stream_events{stream_events}, m_times{times}
    {}

    void record_request(request_record request);
    void record_run(const std::string& id, const std::string& runner, time_point now);
    void record_answer(const std::string& id, received_answer answer, time_point now);
    /// The store has accepted a version, with which `keys` are the keys in force: the last two.
    void record_version(std::int64_t version, time_point now) { m_accepted[version] = now; }
    void record_drain(const std::string& runner, time_point now) { m_draining[runner] = now; }
    /// A node started: what it knew before is gone.
    void record_start(const std::string& node, time_point now) { m_starts[node].push_back(now); }
    std::size_t record_fault(fault_period period);
    void record_fault_end(std::size_t fault_period, time_point now)
    {
        m_fault_periods[fault_period].until = now;
    }

    /// Everything that breaks a promise, one line each.
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t requests() const { return m_requests.size(); }
    [[nodiscard]] std::size_t successes() const;

private:
    struct run {
        std::string runner;
        time_point at;
    };
    struct request_history {
        request_record request;
        std::vector<run> runs;
        bool ended = false;
        received_answer answer;
        time_point ended_at;
    };

    void check_answer(const request_history& history, std::vector<std::string>& out) const;
    void check_runs(const request_history& history, std::vector<std::string>& out) const;
    static void check_servers(const request_history& history, std::vector<std::string>& out);
    void check_planned_stop(const request_history& history, std::vector<std::string>& out) const;
    void check_drain(const request_history& history, std::vector<std::string>& out) const;
    void check_key(const request_history& history, std::vector<std::string>& out) const;
    void check_versions(std::vector<std::string>& out) const;
    [[nodiscard]] std::string expected_body(const request_history& history) const;
    /// Whether the node and everything else was sound all the while.
    [[nodiscard]] bool undisturbed(const std::string& node, time_point from, time_point until,
                                   bool include_planned) const;

    std::size_t m_stream_events;
    promise_bounds m_times;
    std::map<std::string, request_history> m_requests;
    std::map<std::int64_t, time_point> m_accepted;
    std::map<std::string, time_point> m_draining;
    std::map<std::string, std::vector<time_point>> m_starts;
    std::vector<fault_period> m_fault_periods;
};

} // namespace jaynotch

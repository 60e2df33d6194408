// Records the requests, executions and faults of a soak run and reports each violation of the
// guarantees that callers rely on. It uses neither sockets nor a clock.
//
//   promise_checker checker{stream_events};
//   checker.record_request({.id = "c1-7", .kind = caller_request_kind::order, ...});
//   checker.record_run("c1-7", "a-1", now);                   // executed by runner a-1
//   checker.record_answer("c1-7", {.status = 503, ...}, now);
//   for (const std::string& violation : checker.violations()) ...   // after the run
#pragma once

#include "base/base.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jaynotch {

enum class caller_request_kind {
    stream, ///< may be resumed on another server
    order,  ///< must run at most once
    read,   ///< may be retried
};

/// A request_record::key_version: its key is in no version.
constexpr std::int64_t key_never_held = -1;

struct request_record {
    std::string id;
    caller_request_kind kind = caller_request_kind::read;
    std::string node;
    std::int64_t key_version = 0; ///< of the API key it was sent with; 0: needs no key
    time_point sent;
    std::size_t max_servers = 1; ///< on how many servers it may run
};

/// The answer that a caller received. `status` is 0 if the connection ended before the answer was
/// complete.
struct received_answer {
    std::uint32_t status = 0;
    std::string id;             ///< request id in the answer
    std::string body;           ///< set for a successful answer
    std::string leaving_server; ///< the server that gave it and said that it leaves, or empty
};

/// When a fault was injected into a node, its links or the store.
struct fault_period {
    std::string node; ///< empty: affects all nodes
    time_point from;
    time_point until = time_point::max();
    bool planned = false;       ///< maintenance such as a graceful stop, not a failure
    bool stops_process = false; ///< the node's process is stopped, restarted or paused
    bool cuts_links = false;    ///< of the node, or of a server to all nodes
};

/// Time bounds that the guarantees for configuration changes and drains are checked against.
struct promise_bounds {
    duration config_apply = std::chrono::milliseconds{2'000};
    duration drain = std::chrono::milliseconds{2'000};
    duration evacuate = std::chrono::milliseconds{2'000};
    /// A pause that a server asks for binds a node this long after the refusal.
    duration pause_begin = std::chrono::milliseconds{500};
    std::size_t requests_in_pause = 2;
    /// From the end of a fault until the bounds hold again.
    duration recovery = std::chrono::milliseconds{3'000};
    /// From the return of all nodes that were lost at once until requests must be served again.
    duration fleet_recovery = std::chrono::seconds{12};
    /// Added to the bounds: on a machine that also runs other busy processes, scheduling delays
    /// are not the daemons' fault.
    duration slack = std::chrono::milliseconds{1'500};
    /// In a window, a service may receive this fraction of its requests again, and this many more.
    double retry_share = 0.2;
    double retry_extra = 134.0;
    duration retry_window = std::chrono::seconds{10};
};

/// promise_book.cc says at its head which guarantees hold at all times and which have conditions.
class promise_checker {
public:
    explicit promise_checker(std::size_t stream_events, promise_bounds bounds = {})
        : m_stream_events{stream_events}, m_bounds{bounds}
    {}

    void record_request(request_record request);
    void record_run(const std::string& id, const std::string& runner, time_point now);
    /// A server of the service received the request, whether it ran it or not. To be called in the
    /// order of arrival at each server.
    void record_arrival(const std::string& id, const std::string& service, time_point at,
                        const std::string& runner = {});
    /// The runner refused the request, and asked the request's node for a pause.
    void record_refusal(const std::string& id, const std::string& runner, time_point at,
                        duration pause);
    void record_answer(const std::string& id, received_answer answer, time_point now);
    /// The store accepted a configuration version. The keys of that version and of the one before
    /// it are then valid, or none if it holds no keys.
    void record_version(std::int64_t version, time_point now, bool holds_keys = true);
    void record_drain(const std::string& runner, time_point now) { m_draining[runner] = now; }
    void record_domain(const std::string& runner, const std::string& domain)
    {
        m_domains[runner] = domain;
    }
    /// The store accepted the request to evacuate a failure domain, or its withdrawal.
    void record_evacuation(const std::string& domain, time_point now)
    {
        m_evacuations[domain].push_back({now, time_point::max()});
    }
    void record_return(const std::string& domain, time_point now)
    {
        m_evacuations[domain].back().until = now;
    }
    /// A node's process started, without the state of its previous process.
    void record_start(const std::string& node, time_point now) { m_starts[node].push_back(now); }
    /// A sound server sends nothing for a while and then goes on. That excuses no violation.
    void record_pause(const std::string& runner, time_point from, time_point until)
    {
        m_pauses[runner].push_back({from, until});
    }
    /// All nodes were lost at once and have returned.
    void record_fleet_outage(time_point from, time_point returned)
    {
        m_fleet_outage = {from, returned};
    }
    /// The node reaches no server from some time before the loss of all nodes to the end.
    void record_cut(const std::string& node) { m_cut_off.insert(node); }
    /// The open connections between nodes and to the store fell silent. The time bounds hold again
    /// after bounds.recovery.
    void record_silence(time_point now) { m_silences.push_back(now); }
    /// Returns the index of the fault, for record_fault_end().
    std::size_t record_fault(fault_period period);
    void record_fault_end(std::size_t fault_index, time_point now)
    {
        m_fault_periods[fault_index].until = now;
    }

    /// One line for each violation.
    [[nodiscard]] std::vector<std::string> violations() const;
    [[nodiscard]] std::size_t requests() const { return m_requests.size(); }
    [[nodiscard]] std::size_t successes() const;
    /// Requests sent and served in each second from the first request on, by the second in which
    /// they were sent.
    struct second_counts {
        std::size_t sent = 0;
        std::size_t served = 0;
    };
    [[nodiscard]] std::vector<second_counts> counts_by_second() const;

private:
    struct run {
        std::string runner;
        time_point at;
    };
    struct time_range {
        time_point from;
        time_point until;
    };
    struct request_history {
        request_record request;
        std::vector<run> runs;
        std::vector<time_point> arrivals;
        std::string service; ///< of the servers it arrived at; empty: none
        bool ended = false;
        received_answer answer;
        time_point ended_at;
    };

    void check_answer(const request_history& history, std::vector<std::string>& out) const;
    void check_runs(const std::string& id, const request_history& history,
                    std::vector<std::string>& out) const;
    static void check_servers(const request_history& history, std::vector<std::string>& out);
    void check_planned_stop(const request_history& history, std::vector<std::string>& out) const;
    void check_drain(const request_history& history, std::vector<std::string>& out) const;
    void check_evacuation(const request_history& history, std::vector<std::string>& out) const;
    void check_key(const request_history& history, std::vector<std::string>& out) const;
    void check_key_removals(const request_history& history, std::vector<std::string>& out) const;
    void check_versions(std::vector<std::string>& out) const;
    void check_refusals(std::vector<std::string>& out) const;
    void check_leaving(std::vector<std::string>& out) const;
    void check_fleet_recovery(std::vector<std::string>& out) const;
    /// Of the requests sent after all nodes have returned and had the time to recover, to nodes
    /// that `counts` selects, a quarter is served if a quarter was before. `what` describes them.
    void check_recovery_of(const std::function<bool(const std::string& node)>& counts,
                           const std::string& what, std::vector<std::string>& out) const;
    /// Whether the node's process ran all the while; with `links`, whether none of its links was
    /// disturbed either.
    [[nodiscard]] bool process_ran(const std::string& node, time_point from, time_point until,
                                   bool links) const;
    void check_retries(std::vector<std::string>& out) const;
    [[nodiscard]] std::string expected_body(const request_history& history) const;
    /// How long the request took, and which of its servers were paused meanwhile.
    [[nodiscard]] std::string describe_wait(const request_history& history) const;
    /// Whether no fault that affects the node was active or within its recovery time.
    [[nodiscard]] bool undisturbed(const std::string& node, time_point from, time_point until,
                                   bool include_planned) const;
    /// `bound`, or the end of the recovery time of the last silence before `until` if that is
    /// later.
    [[nodiscard]] time_point after_silences(time_point bound, time_point until) const;

    struct arrival {
        std::string request;
        time_point at;
    };
    struct refusal_with_pause {
        std::string runner;
        std::string node;
        time_point from;
        time_point until;
    };

    std::size_t m_stream_events;
    promise_bounds m_bounds;
    std::map<std::string, request_history> m_requests;
    std::map<std::int64_t, time_point> m_accepted;          ///< by configuration version
    std::map<std::string, std::vector<arrival>> m_arrivals; ///< by runner
    std::vector<refusal_with_pause> m_refusals;
    std::map<std::string, time_point> m_draining; ///< start of the drain, by runner
    std::map<std::string, std::string> m_domains; ///< failure domains of the runners
    std::map<std::string, std::vector<time_range>> m_evacuations; ///< by failure domain
    std::vector<time_range> m_key_removals; ///< in which accepted versions held no keys
    std::map<std::string, std::vector<time_point>> m_starts;
    std::vector<fault_period> m_fault_periods;
    std::vector<time_point> m_silences;                      ///< in order of time
    std::map<std::string, std::vector<time_range>> m_pauses; ///< by runner
    std::optional<time_range> m_fleet_outage;
    std::set<std::string> m_cut_off; ///< nodes
};

} // namespace jaynotch

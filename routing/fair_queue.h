// The queue of one pool: weighted fair queueing among flows. A flow is one workspace at one
// priority; within a flow, requests are served first come, first served.
//
//   fair_queue queue{1'024};
//   queue.push({workspace, priority}, weight, {request, cost});
//   auto next = queue.pop([&](const flow_key& f) { return below_limit(f.workspace); }, now);
#pragma once

#include "routing/request_events.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

namespace jaynotch {

/// Identifies a flow: a workspace at a priority. Requests that can no longer begin within their
/// route's target (`late`) form a flow of their own.
struct flow_key {
    workspace_id workspace;
    priority_class priority = priority_class::standard;
    bool late = false;

    friend bool operator==(const flow_key&, const flow_key&) = default;
};

/// A queued request. `cost` is charged to the share of its flow, in any unit.
struct queued_request {
    request_id request;
    double cost = 1.0;
};

/// The end of its flow at which a request is queued.
enum class queue_end {
    back,  ///< first in, first out
    front, ///< last in, first out
};

/// Start-time fair queueing over at most `max_flows` backlogged flows.
class fair_queue {
public:
    static constexpr std::size_t max_flows = 4'096;

    explicit fair_queue(std::size_t max_per_flow) : m_max_per_flow{max_per_flow} {}

    /// Returns false if the flow or the table of flows is full.
    bool push(const flow_key& flow, double weight, queued_request added,
              queue_end end = queue_end::back);
    /// Returns a popped request to the head of its flow. Ignores the limits on flows and on
    /// requests per flow.
    void push_front(const flow_key& flow, double weight, queued_request added);
    /// Removes and returns the next request of an eligible flow.
    std::optional<queued_request> pop(const std::function<bool(const flow_key&)>& eligible,
                                      time_point now);
    /// Removes a request at any position of its flow; false if it is not there.
    bool remove(const flow_key& flow, request_id request);
    /// Estimated number of requests served before one that is pushed to `flow` now.
    [[nodiscard]] double requests_ahead(const flow_key& flow, double weight) const;
    /// Time to serve the flow's backlog at the rate at which it was served recently, seconds.
    /// Unlike requests_ahead() this accounts for further arrivals in other flows.
    [[nodiscard]] double backlog_wait_s(const flow_key& flow) const;
    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] std::size_t size_of(const workspace_id& workspace) const;

private:
    struct flow_row {
        flow_key key;
        double weight = 1.0;
        double start_tag = 0.0;  ///< virtual time at which the head may start service
        double finish_tag = 0.0; ///< virtual finish time of the request served last
        double interval_s = 0.0; ///< between two services while backlogged, moving average
        time_point last_served;  ///< valid if `backlogged`
        bool backlogged = false; ///< requests remained after the last service
        std::deque<queued_request> waiting;
    };

    flow_row* find_row(const flow_key& flow);
    flow_row* find_or_create(const flow_key& flow, double weight, bool ignore_limit = false);
    void drop_idle_flows();

    std::size_t m_max_per_flow;
    std::size_t m_size = 0;
    double m_virtual_time = 0.0;
    std::vector<flow_row> m_flows;
};

} // namespace jaynotch

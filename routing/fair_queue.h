// The queue of one pool: weighted fair shares among flows, a flow being one workspace at one
// priority. First come, first served within a flow.
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

/// Who shares: a workspace at a priority. What can't begin in time any more is a flow of its own.
struct flow_key {
    workspace_id workspace;
    priority_class priority = priority_class::standard;
    bool late = false;

    friend bool operator==(const flow_key&, const flow_key&) = default;
};

/// A queued request; `cost` is what it takes of the flow's share, in any unit.
struct queued_request {
    request_id request;
    double cost = 1.0;
};

/// Where in its flow a request waits.
enum class queue_end {
    back,  ///< first come, first served
    front, ///< newest first
};

/// Start-time fair queueing over at most `max_flows` flows with work.
class fair_queue {
public:
    static constexpr std::size_t max_flows = 4'096;

    explicit fair_queue(std::size_t max_per_flow) : m_max_per_flow{max_per_flow} {}

    /// False if the flow, or the table of flows, is full.
    bool push(const flow_key& flow, double weight, queued_request added,
              queue_end end = queue_end::back);
    /// Puts a request that was popped before back at the head of its flow, whatever its size.
    void push_front(const flow_key& flow, double weight, queued_request added);
    /// Takes the next request of an eligible flow.
    std::optional<queued_request> pop(const std::function<bool(const flow_key&)>& eligible,
                                      time_point now);
    /// Takes a request out wherever it stands; false if it isn't there.
    bool remove(const flow_key& flow, request_id request);
    /// About how many requests would be served before one pushed to `flow` now.
    [[nodiscard]] double requests_ahead(const flow_key& flow, double weight) const;
    /// How long the flow's own backlog would take at the pace at which it was served of late,
    /// seconds. Unlike requests_ahead it sees that other flows go on arriving.
    [[nodiscard]] double backlog_wait_s(const flow_key& flow) const;
    [[nodiscard]] std::size_t size() const { return m_size; }
    [[nodiscard]] std::size_t size_of(const workspace_id& workspace) const;

private:
    struct flow_row {
        flow_key key;
        double weight = 1.0;
        double start_tag = 0.0;  ///< virtual time at which the head may start
        double finish_tag = 0.0; ///< virtual time at which the last served one ends
        double interval_s = 0.0; ///< between two servings while backlogged, moving average
        time_point last_served;  ///< valid if `backlogged`
        bool backlogged = false; ///< some waited on after the last serving
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

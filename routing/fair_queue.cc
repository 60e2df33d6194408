// Start-time fair queueing (Goyal, Vin, Cheng 1996). Virtual time is the start tag of the request
// served last. The flow whose head has the lowest start tag is served next, and its next start tag
// is higher by cost / weight. A flow that becomes active again starts at the current virtual time,
// so it accumulates no credit while idle. No flow starves, however small its weight, since the
// start tags of the other flows grow past its own. Only the head of a flow has a tag, so a request
// that leaves the queue unserved is not charged to its flow.
#include "routing/fair_queue.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr double interval_smoothing = 0.2;

} // namespace

fair_queue::flow_row* fair_queue::find_row(const flow_key& flow)
{
    const auto found = std::find_if(m_flows.begin(), m_flows.end(),
                                    [&](const flow_row& row) { return row.key == flow; });
    return found == m_flows.end() ? nullptr : &*found;
}

fair_queue::flow_row* fair_queue::find_or_create(const flow_key& flow, double weight,
                                                 bool ignore_limit)
{
    if (flow_row* known = find_row(flow); known != nullptr) {
        known->weight = weight;
        return known;
    }
    if (m_flows.size() >= max_flows)
        drop_idle_flows();
    if (m_flows.size() >= max_flows && !ignore_limit)
        return nullptr;
    flow_row& made = m_flows.emplace_back();
    made.key = flow;
    made.weight = weight;
    made.start_tag = m_virtual_time;
    made.finish_tag = m_virtual_time;
    return &made;
}

void fair_queue::drop_idle_flows()
{
    std::erase_if(m_flows, [&](const flow_row& row) {
        return row.waiting.empty() && row.finish_tag <= m_virtual_time;
    });
}

bool fair_queue::push(const flow_key& flow, double weight, queued_request added, queue_end end)
{
    flow_row* row = find_or_create(flow, weight);
    if (row == nullptr || row->waiting.size() >= m_max_per_flow)
        return false;
    if (row->waiting.empty())
        row->start_tag = std::max(m_virtual_time, row->finish_tag);
    if (end == queue_end::front)
        row->waiting.push_front(added);
    else
        row->waiting.push_back(added);
    ++m_size;
    return true;
}

void fair_queue::push_front(const flow_key& flow, double weight, queued_request added)
{
    flow_row* row = find_or_create(flow, weight, true);
    row->start_tag =
        std::min(row->waiting.empty() ? m_virtual_time : row->start_tag, m_virtual_time);
    row->waiting.push_front(added);
    ++m_size;
}

std::optional<queued_request> fair_queue::pop(const std::function<bool(const flow_key&)>& eligible,
                                              time_point now)
{
    if (m_size == 0)
        return std::nullopt;
    flow_row* next = nullptr;
    for (flow_row& row : m_flows) {
        if (row.waiting.empty() || (next != nullptr && row.start_tag >= next->start_tag))
            continue;
        if (eligible(row.key))
            next = &row;
    }
    if (next == nullptr)
        return std::nullopt;
    const queued_request taken = next->waiting.front();
    next->waiting.pop_front();
    --m_size;
    m_virtual_time = std::max(m_virtual_time, next->start_tag);
    next->finish_tag = next->start_tag + taken.cost / next->weight;
    next->start_tag = next->finish_tag;
    if (next->backlogged) {
        const double since_s = std::chrono::duration<double>(now - next->last_served).count();
        next->interval_s += interval_smoothing * (since_s - next->interval_s);
    }
    next->last_served = now;
    next->backlogged = !next->waiting.empty();
    return taken;
}

bool fair_queue::remove(const flow_key& flow, request_id request)
{
    flow_row* row = find_row(flow);
    if (row == nullptr)
        return false;
    const auto found =
        std::find_if(row->waiting.begin(), row->waiting.end(),
                     [&](const queued_request& queued) { return queued.request == request; });
    if (found == row->waiting.end())
        return false;
    row->waiting.erase(found);
    --m_size;
    return true;
}

double fair_queue::requests_ahead(const flow_key& flow, double weight) const
{
    const auto own = std::find_if(m_flows.begin(), m_flows.end(),
                                  [&](const flow_row& row) { return row.key == flow; });
    const double queued = own == m_flows.end() ? 0.0 : static_cast<double>(own->waiting.size());
    // While this flow serves its backlog and one more request, another flow is served in
    // proportion to its weight.
    double ahead = queued;
    for (const flow_row& row : m_flows) {
        if (row.key == flow)
            continue;
        ahead +=
            std::min(static_cast<double>(row.waiting.size()), (queued + 1.0) * row.weight / weight);
    }
    return ahead;
}

double fair_queue::backlog_wait_s(const flow_key& flow) const
{
    const auto own = std::find_if(m_flows.begin(), m_flows.end(),
                                  [&](const flow_row& row) { return row.key == flow; });
    if (own == m_flows.end())
        return 0.0;
    return static_cast<double>(own->waiting.size()) * own->interval_s;
}

std::size_t fair_queue::size_of(const workspace_id& workspace) const
{
    std::size_t count = 0;
    for (const flow_row& row : m_flows) {
        if (row.key.workspace == workspace)
            count += row.waiting.size();
    }
    return count;
}

} // namespace jaynotch

// One queue for routine lines (level info) and one for urgent lines (warnings and errors), each
// with a token bucket that limits its rate. A line that finds no space or no tokens is dropped, so
// memory and output volume stay bounded whatever the reader does.
#include "base/log_buffer.h"

#include <algorithm>

namespace jaynotch {

log_buffer::log_buffer(log_limits limits) : m_limits{limits}
{
    m_routine.tokens = limits.routine_bytes_s * limits.burst_s;
    m_urgent.tokens = limits.urgent_bytes_s * limits.burst_s;
}

bool log_buffer::consume_tokens(line_queue& queue, double rate, std::size_t bytes,
                                time_point now) const
{
    if (queue.last_refill != time_point{}) {
        const double passed = std::chrono::duration<double>(now - queue.last_refill).count();
        queue.tokens = std::min(rate * m_limits.burst_s, queue.tokens + passed * rate);
    }
    queue.last_refill = now;
    if (queue.tokens < static_cast<double>(bytes))
        return false;
    queue.tokens -= static_cast<double>(bytes);
    return true;
}

bool log_buffer::add(log_level level, std::string_view kind, std::string line, time_point now)
{
    const bool routine = level == log_level::info;
    line_queue& queue = routine ? m_routine : m_urgent;
    const std::size_t size = line.size();
    const bool has_room =
        buffered_bytes() + size <= m_limits.max_buffered_bytes &&
        (!routine || m_routine.bytes + size <= m_limits.max_buffered_routine_bytes);
    const double rate = routine ? m_limits.routine_bytes_s : m_limits.urgent_bytes_s;
    if (!has_room || !consume_tokens(queue, rate, size, now)) {
        ++m_dropped[std::string{kind}];
        ++m_dropped_total;
        return false;
    }
    queue.bytes += size;
    queue.lines.push_back(std::move(line));
    return true;
}

std::string_view log_buffer::front(std::size_t max_bytes)
{
    // A partly written line is completed first; otherwise two lines would be interleaved.
    if (m_current == nullptr)
        m_current = !m_urgent.lines.empty() ? &m_urgent : &m_routine;
    if (m_current->lines.empty()) {
        m_current = nullptr;
        return {};
    }
    return std::string_view{m_current->lines.front()}.substr(m_written, max_bytes);
}

void log_buffer::consume(std::size_t written)
{
    if (m_current == nullptr)
        return;
    m_written += written;
    m_current->bytes -= std::min(written, m_current->bytes);
    if (m_written < m_current->lines.front().size())
        return;
    m_current->lines.pop_front();
    m_current = nullptr;
    m_written = 0;
}

std::map<std::string, std::uint64_t> log_buffer::take_dropped()
{
    return std::exchange(m_dropped, {});
}

} // namespace jaynotch

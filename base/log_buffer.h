// Buffer of log lines that wait to be written: bounded in bytes and in bytes per second, urgent
// lines first.
//
//   log_buffer lines{log_limits{}};
//   lines.add(log_level::info, "request_sent", text, now);   // false: dropped, and counted by kind
//   const std::string_view next = lines.front(4096);         // next bytes to write
//   lines.consume(written);
//
// Warnings and errors are written before routine lines and have space and rate of their own, which
// routine lines cannot use up. A reader that does not read loses lines, but never blocks the
// writer.
#pragma once

#include "base/clock.h"
#include "base/log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace jaynotch {

/// Limits of the log. A node that answers 40 requests a second writes about 40 KB/s of routine
/// lines; the rates leave room for that, but keep a busy fleet from filling its operators' disks.
struct log_limits {
    std::size_t max_buffered_bytes = 256 * 1024;         ///< both queues together
    std::size_t max_buffered_routine_bytes = 192 * 1024; ///< routine lines among them
    double routine_bytes_s = 96.0 * 1024;                ///< sustained rate of routine lines
    double urgent_bytes_s = 96.0 * 1024; ///< sustained rate of urgent lines, in addition
    double burst_s = 4.0;                ///< size of the token buckets, in seconds of rate
};

class log_buffer {
public:
    explicit log_buffer(log_limits limits);

    /// Adds a line, which includes its newline. Returns false if the line was dropped.
    bool add(log_level level, std::string_view kind, std::string line, time_point now);
    /// Bytes to write next, at most `max_bytes` of one line; empty if there are none.
    [[nodiscard]] std::string_view front(std::size_t max_bytes);
    /// Removes bytes of front() that were written.
    void consume(std::size_t written);
    [[nodiscard]] std::size_t buffered_bytes() const { return m_routine.bytes + m_urgent.bytes; }
    /// Lines dropped since the last call, by kind.
    std::map<std::string, std::uint64_t> take_dropped();
    /// Lines dropped in total.
    [[nodiscard]] std::uint64_t dropped() const { return m_dropped_total; }

private:
    struct line_queue {
        std::deque<std::string> lines;
        std::size_t bytes = 0;
        double tokens = 0.0;
        time_point last_refill;
    };

    bool consume_tokens(line_queue& queue, double rate, std::size_t bytes, time_point now) const;

    log_limits m_limits;
    line_queue m_routine;
    line_queue m_urgent;
    line_queue* m_current = nullptr; ///< queue of the line that is being written
    std::size_t m_written = 0;       ///< bytes of that line written so far
    std::map<std::string, std::uint64_t> m_dropped;
    std::uint64_t m_dropped_total = 0;
};

} // namespace jaynotch

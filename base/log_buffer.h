// Log lines on their way out: bounded in bytes held and in bytes a second, the important ones
// first.
//
//   log_buffer lines{log_limits{}};
//   lines.add(log_level::info, "request_sent", text, now);   // false: dropped, and counted by kind
//   const std::string_view next = lines.front(4096);          // whole lines in their order
//   lines.consume(written);
//
// Warnings and errors go out before routine lines, and are held when those are dropped. A reader
// that takes nothing costs its lines, never a wait.
#pragma once

#include "base/clock.h"
#include "base/log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace jaynotch {

/// What the log may take. A node that answers 40 requests a second writes about 40 KB/s of routine
/// lines; a day of a busy fleet must not fill its operators' disks.
struct log_limits {
    std::size_t max_buffered_bytes = 256 * 1024;         ///< in all
    std::size_t max_buffered_routine_bytes = 192 * 1024; ///< of these, routine lines
    double routine_bytes_s = 96.0 * 1024;                ///< in the long run
    double urgent_bytes_s = 96.0 * 1024;                 ///< warnings and errors, besides
    double burst_s = 4.0;                                ///< seconds of rate that may be saved up
};

class log_buffer {
public:
    explicit log_buffer(log_limits limits);

    /// Takes one line with its line end.
    bool add(log_level level, std::string_view kind, std::string line, time_point now);
    /// Bytes to write next, at most `most`; empty if there are none.
    [[nodiscard]] std::string_view front(std::size_t max_bytes);
    void consume(std::size_t written);
    [[nodiscard]] std::size_t buffered_bytes() const { return m_routine.bytes + m_urgent.bytes; }
    /// Lines dropped since the last call, by kind.
    std::map<std::string, std::uint64_t> take_dropped();
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
    line_queue* m_current = nullptr; ///< whose first line is partly written
    std::size_t m_written = 0;       ///< of that line
    std::map<std::string, std::uint64_t> m_dropped;
    std::uint64_t m_dropped_total = 0;
};

} // namespace jaynotch

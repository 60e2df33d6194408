// How much later than predicted the backend servers' answers begin, as seen by this node: the
// margin by which timeouts for silent servers are extended. If servers, links or this node itself
// are slow, all answers are late, and a fixed timeout would take sound servers for silent ones.
//
//   response_delay delay;
//   delay.note_response(took - predicted);
//   delay.note_silence(silence);             // so far; nothing has come
//   const duration timeout = usual + delay.margin();
#pragma once

#include "base/base.h"

#include <algorithm>

namespace jaynotch {

/// Moving average, as TCP estimates round-trip times. A silence counts as a delay of its length, so
/// that the margin grows also while nothing is answered. A single sample at most doubles the
/// average: one server that stops is no reason to wait longer for the others.
class response_delay {
public:
    void note_response(duration excess) { add(std::max(excess, duration{0})); }
    void note_silence(duration silence) { add(silence); }
    [[nodiscard]] duration margin() const { return std::min<duration>(multiple * m_mean, most); }

private:
    static constexpr int smoothing_divisor = 8;
    static constexpr int multiple = 4;
    static constexpr std::chrono::milliseconds least_bound{25};
    static constexpr std::chrono::seconds most{2};

    void add(duration sample)
    {
        const duration bound = std::max<duration>(least_bound, smoothing_divisor * m_mean);
        m_mean += (std::min(sample, bound) - m_mean) / smoothing_divisor;
    }

    duration m_mean{0};
};

} // namespace jaynotch

// Learns by how much first events come later than the engine model predicts. An engine spends time
// before a first event that its published figures don't name, for example on its own admission.
//
//   first_event_delay delay;
//   delay.note(took_ms - predicted_ms);
//   const double ms = delay.usual_ms();
//
// The lower quartile of recent samples is used: queueing in an overloaded engine adds to most
// samples, and must not make this node take all requests for late ones.
#pragma once

#include <algorithm>
#include <array>
#include <cstddef>

namespace jaynotch {

class first_event_delay {
public:
    /// Adds the difference between a measured and a predicted time to the first event.
    void note(double excess_ms)
    {
        m_samples[m_next] = excess_ms;
        m_next = (m_next + 1) % capacity;
        m_count = std::min(m_count + 1, capacity);
        if (m_count < least_samples)
            return;
        std::array<double, capacity> sorted = m_samples;
        const auto quartile = sorted.begin() + static_cast<std::ptrdiff_t>(m_count / 4);
        std::nth_element(sorted.begin(), quartile,
                         sorted.begin() + static_cast<std::ptrdiff_t>(m_count));
        m_usual_ms = std::max(0.0, *quartile);
    }

    /// 0 until enough samples are known.
    [[nodiscard]] double usual_ms() const { return m_usual_ms; }

private:
    static constexpr std::size_t capacity = 32;
    static constexpr std::size_t least_samples = 8;

    std::array<double, capacity> m_samples{};
    std::size_t m_next = 0;
    std::size_t m_count = 0;
    double m_usual_ms = 0.0;
};

} // namespace jaynotch

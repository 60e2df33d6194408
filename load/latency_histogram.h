// Latencies in buckets of equal relative width (as HDR histograms have), so that a percentile is
// right to about 2% from 10 microseconds to 1000 seconds in constant memory.
//
//   latency_histogram seen;
//   seen.add(elapsed);
//   duration p99 = seen.percentile(0.99);
#pragma once

#include "base/base.h"

#include <memory>

namespace jaynotch {

class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;

    void add(duration value);
    [[nodiscard]] std::uint64_t count() const;
    /// The value that a share of `rank` (0 to 1) does not exceed; 0 if there is none.
    [[nodiscard]] duration percentile(double rank) const;
    [[nodiscard]] duration maximum() const;

private:
    struct buckets;
    std::unique_ptr<buckets> m_buckets;
};

} // namespace jaynotch

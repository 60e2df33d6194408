// Latency histogram with logarithmic buckets, similar to an HDR histogram. Percentiles are accurate
// to about 2% between 10 microseconds and 1000 seconds; memory use is constant.
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
    /// Upper bound of the bucket that holds the value at `rank` (0 to 1), at most maximum(); 0 if
    /// the histogram is empty.
    [[nodiscard]] duration percentile(double rank) const;
    [[nodiscard]] duration maximum() const;

private:
    struct buckets;
    std::unique_ptr<buckets> m_buckets;
};

} // namespace jaynotch

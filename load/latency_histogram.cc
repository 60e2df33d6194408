#include "load/latency_histogram.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>

#include <cmath>

namespace jaynotch {

namespace bh = boost::histogram;

namespace {

constexpr double min_seconds = 1e-5;
constexpr double max_seconds = 1e3;
constexpr unsigned bucket_count = 920; // 2% wide each, over eight decades

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;

} // namespace

struct latency_histogram::buckets {
    decltype(bh::make_histogram(log_axis{})) counts =
        bh::make_histogram(log_axis{bucket_count, min_seconds, max_seconds});
    std::uint64_t count = 0;
    duration maximum{0};
};

latency_histogram::latency_histogram() : m_buckets{std::make_unique<buckets>()} {}

latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::add(duration value)
{
    const double seconds = std::chrono::duration<double>{value}.count();
    m_buckets->counts(std::max(seconds, min_seconds));
    ++m_buckets->count;
    m_buckets->maximum = std::max(m_buckets->maximum, value);
}

std::uint64_t latency_histogram::count() const
{
    return m_buckets->count;
}

duration latency_histogram::maximum() const
{
    return m_buckets->maximum;
}

duration latency_histogram::percentile(double rank) const
{
    if (m_buckets->count == 0)
        return duration{0};
    const double wanted = std::ceil(rank * static_cast<double>(m_buckets->count));
    double below = 0.0;
    const auto& axis = m_buckets->counts.axis(0);
    for (int bucket = 0; bucket < axis.size(); ++bucket) {
        below += m_buckets->counts.at(bucket);
        if (below < wanted)
            continue;
        const auto upper = std::chrono::duration_cast<duration>(
            std::chrono::duration<double>{axis.value(bucket + 1)});
        return std::min(upper, m_buckets->maximum);
    }
    return m_buckets->maximum;
}

} // namespace jaynotch

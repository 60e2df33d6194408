#include "base/clock.h"

#include <algorithm>
#include <atomic>
#include <ctime>

// now() is steady time plus an offset while the clock runs, and a frozen value while it is paused.
// Both are atomics since the log sink and tests read the clock from other threads.

namespace jaynotch {

namespace {

constexpr std::chrono::milliseconds paused_poll_interval{1};

std::atomic<bool> g_paused{false};
std::atomic<std::int64_t> g_frozen{0};
std::atomic<std::int64_t> g_offset{0};

/// Time since boot in nanoseconds, including time spent suspended. With a clock that stops during
/// suspension, a resumed VM would treat expired leases and deadlines as still valid.
std::int64_t steady_now() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    constexpr std::int64_t ns_in_second = 1'000'000'000;
    return now.tv_sec * ns_in_second + now.tv_nsec;
}

} // namespace

time_point runtime_clock::now() noexcept
{
    const std::int64_t count = g_paused.load() ? g_frozen.load() : steady_now() + g_offset.load();
    return time_point{duration{count}};
}

void runtime_clock::pause() noexcept
{
    if (g_paused.load())
        return;
    g_frozen.store(now().time_since_epoch().count());
    g_paused.store(true);
}

void runtime_clock::advance(duration step) noexcept
{
    g_frozen.fetch_add(step.count());
}

void runtime_clock::resume() noexcept
{
    if (!g_paused.load())
        return;
    g_offset.store(g_frozen.load() - steady_now());
    g_paused.store(false);
}

bool runtime_clock::paused() noexcept
{
    return g_paused.load();
}

duration runtime_wait_traits::to_wait_duration(const duration& left)
{
    if (!runtime_clock::paused())
        return left;
    return std::min<duration>(left, paused_poll_interval);
}

duration runtime_wait_traits::to_wait_duration(const time_point& until)
{
    return to_wait_duration(until - runtime_clock::now());
}

std::int64_t wall_time_ms() noexcept
{
    const auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace jaynotch

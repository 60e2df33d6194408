// The runtime's clock. All code that waits or reads time uses it, so that tests can pause it and
// advance it by hand:
//
//   runtime_clock::pause();
//   runtime_clock::advance(std::chrono::seconds{5});   // timers of 5 s and less fire
//   runtime_clock::resume();
//
// The clock is monotonic and unrelated to the time of day, which `wall_time_ms` returns for logs
// and records that people read. Decision cores take `time_point now` as a parameter instead.
#pragma once

#include <boost/asio/basic_waitable_timer.hpp>

#include <chrono>
#include <cstdint>

namespace jaynotch {

/// Monotonic clock that can be paused; counts nanoseconds.
class runtime_clock {
public:
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
    /// Freezes the clock at its current value.
    static void pause() noexcept;
    /// Advances the paused clock by `step`.
    static void advance(duration step) noexcept;
    /// Restarts the clock at its current value.
    static void resume() noexcept;
    static bool paused() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;

/// Limits how long Asio's reactor sleeps for a timer. While the clock is paused the reactor polls,
/// since a call to advance() can't wake it.
struct runtime_wait_traits {
    static duration to_wait_duration(const duration& left);
    static duration to_wait_duration(const time_point& until);
};

/// Asio timer on runtime_clock.
using timer = boost::asio::basic_waitable_timer<runtime_clock, runtime_wait_traits>;

/// Milliseconds since the Unix epoch, for people to read; never used for ordering or expiry.
std::int64_t wall_time_ms() noexcept;

} // namespace jaynotch

// The runtime's clock. Everything that waits or reads time uses it, so a test can pause it and
// move it on by hand:
//
//   runtime_clock::pause();
//   runtime_clock::advance(std::chrono::seconds{5});   // timers of 5 s and less fire
//   runtime_clock::resume();
//
// It is monotonic: it never shows the time of day, which `wall_time_ms` gives for logs and
// records read by people. Decision cores take `time_point now` as a parameter instead.
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
    /// Stops time at the current instant.
    static void pause() noexcept;
    /// Moves paused time on by `step`.
    static void advance(duration step) noexcept;
    /// Lets time run again from where it stands.
    static void resume() noexcept;
    static bool paused() noexcept;
};

using time_point = runtime_clock::time_point;
using duration = runtime_clock::duration;

/// How long Asio's reactor may sleep for a timer: while time is paused it polls, since a call to
/// advance() can't wake it.
struct runtime_wait_traits {
    static duration to_wait_duration(const duration& left);
    static duration to_wait_duration(const time_point& until);
};

/// The timer that goes with the clock.
using timer = boost::asio::basic_waitable_timer<runtime_clock, runtime_wait_traits>;

/// Milliseconds since 1970, for people to read; never used to order or to expire anything.
std::int64_t wall_time_ms() noexcept;

} // namespace jaynotch

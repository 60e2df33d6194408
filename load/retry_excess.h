// The operators' limit on repeats, as a slow reference: it looks at each window by itself.
//
//   const double excess = retry_excess(requests, repeats, {0.2, 134.0, std::chrono::seconds{10}});
//   cr_assert_leq(excess, 0.0);
#pragma once

#include "base/base.h"

#include <algorithm>
#include <vector>

namespace jaynotch {

struct retry_limit {
    double share = 0.0; ///< repeats allowed for each request in a window
    double extra = 0.0; ///< repeats allowed besides, in a window
    duration window{0};
};

/// By how much the repeats at a service exceed the limit in the worst window that ends with one; at
/// most 0 if they never do. Requests count in the window, the one before it or the one half a
/// window before it, whichever has most. `Time` is a time_point or a duration.
template <class Time>
double retry_excess(const std::vector<Time>& requests, const std::vector<Time>& repeats,
                    const retry_limit& limit)
{
    const auto in_window = [&](const std::vector<Time>& times, Time last) {
        return std::count_if(times.begin(), times.end(),
                             [&](Time at) { return at > last - limit.window && at <= last; });
    };
    double worst = -limit.extra;
    for (const Time last : repeats) {
        const auto counted =
            std::max({in_window(requests, last), in_window(requests, last - limit.window / 2),
                      in_window(requests, last - limit.window)});
        const double allowed = limit.share * static_cast<double>(counted) + limit.extra;
        worst = std::max(worst, static_cast<double>(in_window(repeats, last)) - allowed);
    }
    return worst;
}

} // namespace jaynotch

#include "http/retry_after.h"

#include "base/parse_number.h"

#include <algorithm>
#include <cmath>

namespace jaynotch {

retry_after parse_retry_after(const boost::beast::http::fields& headers)
{
    constexpr double ms_in_second = 1000.0;
    constexpr double longest_s = 3'600.0;
    retry_after parsed;
    const auto values = headers.equal_range(boost::beast::http::field::retry_after);
    for (auto field = values.first; field != values.second; ++field) {
        const boost::beast::string_view text = field->value();
        const auto wait_s = parse_number<double>({text.data(), text.size()});
        if (!wait_s || !std::isfinite(*wait_s) || *wait_s < 0.0) {
            parsed.unreadable = std::string{text.data(), text.size()};
            continue;
        }
        const std::chrono::milliseconds wait{
            std::llround(std::min(*wait_s, longest_s) * ms_in_second)};
        parsed.wait = std::max(parsed.wait.value_or(wait), wait);
    }
    return parsed;
}

} // namespace jaynotch

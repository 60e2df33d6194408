// Log lines of requests that are refused on arrival since the node is overloaded: the first ones of
// each second one by one, the others as a sum. Writing a line costs as much as refusing a request.
//
//   refusal_log log;
//   log.refused("r-17", retry_after, now);
#pragma once

#include "base/base.h"

#include <cstddef>
#include <string_view>

namespace jaynotch {

class refusal_log {
public:
    void refused(std::string_view request, std::chrono::milliseconds retry_after, time_point now);

private:
    time_point m_second; ///< start of the current second
    std::size_t m_lines = 0;
    std::size_t m_summed = 0;
};

} // namespace jaynotch

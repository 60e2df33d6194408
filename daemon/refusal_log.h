// Log lines of requests that are refused on arrival since the node is overloaded: the first ones of
// each second one by one, the others as a sum. Writing a line costs as much as refusing a request.
//
//   refusal_log log;
//   log.refused("r-17", arrived, cmd, status);
#pragma once

#include "base/base.h"
#include "routing/routing.h"

#include <boost/beast/http/status.hpp>

#include <cstddef>
#include <string_view>

namespace jaynotch {

class refusal_log {
public:
    void refused(std::string_view request, time_point arrived, const refuse& cmd,
                 boost::beast::http::status status);

private:
    time_point m_second; ///< start of the current second
    std::size_t m_lines = 0;
    std::size_t m_summed = 0;
};

} // namespace jaynotch

#include "daemon/refusal_log.h"

namespace jaynotch {

namespace {

constexpr std::size_t lines_per_second = 10;

} // namespace

void refusal_log::refused(std::string_view request, std::chrono::milliseconds retry_after,
                          time_point now)
{
    if (now - m_second >= std::chrono::seconds{1}) {
        if (m_summed > 0)
            log_event(log_level::warning, "requests_refused",
                      {{"count", m_summed}, {"kind_of_error", to_name(error_kind::overloaded)}});
        m_second = now;
        m_lines = 0;
        m_summed = 0;
    }
    if (m_lines >= lines_per_second) {
        ++m_summed;
        return;
    }
    ++m_lines;
    log_event(log_level::warning, "request_refused",
              {{"request", request},
               {"kind_of_error", to_name(error_kind::overloaded)},
               {"message", "this node has as many requests as are answered in time"},
               {"ran", "no"},
               {"retry_after_ms", retry_after.count()},
               {"age_ms", 0}});
}

} // namespace jaynotch

#include "daemon/refusal_log.h"

#include "daemon/request_log.h"

namespace jaynotch {

namespace {

constexpr std::size_t lines_per_second = 10;

} // namespace

void refusal_log::refused(std::string_view request, time_point arrived, const refuse& cmd,
                          boost::beast::http::status status)
{
    if (arrived - m_second >= std::chrono::seconds{1}) {
        if (m_summed > 0)
            log_event(log_level::warning, "requests_refused",
                      {{"count", m_summed}, {"kind_of_error", to_name(cmd.failure.kind)}});
        m_second = arrived;
        m_lines = 0;
        m_summed = 0;
    }
    if (m_lines >= lines_per_second) {
        ++m_summed;
        return;
    }
    ++m_lines;
    request_log{std::string{request}, arrived}.refused(cmd, static_cast<unsigned>(status));
}

} // namespace jaynotch

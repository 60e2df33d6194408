#include "routing/server_pauses.h"

#include <algorithm>

namespace jaynotch {

void server_pauses::begin(const vm_id& server, duration pause, time_point now)
{
    if (pause <= duration{0})
        return;
    time_point& until = m_until[server];
    until = std::max(until, now + pause);
}

bool server_pauses::expire(time_point now)
{
    return std::erase_if(m_until, [&](const auto& entry) { return entry.second <= now; }) > 0;
}

duration server_pauses::wait(const vm_id& server, time_point now) const
{
    const auto found = m_until.find(server);
    if (found == m_until.end())
        return duration{0};
    return std::max<duration>(duration{0}, found->second - now);
}

} // namespace jaynotch

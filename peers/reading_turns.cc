// The rounds have 1, 1, 2, 4, ... nodes of a failure domain and begin 0, 1, 3, 7, ... times `round`
// after the first. So the calls that have been made grow no faster than the time that has passed,
// whatever the number of nodes and however slow the store is.
#include "peers/reading_turns.h"

#include <algorithm>
#include <bit>

namespace jaynotch {

bool reading_turns::may_read(std::size_t rank, std::size_t nodes, time_point now) const
{
    constexpr int max_doublings = 20; // about a million rounds
    const bool affordable =
        m_reading_took &&
        *m_reading_took <= m_settings.affordable / std::max<std::size_t>(1, nodes);
    if (affordable)
        return true;
    const int doublings = std::min(static_cast<int>(std::bit_width(rank)), max_doublings);
    const duration::rep rounds = (duration::rep{1} << doublings) - 1;
    return now - m_started >= m_settings.settle + rounds * m_settings.round;
}

} // namespace jaynotch

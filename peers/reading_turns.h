// Decides when a node that has no tables reads everything from the platform's store. It does no
// I/O.
//
//   reading_turns turns{{}, now};
//   turns.reading_announced(took);                 // another node has read everything
//   if (turns.may_read(rank, nodes, now)) ...
//
// A store that answers one call after the other needs as long for a return of all nodes as they
// make calls, and it also answers those that nobody waits for any more. One node of each failure
// domain therefore reads first, and the others get everything from it (peers/key_relay.h). If the
// reading shows that the store is fast, all read for themselves, which takes less time than one
// node's link to the others. The next nodes of a failure domain begin when nothing has come from
// anyone for a while: the first ones may have been lost, or cut off from the store.
#pragma once

#include "base/base.h"

#include <cstddef>
#include <optional>

namespace jaynotch {

struct reading_turns_settings {
    /// To learn of the other nodes after the start.
    duration settle = std::chrono::milliseconds{50};
    /// Until the second node of a failure domain begins; each later round, of twice as many, begins
    /// after twice as long.
    duration round = std::chrono::milliseconds{1'500};
    /// All nodes read for themselves if their readings, one after the other, take no longer.
    duration affordable = std::chrono::seconds{1};
};

class reading_turns {
public:
    reading_turns(reading_turns_settings settings, time_point started)
        : m_settings{settings}, m_started{started}
    {}

    /// A node has read everything in this time.
    void reading_announced(duration took) { m_reading_took = took; }
    /// How long a reading takes, if any has been announced.
    [[nodiscard]] std::optional<duration> reading_took() const { return m_reading_took; }
    /// `rank`: of this node in its failure domain; `nodes`: live ones of all failure domains.
    [[nodiscard]] bool may_read(std::size_t rank, std::size_t nodes, time_point now) const;

private:
    reading_turns_settings m_settings;
    time_point m_started;
    std::optional<duration> m_reading_took;
};

} // namespace jaynotch

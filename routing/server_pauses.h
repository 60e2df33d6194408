// Pauses that backend servers ask for: a server that refuses a request may name a time during which
// it wants no request from this node. Other nodes are not concerned.
//
//   server_pauses pauses;
//   pauses.begin(server, 3s, now);
//   if (pauses.wait(server, now) == duration{0}) ...   // a request may be sent
//   pauses.expire(now);                                // a few times a second
//
// A pause belongs to the server, so it outlives the groups and pools that the server is part of.
#pragma once

#include "base/base.h"

#include <unordered_map>

namespace jaynotch {

class server_pauses {
public:
    /// The server wants no request for `pause`. A longer pause that was named before stays in
    /// force.
    void begin(const vm_id& server, duration pause, time_point now);
    /// Removes the pauses that have ended; true if there were any.
    bool expire(time_point now);
    /// Time until a request may be sent to the server.
    [[nodiscard]] duration wait(const vm_id& server, time_point now) const;
    [[nodiscard]] bool empty() const { return m_until.empty(); }
    [[nodiscard]] std::size_t size() const { return m_until.size(); }

private:
    std::unordered_map<vm_id, time_point> m_until;
};

} // namespace jaynotch

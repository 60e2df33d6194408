// Judges from a node's own attempts whether it is cut off from all backend servers of a pool.
//
//   server_reach reach;
//   reach.note_unreachable("a-1", 3);   // a connection failed; the pool has 3 servers
//   reach.note_silent("g-2", 20);       // an open connection broke, or brings nothing
//   reach.note_response(now);           // any byte of any server of the pool
//   if (reach.cut_off()) ...            // send through another node, and probe servers
//   reach.note_probe("a-1", true, 3);
#pragma once

#include "base/base.h"

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jaynotch {

class server_reach {
public:
    /// A connection to the server could not be opened. `servers`: number of servers of the pool.
    void note_unreachable(std::string_view server, std::size_t servers);
    /// A connection to the server broke without a response, or stays silent.
    void note_silent(std::string_view server, std::size_t servers);
    /// A server has sent something. Open connections may live on while new ones fail.
    void note_response(time_point now);
    /// A new connection to a server was opened.
    void note_connected();
    /// The node reaches no server of other pools: a single failure here is no server's own.
    void note_others_cut_off();
    /// Whether a probe could open a new connection. `servers`: number of servers of the pool.
    void note_probe(std::string_view server, bool connected, std::size_t servers);
    /// No server is known any more.
    void reset();

    /// Several different servers can't be connected, or are silent and a probe could not connect
    /// either, without a response in between.
    [[nodiscard]] bool cut_off() const { return m_cut_off; }
    /// No connection could be opened since those to different servers failed.
    [[nodiscard]] bool connections_fail() const
    {
        return m_unreachable.size() >= servers_for_connections;
    }
    /// Several servers are silent; a probe of one of them decides whether the node is cut off.
    [[nodiscard]] bool suspected() const { return m_suspected; }
    /// Whether a probe is useful.
    [[nodiscard]] bool in_doubt() const { return m_cut_off || m_suspected || connections_fail(); }
    /// Whether a request that has not run should try another node.
    [[nodiscard]] bool avoid() const { return m_cut_off || connections_fail(); }
    [[nodiscard]] time_point last_response() const { return m_last_response; }

private:
    /// A single server may fail by itself, and so may two at a time in a large pool.
    static constexpr std::size_t servers_for_cut = 3;
    /// Enough to try another node for a request that would be refused otherwise.
    static constexpr std::size_t servers_for_connections = 2;
    /// Servers that probes must connect to in a row before requests return to them.
    static constexpr std::size_t servers_for_return = 2;

    void conclude();

    std::vector<std::uint64_t> m_failed;      ///< hashes of servers, since the last response
    std::vector<std::uint64_t> m_unreachable; ///< since the last new connection
    std::vector<std::uint64_t> m_connected;   ///< that probes connected to since one failed
    bool m_suspected = false;                 ///< several servers are silent; a probe decides
    bool m_cut_off = false;
    time_point m_last_response;
};

} // namespace jaynotch

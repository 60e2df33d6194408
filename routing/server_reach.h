// Judges from a node's own attempts whether it is cut off from all backend servers.
//
//   server_reach reach;
//   reach.note_unreachable("a-1");   // a connection failed
//   reach.note_silent("g-2");        // an open connection broke, or brings nothing
//   reach.note_response();           // any byte of any server
//   if (reach.cut_off()) ...         // send through another node
#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jaynotch {

class server_reach {
public:
    /// A connection to the server could not be opened.
    void note_unreachable(std::string_view server);
    /// A connection to the server broke without a response, or stays silent.
    void note_silent(std::string_view server);
    /// A server has sent something. Open connections may live on while new ones fail.
    void note_response();
    /// A new connection to a server was opened.
    void note_connected();

    /// No server has responded since several different ones failed.
    [[nodiscard]] bool cut_off() const { return m_failed.size() >= servers_for_cut; }
    /// No connection could be opened since those to different servers failed.
    [[nodiscard]] bool connections_fail() const
    {
        return m_unreachable.size() >= servers_for_connections;
    }
    /// Whether any doubt exists, so that probing a server is useful.
    [[nodiscard]] bool in_doubt() const { return cut_off() || connections_fail(); }

private:
    /// A single server may fail by itself, and so may two at a time.
    static constexpr std::size_t servers_for_cut = 3;
    /// Enough to try another node for a request that would be refused otherwise.
    static constexpr std::size_t servers_for_connections = 2;

    std::vector<std::uint64_t> m_failed;      ///< hashes of servers, since the last response
    std::vector<std::uint64_t> m_unreachable; ///< since the last connection
};

} // namespace jaynotch

// Judges from a node's own attempts, and from what other nodes say, whether it is cut off from all
// backend servers of a pool, or whether the servers themselves are lost.
//
//   server_reach reach;
//   reach.note_unreachable("a-1", 3);   // a connection failed; the pool has 3 servers
//   reach.note_silent("g-2", 20);       // an open connection broke, or brings nothing
//   reach.note_response(now);           // any byte of any server of the pool
//   if (reach.inquiry_due())
//       reach.begin_inquiry(3);         // probe three servers, first those that have not failed
//   reach.note_probe("a-3", true, 20);
//   if (reach.cut_off()) ...            // send through another node, and probe servers
//   reach.note_agreement(other, 6);     // that node reaches none either; six such are decisive
//   if (reach.lost_for_all()) ...       // other nodes are no help
#pragma once

#include "base/base.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

namespace jaynotch {

/// What a node believes about the servers of a pool.
enum class reach_state {
    reached,      ///< some are in reach, as far as it knows
    cut_off,      ///< none is in reach, but other nodes may reach some
    lost_for_all, ///< none is in reach of this node or of the others that it asked
};

template <>
struct enum_names<reach_state> {
    static constexpr std::array entries{
        named{reach_state::reached, "reached"},
        named{reach_state::cut_off, "cut_off"},
        named{reach_state::lost_for_all, "lost_for_all"},
    };
};

class server_reach {
public:
    /// How a connection failed: refused or reset, or without any answer in time.
    enum class connection_failure { refused, timed_out };

    /// A connection to the server could not be opened. `servers`: number of servers of the pool.
    void note_unreachable(std::string_view server, std::size_t servers,
                          connection_failure how = connection_failure::refused);
    /// A connection to the server broke without a response, or stays silent.
    void note_silent(std::string_view server, std::size_t servers);
    /// A server has sent something. Open connections may live on while new ones fail.
    void note_response(time_point now);
    /// A new connection to a server was opened.
    void note_connected();
    /// The node reaches no server of other pools: a single failure here is no server's own.
    void note_others_cut_off();
    /// Probes of `probes` different servers begin, whose results decide together, and one of
    /// another node as a control if `with_control`. If some of them bring no result, a new inquiry
    /// replaces this one.
    void begin_inquiry(std::size_t probes, bool with_control);
    /// Whether the control probe could open a connection to another node.
    void note_control(bool connected);
    /// Whether a probe could open a new connection, or, if needs_response(), brought a response.
    /// `servers`: number of servers of the pool.
    void note_probe(std::string_view server, bool connected, std::size_t servers);
    /// Another node has said that it reaches no server of the pool either. `decisive`: number of
    /// such nodes that shows that the servers are lost.
    void note_agreement(std::uint64_t node, std::size_t decisive);
    /// A server of the pool has answered through another node. What nodes have agreed on is void.
    /// If servers open connections to this node and send nothing, it is cut off after all.
    void note_served_elsewhere();
    /// The servers of the pool have changed; `servers`: hashes of their names. A server that is no
    /// longer listed is known to be lost and proves nothing about this node's links. A new one may
    /// be in reach although the others are lost.
    void note_servers(std::span<const std::uint64_t> servers);
    /// No server is known any more.
    void reset();

    /// No server of the pool is in reach, and other nodes may still reach some.
    [[nodiscard]] bool cut_off() const { return m_reaches_none && !m_lost_for_all; }
    /// No server of the pool is in reach of this node or of the others that it asked.
    [[nodiscard]] bool lost_for_all() const { return m_reaches_none && m_lost_for_all; }
    [[nodiscard]] bool reaches_none() const { return m_reaches_none; }
    [[nodiscard]] reach_state state() const
    {
        if (!m_reaches_none)
            return reach_state::reached;
        return m_lost_for_all ? reach_state::lost_for_all : reach_state::cut_off;
    }
    /// No connection could be opened since those to different servers failed.
    [[nodiscard]] bool connections_fail() const
    {
        return m_unreachable.size() >= servers_for_connections;
    }
    /// Several servers have failed; probes of others decide whether the node is cut off.
    [[nodiscard]] bool inquiry_due() const
    {
        return !m_reaches_none && (m_suspected || connections_fail());
    }
    /// Several servers are silent that open connections: a request through another node shows
    /// whether they are busy or this node is cut off.
    [[nodiscard]] bool asks_others() const { return m_open_but_silent && !m_reaches_none; }
    /// Whether a probe has to bring a response, since connections open also in the cut.
    [[nodiscard]] bool needs_response() const { return m_reaches_none && m_open_but_silent; }
    /// Whether a probe is useful.
    [[nodiscard]] bool in_doubt() const { return m_reaches_none || inquiry_due(); }
    /// Whether a request that has not run should try another node.
    [[nodiscard]] bool avoid() const
    {
        return cut_off() || (!m_reaches_none && connections_fail());
    }
    /// Whether the server has failed since the pool was last found in reach.
    [[nodiscard]] bool has_failed(std::uint64_t server) const;
    [[nodiscard]] time_point last_response() const { return m_last_response; }

private:
    /// A single server may fail by itself, and so may two at a time in a large pool.
    static constexpr std::size_t servers_for_cut = 3;
    /// Enough to try another node for a request that would be refused otherwise.
    static constexpr std::size_t servers_for_connections = 2;
    /// Servers without a connection that are a cut even before an inquiry has ended.
    static constexpr std::size_t servers_for_certainty = 4;
    /// Servers that probes must connect to before requests return to them.
    static constexpr std::size_t servers_for_return = 2;
    /// Inquiries in a row in which not even the other node could be connected that are a cut.
    static constexpr std::size_t inconclusive_for_cut = 8;
    /// Answers through other nodes while servers that open connections are silent that are a cut.
    static constexpr std::size_t answers_for_cut = 2;
    /// Failed probes in a row after which earlier connections count no longer.
    static constexpr std::size_t failures_for_doubt = 3;

    void conclude();
    /// Out of reach, since no connection opens.
    void conclude_unconnected();
    void end_inquiry();

    std::vector<std::uint64_t> m_listed;      ///< hashes of the pool's servers, sorted
    std::vector<std::uint64_t> m_failed;      ///< hashes of servers, since the last response
    std::vector<std::uint64_t> m_unreachable; ///< since the last new connection
    std::vector<std::uint64_t> m_connected;   ///< that probes connected to in the cut
    std::vector<std::uint64_t> m_agreeing;    ///< nodes that reach no server either
    std::vector<std::uint64_t> m_refused;     ///< of m_unreachable: refused or reset
    std::size_t m_probes_left = 0;            ///< of the inquiry, with its control
    bool m_control_failed = false;            ///< in the inquiry
    std::size_t m_inconclusive = 0;           ///< inquiries in a row
    std::size_t m_failed_probes = 0;          ///< in a row, in the cut
    bool m_suspected = false;                 ///< several servers are silent; an inquiry decides
    bool m_open_but_silent = false;           ///< probes connected, no response since then
    std::size_t m_served_elsewhere = 0;       ///< since then
    bool m_reaches_none = false;
    bool m_lost_for_all = false;
    time_point m_last_response;
};

} // namespace jaynotch

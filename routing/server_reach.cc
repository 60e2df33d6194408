// A failure of one server says nothing about the node's links, nor do those of several groups that
// are lost together. Several different servers that fail, without a response from any server in
// between, are a suspicion. An inquiry decides it: new connections to servers that have not failed,
// in different failure domains as far as there are. One that opens shows that the links are sound
// and the failed servers lost, and requests go on to the others. A server that is only busy, or its
// process stopped for a while, opens connections as well, since its kernel does. If none opens, the
// pool is out of reach. Connections that four servers refuse decide alone: an inquiry would have
// found a sound server meanwhile.
//
// A node whose link or processor is full opens no connection in time either, to whatever host. So
// an inquiry has a control, a connection to another node. If that fails too, nothing is decided:
// another node would not be reached by a detour either. A node that stays so for long counts as cut
// off, so that others take its duties over.
//
// A connection that opens may be the work of something in between, a proxy or a firewall, while the
// link behind it is cut. Servers that open connections and send nothing are asked for through
// another node then, with one request at a time: if they answer there while none answers here, this
// node is cut off, and only a response ends that. If all servers are busy or paused, they are
// silent there as well.
//
// Out of reach means one of two things. If other nodes reach the servers, this node is cut off and
// its requests take another way. If the nodes that were asked reach none either, the servers are
// lost, or all these nodes are cut off alike: no node can help, and the requests are refused, but
// for single ones that ask again. A node that is cut off knows no more than this one, so it takes
// several to conclude that, all of them in a small fleet; the answer of one server through any node
// refutes it.
//
// Once a cut is found, only probes can tell that it has ended. They have to connect to two servers
// without too many failures in between: where a few servers of many are in reach, a single
// connection would send the requests back into the cut, and where some servers are lost as well,
// their failures must not keep the requests away. Lost servers are back with the first connection,
// or when a new one is listed. All lists are bounded by the number of servers that decides.
//
// A cut may leave open connections intact while new ones fail. Responses then contradict cut_off()
// but not connections_fail(), which a new connection contradicts.
#include "routing/server_reach.h"

#include <algorithm>

namespace jaynotch {

namespace {

bool contains(std::span<const std::uint64_t> hashes, std::uint64_t hash)
{
    return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

void insert_once(std::vector<std::uint64_t>& hashes, std::uint64_t hash, std::size_t most)
{
    if (hashes.size() < most && !contains(hashes, hash))
        hashes.push_back(hash);
}

} // namespace

void server_reach::conclude()
{
    m_reaches_none = true;
    m_suspected = false;
    m_probes_left = 0;
    m_failed_probes = 0;
    m_connected.clear();
    m_agreeing.clear();
}

void server_reach::conclude_unconnected()
{
    m_open_but_silent = false;
    conclude();
}

bool server_reach::has_failed(std::uint64_t server) const
{
    return contains(m_failed, server) || contains(m_unreachable, server);
}

void server_reach::note_unreachable(std::string_view server, std::size_t servers,
                                    connection_failure how)
{
    insert_once(m_unreachable, hash64(server), servers_for_certainty);
    if (how == connection_failure::refused)
        insert_once(m_refused, hash64(server), servers_for_certainty);
    note_silent(server, servers);
    const std::size_t certain = std::clamp(servers, servers_for_connections, servers_for_certainty);
    if (m_suspected && m_refused.size() >= certain)
        conclude_unconnected();
}

void server_reach::note_silent(std::string_view server, std::size_t servers)
{
    insert_once(m_failed, hash64(server), servers_for_cut);
    const std::size_t decisive = std::clamp(servers, servers_for_connections, servers_for_cut);
    m_suspected = m_suspected || m_failed.size() >= decisive;
    m_suspected = m_suspected && !m_reaches_none;
}

void server_reach::note_response(time_point now)
{
    m_last_response = now;
    m_failed.clear();
    if (!m_reaches_none)
        m_open_but_silent = false;
    m_served_elsewhere = 0;
}

void server_reach::note_connected()
{
    m_unreachable.clear();
    m_refused.clear();
}

void server_reach::note_others_cut_off()
{
    if (!m_reaches_none && !m_failed.empty())
        conclude();
}

void server_reach::begin_inquiry(std::size_t probes, bool with_control)
{
    m_probes_left = probes + (with_control ? 1 : 0);
    m_control_failed = false;
}

void server_reach::note_control(bool connected)
{
    if (m_reaches_none || m_probes_left == 0)
        return;
    m_control_failed = !connected;
    if (--m_probes_left == 0)
        end_inquiry();
}

/// No server could be connected.
void server_reach::end_inquiry()
{
    m_inconclusive = m_control_failed ? m_inconclusive + 1 : 0;
    const bool decided = !m_control_failed || m_inconclusive >= inconclusive_for_cut;
    if (m_suspected && decided)
        conclude_unconnected();
}

void server_reach::note_probe(std::string_view server, bool connected, std::size_t servers)
{
    if (!m_reaches_none) {
        if (connected) {
            const bool silent = m_open_but_silent || (m_suspected && !connections_fail());
            reset();
            m_open_but_silent = silent;
        }
        else if (m_probes_left > 0 && --m_probes_left == 0)
            end_inquiry();
        return;
    }
    if (!connected) {
        if (++m_failed_probes >= failures_for_doubt)
            m_connected.clear();
        return;
    }
    m_failed_probes = 0;
    insert_once(m_connected, hash64(server), servers_for_return);
    if (m_lost_for_all || m_connected.size() >= std::min(servers, servers_for_return))
        reset();
}

void server_reach::note_agreement(std::uint64_t node, std::size_t decisive)
{
    if (!m_reaches_none)
        return;
    insert_once(m_agreeing, node, decisive);
    m_lost_for_all = decisive > 0 && m_agreeing.size() >= decisive;
}

void server_reach::note_served_elsewhere()
{
    m_agreeing.clear();
    m_lost_for_all = false;
    if (asks_others() && ++m_served_elsewhere >= answers_for_cut)
        conclude();
}

void server_reach::note_servers(std::span<const std::uint64_t> servers)
{
    std::vector<std::uint64_t> sorted{servers.begin(), servers.end()};
    std::sort(sorted.begin(), sorted.end());
    const bool any_new =
        !std::includes(m_listed.begin(), m_listed.end(), sorted.begin(), sorted.end());
    m_listed = std::move(sorted);
    if (m_lost_for_all && any_new) {
        reset();
        return;
    }
    const auto unlisted = [&](std::uint64_t server) { return !contains(servers, server); };
    const std::size_t lost = std::erase_if(m_failed, unlisted);
    std::erase_if(m_unreachable, unlisted);
    std::erase_if(m_refused, unlisted);
    if (lost > 0)
        m_suspected = false;
}

void server_reach::reset()
{
    m_reaches_none = false;
    m_lost_for_all = false;
    m_suspected = false;
    m_open_but_silent = false;
    m_served_elsewhere = 0;
    m_probes_left = 0;
    m_inconclusive = 0;
    m_failed.clear();
    m_unreachable.clear();
    m_refused.clear();
    m_connected.clear();
    m_agreeing.clear();
}

} // namespace jaynotch

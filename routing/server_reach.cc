// A failure of one server says nothing about the node's links. Several different servers to which
// no connection can be opened, without a response from any server in between, are evidence of a
// cut. Silent servers may only be busy, or their processes stopped for a while, so a new connection
// to one of them has to fail as well: a server's kernel opens it in all these cases. What other
// servers send meanwhile doesn't matter, since a cut may spare a few.
//
// Once a cut is found, requests take another way, and only probes can tell that it has ended. They
// have to connect to two servers in a row: where a few servers of many are in reach, a single
// connection would send the requests back into the cut. All lists are bounded by the number of
// servers that decides.
//
// A cut may leave open connections intact while new ones fail. Responses then contradict cut_off()
// but not connections_fail(), which a new connection contradicts.
#include "routing/server_reach.h"

#include <algorithm>

namespace jaynotch {

namespace {

void insert_once(std::vector<std::uint64_t>& hashes, std::string_view server, std::size_t most)
{
    const std::uint64_t hash = hash64(server);
    const bool known = std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
    if (!known && hashes.size() < most)
        hashes.push_back(hash);
}

} // namespace

void server_reach::conclude()
{
    m_cut_off = true;
    m_suspected = false;
    m_connected.clear();
}

void server_reach::note_unreachable(std::string_view server, std::size_t servers)
{
    insert_once(m_unreachable, server, servers_for_cut);
    note_silent(server, servers);
    const std::size_t decisive = std::clamp(servers, servers_for_connections, servers_for_cut);
    if (m_suspected && m_unreachable.size() >= decisive)
        conclude();
}

void server_reach::note_silent(std::string_view server, std::size_t servers)
{
    insert_once(m_failed, server, servers_for_cut);
    const std::size_t decisive = std::clamp(servers, servers_for_connections, servers_for_cut);
    m_suspected = m_suspected || m_failed.size() >= decisive;
    m_suspected = m_suspected && !m_cut_off;
}

void server_reach::note_response(time_point now)
{
    m_last_response = now;
    m_failed.clear();
}

void server_reach::note_connected()
{
    m_unreachable.clear();
}

void server_reach::note_others_cut_off()
{
    if (!m_cut_off && !m_failed.empty())
        conclude();
}

void server_reach::note_probe(std::string_view server, bool connected, std::size_t servers)
{
    if (!connected) {
        m_connected.clear();
        if (m_suspected)
            conclude();
        return;
    }
    insert_once(m_connected, server, servers_for_return);
    if (!m_cut_off || m_connected.size() >= std::min(servers, servers_for_return))
        reset();
}

void server_reach::reset()
{
    m_cut_off = false;
    m_suspected = false;
    m_failed.clear();
    m_unreachable.clear();
    m_connected.clear();
}

} // namespace jaynotch

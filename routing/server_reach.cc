// A failure of one server says nothing about the node's links. Failures of several different
// servers without a response from any server in between are evidence of a cut, and a response from
// any server disproves it. Both lists are bounded by the number of servers that decides.
//
// A cut may leave open connections intact while new ones fail. Responses then disprove cut_off()
// but not connections_fail(), which only a new connection disproves.
#include "routing/server_reach.h"

#include "base/base.h"

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

void server_reach::note_unreachable(std::string_view server)
{
    insert_once(m_unreachable, server, servers_for_connections);
    insert_once(m_failed, server, servers_for_cut);
}

void server_reach::note_silent(std::string_view server)
{
    insert_once(m_failed, server, servers_for_cut);
}

void server_reach::note_response()
{
    m_failed.clear();
}

void server_reach::note_connected()
{
    m_unreachable.clear();
}

} // namespace jaynotch

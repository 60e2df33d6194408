// Headers between two nodes when one passes a caller's request on to the other.
//
//   request.headers.push_back(render_relayed({.request = relayed, .revision = installed}));
//   result<relayed_marker> marker = parse_relayed(exchange.header(relayed_header));
//   std::optional<relay_refusal> refused = parse_refusal(answer.headers());
#pragma once

#include "http/http_client.h"
#include "routing/routing.h"

#include <string_view>
#include <vector>

namespace jaynotch {

/// Marks a request that a node passes on.
constexpr std::string_view relayed_header = "jaynotch-relayed";
/// The kind of error with which a node refuses such a request.
constexpr std::string_view refused_header = "jaynotch-refused";
/// Of a refusal: a server may have received the request.
constexpr std::string_view reached_server_header = "jaynotch-reached-server";
/// Of a refusal: the node reaches no server that could run the request.
constexpr std::string_view reaches_no_server_header = "jaynotch-reaches-no-server";
/// In an answer that a node passes back to another one: the id of the server that gave it.
constexpr std::string_view served_by_header = "jaynotch-served-by";

struct relayed_marker {
    relayed_request request;
    config_revision revision; ///< installed at the sender; the receiver must have no older one
};

http_header render_relayed(const relayed_marker& marker);
/// Errors: invalid_argument for text that render_relayed did not write.
result<relayed_marker> parse_relayed(std::string_view text);
/// The node's own refusal that an answer states; nullopt for an answer of a backend server.
std::optional<relay_refusal> parse_refusal(const boost::beast::http::fields& headers);
/// Removes the marker from the headers of a request to a backend server.
void remove_relayed(std::vector<http_header>& headers);

} // namespace jaynotch

// Responses of the admin port that both kinds of daemon share.
#pragma once

#include "http/http_exchange.h"
#include "routing/routing.h"
#include "tables/tables.h"

#include <boost/json.hpp>

#include <vector>

namespace jaynotch {

net::awaitable<void> answer_json(http_exchange& exchange, const boost::json::object& page);
/// Answers with `page`, which is in the Prometheus text format.
net::awaitable<void> answer_metrics(http_exchange& exchange, const std::string& page);
net::awaitable<void> answer_error(http_exchange& exchange, const error& why);
/// Drain state of each target: `{"servers":[{"server","pool","state","in_flight"}]}`.
boost::json::object drain_page(const std::vector<target_status>& targets);

} // namespace jaynotch

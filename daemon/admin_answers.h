// How the pages of the admin port are answered.
#pragma once

#include "http/http_exchange.h"
#include "routing/routing.h"
#include "tables/tables.h"

#include <boost/json.hpp>

#include <vector>

namespace jaynotch {

net::awaitable<void> answer_json(http_exchange& exchange, const boost::json::object& page);
/// `page` in Prometheus text.
net::awaitable<void> answer_metrics(http_exchange& exchange, const std::string& page);
net::awaitable<void> answer_error(http_exchange& exchange, const error& why);
/// `{"servers":[{"server","pool","state","in_flight"}]}`.
boost::json::object drain_page(const std::vector<target_status>& targets);

} // namespace jaynotch

// One call to a daemon's admin port, over HTTP or mutual TLS; blocks until it is answered.
//
//   admin_client client{options};
//   result<boost::json::value> status = client.get("/admin/v1/status");
//
// Several daemons may be named: one that can't be reached is passed over. A change is sent on to
// the next daemon only if it certainly did not reach the one before.
#pragma once

#include "base/base.h"
#include "cli/options.h"

#include <boost/json.hpp>

#include <string>

namespace jaynotch {

class admin_client {
public:
    /// `options` must outlive the client.
    explicit admin_client(const cli_options& options) : m_options{options} {}

    result<boost::json::value> get(const std::string& target);
    result<boost::json::value> post(const std::string& target, const boost::json::value& body);

private:
    result<boost::json::value> call(const std::string& method, const std::string& target,
                                    const std::string& body);

    const cli_options& m_options;
};

} // namespace jaynotch

// Blocking client for the admin port of a daemon, over plain HTTP or mutual TLS.
//
//   admin_client client{options};
//   result<boost::json::value> status = client.get("/admin/v1/status");
//
// If several daemons are configured, they are tried in order. A GET goes to the next daemon if the
// previous one did not answer; a POST only if sending it had not begun. A daemon that rejects the
// client's certificate ends the call.
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

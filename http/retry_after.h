// The header Retry-After of a response, as a number of seconds (RFC 9110, section 10.2.3).
// Fractions are accepted.
//
//   const retry_after wanted = parse_retry_after(answer.headers());
//   if (wanted.wait) ...
#pragma once

#include <boost/beast/http/fields.hpp>

#include <chrono>
#include <optional>
#include <string>

namespace jaynotch {

struct retry_after {
    /// The longest one stated, at most an hour; nullopt if none can be read.
    std::optional<std::chrono::milliseconds> wait;
    std::string unreadable; ///< a value that is not a number of seconds, or empty
};

retry_after parse_retry_after(const boost::beast::http::fields& headers);

} // namespace jaynotch

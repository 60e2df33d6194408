// The log's lines of one forwarded request: one for each decision that touches it, under the name
// that its caller gave it.
//
//   request_log lines{facts.attempt};
//   lines.sent(order);            // where to, and what that rested on
//   lines.refused(wanted);        // why, and whether it may have run
#pragma once

#include "base/base.h"
#include "outside/call_facts.h"
#include "routing/routing.h"

#include <string>
#include <string_view>

namespace jaynotch {

class request_log {
public:
    /// Writes nothing for requests without a name.
    request_log(std::string request, time_point arrived);

    void admitted(const request_info& info, const call_metadata& metadata) const;
    void sent(const send_attempt& order) const;
    void attempt_ended(const send_attempt& order, std::string_view reason, bool sent) const;
    /// The node gave the sending up.
    void attempt_cancelled(const send_attempt& order, cancel_reason why, bool sent) const;
    /// The HTTP client sent it to the same server again, since a kept connection was closed.
    void attempt_repeated(const send_attempt& order) const;
    void refused(const refuse& wanted, unsigned status) const;
    /// `longest_pause`: between two parts of the answer.
    void finished(unsigned status, std::uint64_t events, duration first_after,
                  duration longest_pause) const;
    void cut(const error& why, std::uint64_t events) const;
    void abandoned(bool sent, std::uint64_t events) const;

private:
    [[nodiscard]] std::int64_t age_ms() const;
    void attempt_over(log_level level, std::string_view kind, const send_attempt& order,
                      std::string_view reason, bool sent) const;

    std::string m_request;
    time_point m_arrived;
};

} // namespace jaynotch

// Log lines about one forwarded request: one line for each decision, with the caller's name for the
// request.
//
//   request_log log{metadata.attempt, arrived};
//   log.sent(attempt);            // the target, and what the choice was based on
//   log.refused(cmd, status);     // the reason, and whether the request may have run
#pragma once

#include "base/base.h"
#include "outside/call_facts.h"
#include "routing/routing.h"

#include <string>
#include <string_view>

namespace jaynotch {

class request_log {
public:
    /// `request`: the caller's name for the request. If it is empty, nothing is logged.
    request_log(std::string request, time_point arrived);

    void admitted(const request_info& info, const call_metadata& metadata) const;
    void sent(const send_attempt& attempt) const;
    void attempt_failed(const send_attempt& attempt, std::string_view reason, bool sent) const;
    /// The node has cancelled the attempt.
    void attempt_cancelled(const send_attempt& attempt, const cancel_attempt& cmd, bool sent) const;
    /// The server stated that it did not run the attempt, `since_sent` after it was sent.
    /// `pause`: for how long the server asks for no requests, if it does.
    void attempt_refused(const send_attempt& attempt, unsigned status, duration since_sent,
                         std::optional<std::chrono::milliseconds> pause) const;
    /// The attempt's server is silent, and the attempt continues.
    void attempt_held(const send_attempt& attempt, const jaynotch::attempt_held& cmd) const;
    /// The HTTP client sends the request to the same server again, because the server has closed a
    /// kept-alive connection. `retries_left`: in the retry budget, after this one.
    void attempt_repeated(const send_attempt& attempt, double retries_left) const;
    /// The HTTP client would have done so, but the request core did not allow it: the request may
    /// be retried on another server, or the retry budget is empty.
    void resend_denied(const send_attempt& attempt, double retries_left) const;
    void refused(const refuse& cmd, unsigned status) const;
    /// `max_event_gap`: the longest time between two writes of events.
    void finished(unsigned status, std::uint64_t events, duration time_to_first_byte,
                  duration max_event_gap) const;
    void cut(const end_truncated& cmd, std::uint64_t events) const;
    void abandoned(bool sent, std::uint64_t events) const;

private:
    [[nodiscard]] std::int64_t age_ms() const;
    void log_resend(std::string_view kind, const send_attempt& attempt, double retries_left) const;

    std::string m_request;
    time_point m_arrived;
};

} // namespace jaynotch

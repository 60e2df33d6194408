// Implementation class of relay_request: the state of one request while it is relayed. Private to
// relay.cc (lifecycle and commands), relay_attempt.cc (one attempt) and relay_forward.cc (requests
// that are passed on unchanged).
#pragma once

#include "daemon/answer_blocks.h"
#include "daemon/daemon.h"
#include "daemon/relay.h"
#include "daemon/request_log.h"
#include "daemon/write_turns.h"

#include <deque>
#include <optional>

namespace jaynotch {

/// Timeout of one read from a backend server. The request core cancels an attempt much earlier;
/// this only bounds how long a defect could hold a connection.
constexpr duration max_read_wait = std::chrono::hours{1};
constexpr std::size_t max_event_bytes = 1024 * 1024; ///< of one event of a stream
constexpr std::string_view event_stream = "text/event-stream";

/// How an answer's body is passed to the caller.
enum class delivery_mode {
    streamed, ///< piece by piece, as it arrives
    buffered, ///< only after it has been read completely
};

/// Parts of an answer that were read while its caller did not take them.
struct parts_ahead {
    std::deque<result<std::string>> parts; ///< an error or an empty part is the last one
    std::size_t bytes = 0;
    bool reading = false;          ///< a coroutine reads ahead; nobody else may read the answer
    bool reading_directly = false; ///< the coroutine that passes the answer on reads it itself
    bool ended = false;            ///< the last part has been read
    std::optional<timer> changed;  ///< never expires; cancelled on each change
};

/// One attempt: the request sent to one backend server.
struct attempt_state {
    send_attempt send_command;
    span client_span;
    boost::asio::cancellation_signal cancel_signal; ///< cancels it while `stream` is null
    http_stream* stream = nullptr;                  ///< the answer, while its body is read
    bool sent = false;                              ///< a byte of it may have left
    time_point sent_at;                             ///< valid if `sent`
    bool cancelled = false;
    bool delivering = false;     ///< the core has chosen its answer for the caller
    bool may_read_ahead = false; ///< its answer is read with next_part()
    parts_ahead ahead;
};

/// A complete answer, kept until the core decides that the caller gets it.
struct buffered_answer {
    http::status status = http::status::unknown;
    http::fields headers;
    answer_blocks body;
};

class relay_request::impl : public std::enable_shared_from_this<impl> {
public:
    impl(relay_services& services, http_exchange& exchange, incoming_request incoming);

    net::awaitable<void> run();
    /// If a write to the caller is pending, reports progress to the core, so that a caller that
    /// reads slowly isn't mistaken for a stalled backend server.
    void report_slow_caller();

private:
    using attempt_ptr = std::shared_ptr<attempt_state>;

    // relay.cc
    /// The part of a command that takes effect before the core handles its next event.
    void apply_immediately(const command& cmd);
    /// The rest of the command, in the request's coroutine. True if the request has ended.
    net::awaitable<bool> execute(const command& cmd);
    void start_attempt(const attempt_ptr& attempt);
    /// Cancels an attempt by the core's command: logs and counts it, which cancel() doesn't.
    void cancel_on_command(attempt_state& attempt, const cancel_attempt& cmd);
    void cancel(attempt_state& attempt);
    net::awaitable<void> complete_answer();
    net::awaitable<void> refuse_caller(const refuse& cmd);
    net::awaitable<void> replay_answer(const replay& cmd);
    net::awaitable<void> truncate_answer(const end_truncated& cmd);
    net::awaitable<void> end_abandoned();
    net::awaitable<void> stop_attempts();
    void record_outcome(outcome how);
    void record_first_byte();

    // relay_attempt.cc
    net::awaitable<void> run_attempt(attempt_ptr attempt);
    net::awaitable<void> send(attempt_state& attempt);
    /// Whether the HTTP client may send the attempt again on a new connection.
    bool take_resend(const attempt_state& attempt);
    /// Sends the request and reads the head of the answer. nullopt if the attempt was cancelled or
    /// failed; a failure has been reported to the core.
    net::awaitable<std::optional<http_stream>> open_answer(attempt_state& attempt,
                                                           http_request request);
    http_request build_request(const attempt_state& attempt) const;
    http_request build_model_request(const attempt_state& attempt) const;
    http_request build_plain_request(const attempt_state& attempt) const;
    /// The fields common to all answers.
    [[nodiscard]] attempt_head make_head(const attempt_state& attempt, const http_stream& answer,
                                         delivery_mode mode) const;
    /// Reports the head to the core; true if the core has the answer delivered to the caller.
    bool report_head(attempt_state& attempt, const attempt_head& head);
    bool report_engine_head(attempt_state& attempt, const http_stream& answer, delivery_mode mode);
    void count_foreign_answer();
    void report_finished(const attempt_state& attempt);
    void report_failure(attempt_state& attempt, attempt_failure reason);
    void report_read_failure(attempt_state& attempt, const error& failure);
    net::awaitable<void> relay_events(attempt_state& attempt, http_stream& answer);
    net::awaitable<bool> write_events(attempt_state& attempt, std::string_view events,
                                      std::uint32_t count);
    /// Reads a body of at most `limit` bytes. nullopt if the attempt was cancelled or failed; a
    /// failure has been reported to the core.
    net::awaitable<std::optional<answer_blocks>>
    read_full_body(attempt_state& attempt, http_stream& answer, std::size_t limit);
    net::awaitable<void> relay_buffered(attempt_state& attempt, http_stream& answer,
                                        std::size_t limit);
    net::awaitable<void> relay_streamed_body(attempt_state& attempt, http_stream& answer);
    net::awaitable<bool> write_to_caller(attempt_state& attempt, std::string_view piece);
    net::awaitable<bool> begin_answer(attempt_state& attempt, http::status status,
                                      http::fields headers, std::optional<std::uint64_t> length);

    // relay_read_ahead.cc
    /// The next part of an answer, from those read ahead or else from the server.
    net::awaitable<result<std::string>> next_part(attempt_state& attempt, http_stream& answer);
    /// Reads on while a write to the caller is pending, up to the bound of read-ahead.
    void start_reading_ahead(const attempt_ptr& attempt);
    net::awaitable<void> read_ahead(attempt_ptr attempt);
    /// Waits until memory for more of an answer is granted; false if the attempt was cancelled.
    net::awaitable<bool> hold_answer(attempt_state& attempt, std::size_t bytes);

    // relay_forward.cc
    net::awaitable<void> forward(attempt_state& attempt);
    http_request build_forwarded_request(const attempt_state& attempt) const;
    bool report_refusal(attempt_state& attempt, const http_stream& answer);
    [[nodiscard]] boost::beast::http::fields caller_headers(const attempt_state& attempt,
                                                            const http_stream& answer) const;
    void report_limit(const attempt_state& attempt, const answer_metadata& metadata);
    void report_pause(const attempt_state& attempt, std::optional<std::chrono::milliseconds> pause,
                      const std::string& unreadable);
    bool report_forwarded_head(attempt_state& attempt, const http_stream& answer,
                               const answer_metadata& metadata, delivery_mode mode);
    net::awaitable<void> forward_events(attempt_state& attempt, http_stream& answer,
                                        const answer_metadata& metadata);
    net::awaitable<void> forward_buffered(attempt_state& attempt, http_stream& answer,
                                          const answer_metadata& metadata);
    net::awaitable<bool> begin_forwarded(attempt_state& attempt, const http_stream& answer,
                                         const answer_metadata& metadata);
    [[nodiscard]] refusal make_refusal(const refuse& cmd) const;
    [[nodiscard]] bool has_idempotency_key() const
    {
        return !m_incoming.info.idempotency_key.empty();
    }

    relay_services& m_services;
    http_exchange& m_exchange;
    incoming_request m_incoming;
    std::optional<span> m_admission_span; ///< until the core's first command for it
    std::shared_ptr<command_inbox> m_inbox;
    std::map<attempt_id, attempt_ptr> m_attempts;
    std::string m_delivered_text; ///< of a model's stream, to resume it
    std::optional<buffered_answer> m_buffered_answer;
    timer m_attempt_ended;
    write_turns m_write_turns; ///< of the attempts that write to the caller
    std::size_t m_running_attempts = 0;
    std::optional<std::uint64_t> m_last_event_id; ///< sent to the caller, of a forwarded stream
    request_log m_log;
    http::status m_status = http::status::ok; ///< of the answer to the caller
    std::uint64_t m_event_count = 0;          ///< events written to the caller
    duration m_time_to_first_byte{0};         ///< since the request arrived
    time_point m_last_events_at;              ///< when events were last written
    duration m_max_event_gap{0};              ///< between two writes of events
    bool m_streaming_events = false; ///< the answer to the caller is a stream, and has begun
    bool m_any_attempt_sent = false; ///< some attempt may have reached a backend server
};

} // namespace jaynotch

// The state of one request on its way; private to relay.cc, relay_attempt.cc and relay_forward.cc.
#pragma once

#include "daemon/daemon.h"
#include "daemon/relay.h"
#include "daemon/request_log.h"

#include <optional>

namespace jaynotch {

/// Of a read; the core's timeouts are shorter, this one only bounds what a defect could hold.
constexpr duration max_read_wait = std::chrono::hours{1};
constexpr std::size_t max_event_bytes = 1024 * 1024; ///< bytes, of a stream
constexpr std::string_view event_stream = "text/event-stream";

/// How an answer is handed on.
enum class delivery_mode {
    streamed, ///< as it comes
    whole,    ///< held until it is known to be whole
};

/// One sending of the request.
struct attempt_state {
    send_attempt send_command;
    span client_span;
    boost::asio::cancellation_signal stop;
    http_stream* stream = nullptr; ///< while its answer is read
    bool sent = false;
    bool cancelled = false;
    bool delivering = false;
};

/// An answer held whole until the core says that it is the one.
struct buffered_answer {
    http::status status = http::status::unknown;
    http::fields headers;
    std::string body;
};

class relay_request::impl : public std::enable_shared_from_this<impl> {
public:
    impl(relay_services& services, http_exchange& exchange, incoming_request incoming);

    net::awaitable<void> run();
    /// Tells the core that the request stands still for its caller's sake, not the engine's.
    void report_slow_caller();

private:
    using attempt_ptr = std::shared_ptr<attempt_state>;

    // relay.cc
    void apply_immediately(const command& cmd);
    net::awaitable<bool> execute(const command& cmd);
    void start_attempt(const attempt_ptr& attempt);
    /// As the core decided; cancel() alone leaves no line.
    void cancel_on_command(attempt_state& attempt, cancel_reason why);
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
    /// The head of the backend server's answer. Nothing if the attempt was cancelled or came to
    /// nothing, which has been reported then.
    net::awaitable<std::optional<http_stream>> open_answer(attempt_state& attempt,
                                                           http_request request);
    http_request build_request(const attempt_state& attempt) const;
    http_request build_model_request(const attempt_state& attempt) const;
    http_request build_plain_request(const attempt_state& attempt) const;
    /// What every head says.
    [[nodiscard]] attempt_head make_head(const attempt_state& attempt, const http_stream& answer,
                                         delivery_mode mode) const;
    /// Tells the core; true if the answer is to be handed on.
    bool report_head(attempt_state& attempt, const attempt_head& head);
    bool report_engine_head(attempt_state& attempt, const http_stream& answer, delivery_mode mode);
    void count_foreign_answer();
    void report_finished(const attempt_state& attempt);
    void report_failure(attempt_state& attempt, attempt_failure reason);
    void report_read_failure(attempt_state& attempt, const error& failure);
    net::awaitable<void> relay_events(attempt_state& attempt, http_stream& answer);
    net::awaitable<bool> write_events(attempt_state& attempt, std::string_view events,
                                      std::uint32_t count);
    /// A body of at most `limit` bytes. Nothing if the attempt was cancelled or came to nothing,
    /// which has been reported then.
    net::awaitable<std::optional<std::string>>
    read_full_body(attempt_state& attempt, http_stream& answer, std::size_t limit);
    net::awaitable<void> relay_buffered(attempt_state& attempt, http_stream& answer,
                                        std::size_t limit);
    net::awaitable<void> relay_streamed_body(attempt_state& attempt, http_stream& answer);
    net::awaitable<bool> write_to_caller(attempt_state& attempt, std::string_view piece);
    net::awaitable<bool> begin_answer(attempt_state& attempt, http::status status,
                                      http::fields headers, std::optional<std::uint64_t> length);

    // relay_forward.cc
    net::awaitable<void> forward(attempt_state& attempt);
    http_request build_forwarded_request(const attempt_state& attempt) const;
    void note_limit(const attempt_state& attempt, const answer_facts& facts);
    bool report_forwarded_head(attempt_state& attempt, const http_stream& answer,
                               const answer_facts& facts, delivery_mode mode);
    net::awaitable<void> forward_events(attempt_state& attempt, http_stream& answer,
                                        const answer_facts& facts);
    net::awaitable<void> forward_buffered(attempt_state& attempt, http_stream& answer,
                                          const answer_facts& facts);
    net::awaitable<bool> begin_forwarded(attempt_state& attempt, const http_stream& answer,
                                         const answer_facts& facts);
    [[nodiscard]] refusal make_refusal(const refuse& cmd) const;
    [[nodiscard]] bool has_idempotency_key() const
    {
        return !m_incoming.info.idempotency_key.empty();
    }

    relay_services& m_services;
    http_exchange& m_exchange;
    incoming_request m_incoming;
    std::optional<span> m_admission_span; ///< until the core's first decision on the request
    std::shared_ptr<command_inbox> m_inbox;
    std::map<attempt_id, attempt_ptr> m_attempts;
    std::string m_delivered_text; ///< text of the stream that the caller has been given
    std::optional<buffered_answer> m_buffered_answer;
    timer m_attempt_ended;
    std::size_t m_running_attempts = 0;
    std::optional<std::uint64_t> m_last_event_id; ///< given to the caller, of a forwarded stream
    request_log m_log;
    http::status m_status = http::status::ok; ///< of the answer begun
    std::uint64_t m_event_count = 0;          ///< handed to the caller
    duration m_time_to_first_byte{0};         ///< from the arrival to the first byte
    time_point m_last_events_at;              ///< when some were handed on
    duration m_max_event_gap{0};              ///< between two handings on
    bool m_streaming_events = false;
    bool m_writing = false;
    bool m_any_attempt_sent = false; ///< some attempt may have reached a backend server
};

} // namespace jaynotch

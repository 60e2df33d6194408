// The state of one request on its way; private to relay.cc, relay_attempt.cc and relay_forward.cc.
#pragma once

#include "daemon/daemon.h"
#include "daemon/relay.h"
#include "daemon/request_log.h"

#include <optional>

namespace jaynotch {

/// Of a read; the core's timeouts are shorter, this one only bounds what a defect could hold.
constexpr duration longest_wait = std::chrono::hours{1};
constexpr std::size_t longest_event = 1024 * 1024; ///< bytes, of a stream
constexpr std::string_view event_stream = "text/event-stream";

/// How an answer is handed on.
enum class answer_shape {
    parts, ///< as it comes
    whole, ///< held until it is known to be whole
};

/// One sending of the request.
struct attempt_state {
    send_attempt order;
    span hop;
    boost::asio::cancellation_signal stop;
    http_stream* stream = nullptr; ///< while its answer is read
    bool sent = false;
    bool cancelled = false;
    bool delivering = false;
};

/// An answer held whole until the core says that it is the one.
struct held_answer {
    http::status status = http::status::unknown;
    http::fields headers;
    std::string body;
};

class relay_request::way : public std::enable_shared_from_this<way> {
public:
    way(relay_services& services, http_exchange& exchange, asked_request asked);

    net::awaitable<void> run();
    /// Tells the core that the request stands still for its caller's sake, not the engine's.
    void tell_slow_caller();

private:
    using attempt_ptr = std::shared_ptr<attempt_state>;

    // relay.cc
    void note(const command& wanted);
    net::awaitable<bool> carry_out(const command& wanted);
    void start_attempt(const attempt_ptr& attempt);
    /// As the core decided; cancel() alone leaves no line.
    void give_up(attempt_state& attempt, cancel_reason why);
    void cancel(attempt_state& attempt);
    net::awaitable<void> complete_answer();
    net::awaitable<void> refuse_caller(const refuse& wanted);
    net::awaitable<void> replay_answer(const replay& wanted);
    net::awaitable<void> end_cut(const end_truncated& wanted);
    net::awaitable<void> forget_caller();
    net::awaitable<void> stop_attempts();
    void ended(outcome how);
    void first_byte();

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
    [[nodiscard]] attempt_head head_of(const attempt_state& attempt, const http_stream& answer,
                                       answer_shape shape) const;
    /// Tells the core; true if the answer is to be handed on.
    bool report_head(attempt_state& attempt, const attempt_head& head);
    bool report_engine_head(attempt_state& attempt, const http_stream& answer, answer_shape shape);
    void count_foreign_answer();
    void report_finished(const attempt_state& attempt);
    void report_failure(attempt_state& attempt, attempt_failure reason);
    void report_read_failure(attempt_state& attempt, const error& failure);
    net::awaitable<void> relay_events(attempt_state& attempt, http_stream& answer);
    net::awaitable<bool> hand_on_events(attempt_state& attempt, std::string_view events,
                                        std::uint32_t count);
    /// A body of at most `limit` bytes. Nothing if the attempt was cancelled or came to nothing,
    /// which has been reported then.
    net::awaitable<std::optional<std::string>> read_whole(attempt_state& attempt,
                                                          http_stream& answer, std::size_t limit);
    net::awaitable<void> relay_whole(attempt_state& attempt, http_stream& answer,
                                     std::size_t limit);
    net::awaitable<void> relay_body(attempt_state& attempt, http_stream& answer);
    net::awaitable<bool> hand_on(attempt_state& attempt, std::string_view piece);
    net::awaitable<bool> begin(attempt_state& attempt, http::status status, http::fields headers,
                               std::optional<std::uint64_t> length);

    // relay_forward.cc
    net::awaitable<void> forward(attempt_state& attempt);
    http_request build_forwarded_request(const attempt_state& attempt) const;
    void note_limit(const attempt_state& attempt, const answer_metadata& metadata);
    bool report_forwarded_head(attempt_state& attempt, const http_stream& answer,
                               const answer_metadata& metadata, answer_shape shape);
    net::awaitable<void> forward_events(attempt_state& attempt, http_stream& answer,
                                        const answer_metadata& metadata);
    net::awaitable<void> forward_whole(attempt_state& attempt, http_stream& answer,
                                       const answer_metadata& metadata);
    net::awaitable<bool> begin_forwarded(attempt_state& attempt, const http_stream& answer,
                                         const answer_metadata& metadata);
    [[nodiscard]] refusal shown_to_caller(const refuse& wanted) const;
    [[nodiscard]] bool keyed() const { return !m_asked.info.idempotency_key.empty(); }

    relay_services& m_services;
    http_exchange& m_exchange;
    asked_request m_asked;
    std::optional<span> m_admission; ///< until the core's first decision on the request
    std::shared_ptr<command_inbox> m_inbox;
    std::map<attempt_id, attempt_ptr> m_attempts;
    std::string m_given; ///< text of the stream that the caller has been given
    std::optional<held_answer> m_held;
    timer m_attempt_ended;
    std::size_t m_running = 0;
    std::optional<std::uint64_t> m_last_event; ///< given to the caller, of a forwarded stream
    request_log m_log;
    http::status m_status = http::status::ok; ///< of the answer begun
    std::uint64_t m_events = 0;               ///< handed to the caller
    duration m_first_after{0};                ///< from the arrival to the first byte
    time_point m_last_events;                 ///< when some were handed on
    duration m_longest_pause{0};              ///< between two handings on
    bool m_streaming_events = false;
    bool m_writing = false;
    bool m_sent = false; ///< some attempt may have reached a backend server
};

} // namespace jaynotch

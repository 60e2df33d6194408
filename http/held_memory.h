// Bounds the memory that a node holds for callers and backend servers: heads of requests, bodies
// that may be sent again, answers that are held until they are whole, and parts read ahead of a
// slow caller.
//
//   const auto memory = std::make_shared<held_memory>();
//   memory->set_budget(40'000'000);
//   held_memory::account mine = memory->open();         // one for each connection
//   if (!mine.hold(piece.size(), held_for::body)) ...   // refuse the request
//   mine.release(written);                              // the rest is released with the account
//
// Without a budget everything is granted and still counted.
#pragma once

#include "base/base.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <utility>
#include <vector>

namespace jaynotch {

/// What the memory is for, which decides how much of the budget it may use.
enum class held_for {
    tls,        ///< the buffers of a TLS connection; refused at half of the budget
    input,      ///< bytes that wait to be parsed
    head,       ///< the parsed head of a request; refused if the budget is short
    body,       ///< a request's body; refused if the budget is short
    answer,     ///< an answer that is delivered once it is whole; waits if the budget is short
    read_ahead, ///< parts of an answer that its caller has not taken yet
};

/// Values for metrics.
struct held_memory_counts {
    std::size_t budget = 0; ///< 0: unlimited
    std::size_t bytes = 0;  ///< held now
    std::size_t peak = 0;
    std::uint64_t refused = 0; ///< requests refused since the budget was short
    std::uint64_t paused = 0;  ///< times that reading an answer was paused at its bound
};

class held_memory : public std::enable_shared_from_this<held_memory> {
public:
    /// A connection may hold this much in any case.
    static constexpr std::size_t always_granted = 8 * 1024;

    /// What one connection holds. Released when it is destroyed.
    class account {
    public:
        account() = default;
        account(account&& other) noexcept
            : m_memory{std::exchange(other.m_memory, nullptr)}, m_id{other.m_id},
              m_bytes{std::exchange(other.m_bytes, 0)}
        {}
        account& operator=(account&& other) noexcept;
        account(const account&) = delete;
        account& operator=(const account&) = delete;
        ~account() { close(); }

        /// Adds `bytes`, if the budget allows it. An account that was not opened grants anything.
        bool hold(std::size_t bytes, held_for purpose);
        /// Whether hold() would grant it now.
        [[nodiscard]] bool may_hold(std::size_t bytes, held_for purpose) const;
        /// hold() and may_hold(), but if memory is short and others can free some, these wait for
        /// it for a moment.
        awaitable<bool> hold_or_wait(boost::asio::any_io_executor executor, std::size_t bytes,
                                     held_for purpose);
        awaitable<bool> may_hold_or_wait(boost::asio::any_io_executor executor, std::size_t bytes,
                                         held_for purpose) const;
        void release(std::size_t bytes);
        [[nodiscard]] std::size_t bytes() const { return m_bytes; }

    private:
        friend class held_memory;
        account(std::shared_ptr<held_memory> memory, std::uint64_t id)
            : m_memory{std::move(memory)}, m_id{id}
        {}
        void close();

        std::shared_ptr<held_memory> m_memory;
        std::uint64_t m_id = 0;
        std::size_t m_bytes = 0;
    };

    held_memory() = default;
    held_memory(const held_memory&) = delete;
    held_memory& operator=(const held_memory&) = delete;

    /// 0: unlimited.
    void set_budget(std::size_t bytes) { m_counts.budget = bytes; }
    account open() { return account{shared_from_this(), ++m_last_account}; }
    /// `free_memory` is called when memory is short, as long as `owner` exists; it returns whether
    /// something will be released.
    void on_short(std::weak_ptr<const void> owner, std::function<bool(time_point)> free_memory);
    /// Asks those who can to free some memory; false if nobody can.
    bool reclaim(time_point now);
    void note_refused() { ++m_counts.refused; }
    void note_paused() { ++m_counts.paused; }
    [[nodiscard]] const held_memory_counts& counts() const { return m_counts; }
    /// True if requests were refused since the last report, at most once per second.
    bool report_due(time_point now);

private:
    [[nodiscard]] bool allows(const account& asking, std::size_t bytes, held_for purpose) const;

    struct reclaimer {
        std::weak_ptr<const void> owner;
        std::function<bool(time_point)> free_memory;
    };

    held_memory_counts m_counts;
    std::vector<reclaimer> m_reclaimers;
    std::uint64_t m_reported_refused = 0;
    std::optional<time_point> m_reported_at;
    std::uint64_t m_last_account = 0;
    std::uint64_t m_beyond = 0; ///< id of the account that may exceed the budget; 0: none
};

} // namespace jaynotch

#include "http/held_memory.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// A request's body and what is read ahead may take a fraction of what the other requests leave free
// (dynamic thresholds). The more is held, the lower the bound for each, so the largest are refused
// first and some of the budget always stays free: a request never waits for another's memory while
// it holds some itself.
//
// An answer that is being read can't be refused, since the request has run. It may use all that is
// free. If nothing is, one account may go beyond the budget and the others wait. That one is read
// to its end and delivered or given up, so there is always one that goes on. Its right ends as soon
// as the budget bears what all hold, or it holds little: an account outlives its request.

namespace jaynotch {

namespace {

constexpr std::size_t body_fraction = 2;       // half of what is free
constexpr std::size_t read_ahead_fraction = 8; // an eighth of what is free
constexpr std::chrono::seconds report_interval{1};
/// How long a request waits for the memory of slow clients that are being ended.
constexpr duration max_memory_wait = std::chrono::milliseconds{500};
constexpr duration memory_poll_interval = std::chrono::milliseconds{5};

} // namespace

held_memory::account& held_memory::account::operator=(account&& other) noexcept
{
    if (this != &other) {
        close();
        m_memory = std::exchange(other.m_memory, nullptr);
        m_id = other.m_id;
        m_bytes = std::exchange(other.m_bytes, 0);
    }
    return *this;
}

bool held_memory::account::may_hold(std::size_t bytes, held_for purpose) const
{
    return !m_memory || m_memory->allows(*this, bytes, purpose);
}

bool held_memory::account::hold(std::size_t bytes, held_for purpose)
{
    if (!m_memory)
        return true;
    held_memory_counts& counts = m_memory->m_counts;
    if (!m_memory->allows(*this, bytes, purpose))
        return false;
    const bool beyond = counts.budget > 0 && counts.bytes + bytes > counts.budget;
    if (beyond && purpose == held_for::answer && m_bytes + bytes > always_granted)
        m_memory->m_beyond = m_id;
    m_bytes += bytes;
    counts.bytes += bytes;
    counts.peak = std::max(counts.peak, counts.bytes);
    return true;
}

awaitable<bool> held_memory::account::may_hold_or_wait(boost::asio::any_io_executor executor,
                                                       std::size_t bytes, held_for purpose) const
{
    const time_point until = runtime_clock::now() + max_memory_wait;
    bool will_be_freed = false;
    while (!may_hold(bytes, purpose)) {
        const time_point now = runtime_clock::now();
        will_be_freed = m_memory->reclaim(now) || will_be_freed;
        if (!will_be_freed || now >= until)
            co_return false;
        timer pause{executor, memory_poll_interval};
        boost::system::error_code ignored;
        co_await pause.async_wait(boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    co_return true;
}

awaitable<bool> held_memory::account::hold_or_wait(boost::asio::any_io_executor executor,
                                                   std::size_t bytes, held_for purpose)
{
    const bool granted = co_await may_hold_or_wait(std::move(executor), bytes, purpose);
    if (!granted)
        co_return false;
    co_return hold(bytes, purpose);
}

void held_memory::account::release(std::size_t bytes)
{
    if (!m_memory)
        return;
    const std::size_t released = std::min(bytes, m_bytes);
    m_bytes -= released;
    m_memory->m_counts.bytes -= released;
    const bool within_budget = m_memory->m_counts.bytes <= m_memory->m_counts.budget;
    if (m_memory->m_beyond == m_id && (within_budget || m_bytes <= always_granted))
        m_memory->m_beyond = 0;
}

void held_memory::account::close()
{
    release(m_bytes);
    m_memory.reset();
}

bool held_memory::allows(const account& asking, std::size_t bytes, held_for purpose) const
{
    const std::size_t wanted = asking.m_bytes + bytes;
    if (m_counts.budget == 0 || bytes == 0 || wanted <= always_granted)
        return true;
    const std::size_t others = m_counts.bytes - asking.m_bytes;
    const std::size_t left = m_counts.budget > others ? m_counts.budget - others : 0;
    switch (purpose) {
    case held_for::body:
        return wanted <= left / body_fraction;
    case held_for::input:
    case held_for::read_ahead:
        return wanted <= left / read_ahead_fraction;
    case held_for::head:
        return wanted <= left;
    case held_for::tls:
        return others + wanted <= m_counts.budget / 2;
    case held_for::answer:
        break;
    }
    return wanted <= left || m_beyond == 0 || m_beyond == asking.m_id;
}

void held_memory::on_short(std::weak_ptr<const void> owner,
                           std::function<bool(time_point)> free_memory)
{
    m_reclaimers.push_back({std::move(owner), std::move(free_memory)});
}

bool held_memory::reclaim(time_point now)
{
    std::erase_if(m_reclaimers, [](const reclaimer& one) { return one.owner.expired(); });
    return std::any_of(m_reclaimers.begin(), m_reclaimers.end(),
                       [now](const reclaimer& one) { return one.free_memory(now); });
}

bool held_memory::report_due(time_point now)
{
    const bool recent = m_reported_at && now - *m_reported_at < report_interval;
    if (m_counts.refused == m_reported_refused || recent)
        return false;
    m_reported_refused = m_counts.refused;
    m_reported_at = now;
    return true;
}

} // namespace jaynotch

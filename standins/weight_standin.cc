#include "standins/weight_standin.h"

#include <charconv>

// Each reader reserves the send time of its next piece on one timeline shared by all readers. The
// sum of their rates therefore equals the store's rate for any number of readers, and readers
// alternate.

namespace jaynotch {

namespace http = boost::beast::http;

namespace {

constexpr std::uint64_t piece_bytes = 64 * 1024;
constexpr std::uint64_t max_parts = 4096;

std::uint64_t parse_parts(const std::string& digits)
{
    std::uint64_t parts = 1;
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), parts);
    if (ec != std::errc{} || end != digits.data() + digits.size())
        return 1;
    return std::clamp<std::uint64_t>(parts, 1, max_parts);
}

} // namespace

weight_standin::weight_standin(const boost::asio::any_io_executor& executor,
                               const weight_standin_settings& settings)
    : m_executor{executor}, m_settings{settings}
{}

result<std::shared_ptr<weight_standin>>
weight_standin::start(const boost::asio::any_io_executor& executor,
                      const weight_standin_settings& settings)
{
    std::shared_ptr<weight_standin> standin{new weight_standin{executor, settings}};
    const standin_handler handler = forward_to(standin, &weight_standin::handle);
    BOOST_OUTCOME_TRY(standin->m_server,
                      standin_server::listen(executor, settings.listen, handler));
    return standin;
}

void weight_standin::apply(const fault_change& change)
{
    m_faults.apply(change);
    if (change.rate && *change.rate > 0)
        m_settings.bytes_per_second = *change.rate;
    if (change.kill)
        m_server->set_running(!*change.kill);
}

time_point weight_standin::reserve_send_time(std::uint64_t bytes)
{
    const double seconds =
        static_cast<double>(bytes) / static_cast<double>(m_settings.bytes_per_second);
    m_reserved_until = std::max(m_reserved_until, runtime_clock::now()) +
                       std::chrono::duration_cast<duration>(std::chrono::duration<double>{seconds});
    return m_reserved_until;
}

awaitable<void> weight_standin::send(standin_exchange& exchange, std::uint64_t bytes)
{
    exchange.set("jaynotch-weight-bytes", std::to_string(bytes));
    bool open = co_await exchange.begin_chunks(http::status::ok, "application/octet-stream");
    std::uint64_t bytes_left = bytes;
    while (open && bytes_left > 0 && !m_faults.kill) {
        if (m_faults.pause || m_faults.stall) {
            co_await standin_sleep(m_executor, std::chrono::milliseconds{10});
            continue;
        }
        const std::uint64_t piece = std::min(bytes_left, piece_bytes);
        co_await standin_sleep(m_executor, reserve_send_time(piece) - runtime_clock::now());
        open = co_await exchange.write_chunk(std::string(piece, 'w'));
        bytes_left -= piece;
        m_bytes_served += piece;
    }
    if (open && bytes_left == 0)
        co_await exchange.finish_chunks();
}

awaitable<void> weight_standin::handle(standin_exchange& exchange)
{
    const auto keep = shared_from_this();
    const auto change_faults = [this](const fault_change& change) { apply(change); };
    const bool taken = co_await handle_fault_request(exchange, change_faults);
    if (taken)
        co_return;
    if (co_await apply_faults(m_executor, m_faults, exchange))
        co_return;
    if (!exchange.path().starts_with("/v1/weights/")) {
        co_await exchange.answer(http::status::not_found, "{}");
        co_return;
    }
    const std::uint64_t parts = parse_parts(exchange.query("parts"));
    co_await send(exchange, std::max<std::uint64_t>(1, m_settings.model_bytes / parts));
}

} // namespace jaynotch

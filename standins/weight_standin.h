// Stand-in for the weight store: serves the bytes of a model version at a rate shared by all
// readers.
//
//   auto weights = weight_standin::start(executor, {.bytes_per_second = 50'000'000});
//
// GET /v1/weights/<model>/<version>?parts=N returns one of N equal parts, as read by each member of
// a group of N.
#pragma once

#include "services/services.h"
#include "standins/faults.h"
#include "standins/standin_server.h"

#include <memory>
#include <string>

namespace jaynotch {

struct weight_standin_settings {
    std::string listen = "127.0.0.1:0";
    std::uint64_t bytes_per_second = 50'000'000; ///< of all readers together
    std::uint64_t model_bytes = 4'000'000;       ///< size of a complete model
};

class weight_standin : public std::enable_shared_from_this<weight_standin> {
public:
    static result<std::shared_ptr<weight_standin>>
    start(const boost::asio::any_io_executor& executor, const weight_standin_settings& settings);

    [[nodiscard]] const std::string& address() const { return m_server->address(); }
    void apply(const fault_change& change);
    [[nodiscard]] std::uint64_t bytes_served() const { return m_bytes_served; }

private:
    weight_standin(const boost::asio::any_io_executor& executor,
                   const weight_standin_settings& settings);
    awaitable<void> handle(standin_exchange& exchange);
    awaitable<void> send(standin_exchange& exchange, std::uint64_t bytes);
    /// Reserves bytes on the shared rate; returns the time at which they may be sent.
    time_point reserve_send_time(std::uint64_t bytes);

    boost::asio::any_io_executor m_executor;
    weight_standin_settings m_settings;
    std::shared_ptr<standin_server> m_server;
    fault_state m_faults;
    time_point m_reserved_until;
    std::uint64_t m_bytes_served = 0;
};

} // namespace jaynotch

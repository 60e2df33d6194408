// Runs coroutines to completion in tests.
//
//   test_runtime runtime;
//   result<kv_read> read = runtime.run(kv.get("a"));
#pragma once

#include "base/base.h"
#include "services/services.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

#include <exception>
#include <functional>
#include <optional>

namespace jaynotch {

class test_runtime {
public:
    boost::asio::any_io_executor executor() { return m_io.get_executor(); }

    /// Runs the io_context until `work` is done and returns its result.
    template <class T>
    T run(awaitable<T> work)
    {
        std::optional<T> answer;
        boost::asio::co_spawn(m_io, store_result(std::move(work), answer),
                              [](std::exception_ptr failure) {
                                  if (failure)
                                      std::rethrow_exception(failure);
                              });
        while (!answer)
            run_once();
        return std::move(*answer);
    }

    /// Runs the io_context until `condition` holds; false if it doesn't within `timeout`.
    bool run_until(const std::function<bool()>& condition,
                   std::chrono::milliseconds timeout = std::chrono::seconds{10})
    {
        const auto deadline = std::chrono::steady_clock::now() + timeout;
        while (!condition()) {
            if (std::chrono::steady_clock::now() >= deadline)
                return false;
            run_once();
        }
        return true;
    }

    void run_for(std::chrono::milliseconds step)
    {
        m_io.restart();
        m_io.run_for(step);
    }

private:
    template <class T>
    static awaitable<void> store_result(awaitable<T> work, std::optional<T>& answer)
    {
        answer.emplace(co_await std::move(work));
    }

    void run_once()
    {
        m_io.restart();
        m_io.run_one_for(std::chrono::milliseconds{10});
    }

    boost::asio::io_context m_io{1};
};

} // namespace jaynotch

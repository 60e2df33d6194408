// What a coroutine of this project returns.
#pragma once

#include <boost/asio/awaitable.hpp>

namespace jaynotch {

template <class T>
using awaitable = boost::asio::awaitable<T>;

} // namespace jaynotch

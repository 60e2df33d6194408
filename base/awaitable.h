// Return type of the project's coroutines.
#pragma once

#include <boost/asio/awaitable.hpp>

namespace jaynotch {

template <class T>
using awaitable = boost::asio::awaitable<T>;

} // namespace jaynotch

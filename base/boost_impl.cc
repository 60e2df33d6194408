// The one translation unit that compiles Asio's and Beast's bodies; all others only see
// declarations, which halves the time to compile a file.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>

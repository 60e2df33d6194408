// The only translation unit that compiles the function bodies of Asio and Beast. All others see
// only their declarations, which halves the time to compile a file.
#include <boost/asio/impl/src.hpp>
#include <boost/asio/ssl/impl/src.hpp>
#include <boost/beast/src.hpp>

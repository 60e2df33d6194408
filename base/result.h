// result<T>: a value or an error. Static factories and other functions that can fail return it.
//
//   result<settings> parsed = settings::parse(argv);
//   if (!parsed) report(parsed.error());
//   settings s = std::move(parsed).value();   // throws jaynotch::exception if it is an error
//   BOOST_OUTCOME_TRY(auto s, settings::parse(argv));   // returns an error to the caller
//
// std::expected does not compile with the clang that lints this project, hence Boost.Outcome.
#pragma once

#include "base/error.h"

#include <boost/outcome/basic_result.hpp>
#include <boost/outcome/success_failure.hpp>
#include <boost/outcome/try.hpp>

namespace jaynotch {

/// Boost.Outcome policy: value() of an error throws the error as an exception.
struct throw_on_error : BOOST_OUTCOME_V2_NAMESPACE::policy::base {
    template <class Impl>
    static constexpr void wide_value_check(Impl&& self)
    {
        if (!base::_has_value(self))
            throw exception{base::_error(self)};
    }
    template <class Impl>
    static constexpr void wide_error_check(Impl&& self)
    {
        if (!base::_has_error(self))
            throw exception{
                error{error_kind::internal, "error() was called on a result that has a value", ""}};
    }
    template <class Impl>
    static constexpr void wide_exception_check(Impl&& /*self*/)
    {}
};

template <class T>
using result = BOOST_OUTCOME_V2_NAMESPACE::basic_result<T, error, throw_on_error>;

/// A successful result<void>.
inline auto success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace jaynotch

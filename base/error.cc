#include "base/error.h"

namespace jaynotch {

std::string to_string(const error& failure)
{
    std::string text{to_name(failure.kind)};
    text += ": ";
    text += failure.message;
    if (!failure.remedy.empty()) {
        text += "; ";
        text += failure.remedy;
    }
    return text;
}

exception::exception(error failure)
    : std::runtime_error{to_string(failure)}, m_failure{std::move(failure)}
{}

} // namespace jaynotch

#include "base/environment.h"

#include <absl/flags/reflection.h>

#include <cctype>
#include <cstdlib>

namespace jaynotch {

namespace {
constexpr std::string_view environment_prefix = "JAYNOTCH_";
}

std::string environment_name(std::string_view flag)
{
    std::string name{environment_prefix};
    for (const char letter : flag)
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(letter)));
    return name;
}

result<void> read_environment(std::string_view source_file)
{
    for (const auto& [key, flag] : absl::GetAllFlags()) {
        const std::string name{key.data(), key.size()};
        const std::string variable = environment_name(name);
        const char* value = std::getenv(variable.c_str());
        if (value == nullptr || !std::string_view{flag->Filename()}.ends_with(source_file))
            continue;
        std::string parse_error;
        if (!flag->ParseFrom(value, &parse_error))
            return error{error_kind::invalid_argument,
                         variable + " is \"" + value + "\", which --" + name + " does not accept" +
                             (parse_error.empty() ? "" : " (" + parse_error + ")"),
                         "see --help for the values of --" + name};
    }
    return success();
}

} // namespace jaynotch

#include "peers/payload.h"

namespace jaynotch {

std::uint32_t wire_key(std::string_view name) noexcept
{
    return static_cast<std::uint32_t>(hash64(name));
}

} // namespace jaynotch

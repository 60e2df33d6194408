#include "daemon/descriptors.h"

#include <sys/resource.h>

namespace jaynotch {

std::optional<std::size_t> raise_descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return std::nullopt;
    rlimit raised = limit;
    raised.rlim_cur = raised.rlim_max;
    if (limit.rlim_cur < limit.rlim_max && setrlimit(RLIMIT_NOFILE, &raised) == 0)
        limit = raised;
    if (limit.rlim_cur == RLIM_INFINITY)
        return std::nullopt;
    return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace jaynotch

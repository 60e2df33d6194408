// A request takes a descriptor for its caller and one for its server at the same time. Without a
// bound, kept connections of callers take all of them: then neither the store nor a server can be
// reached, and new callers wait in the listen backlog instead of being refused.
#include "daemon/descriptors.h"

#include <sys/resource.h>

#include <algorithm>

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

std::size_t caller_connections(std::size_t descriptors)
{
    return std::max<std::size_t>(1, descriptors / 2);
}

} // namespace jaynotch

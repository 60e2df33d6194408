#include "daemon/resource_plan.h"

#include "daemon/descriptors.h"

#include <unistd.h>

#include <algorithm>

// Descriptors. A part is for files. Of the rest, two fifths are for callers, since a request needs
// one for its caller and one for its server; what the listed parts leave, a third, is for
// connections to servers, to the store and to other nodes.
//
// Memory. A quarter is for heads, bodies and answers that are held, a quarter for the kernel's
// receive buffers, whose payload may reach twice the size that is set, an eighth for requests in
// flight. Each connection takes `connection_bytes` besides.

namespace jaynotch {

namespace {

constexpr std::size_t file_descriptors = 200;
constexpr std::size_t kib = 1024;
constexpr std::size_t min_socket_buffer = 4 * kib;
constexpr std::size_t max_socket_buffer = 64 * kib;
constexpr std::size_t kernel_factor = 2; ///< payload in a receive buffer by the size that is set
constexpr std::size_t max_operator_connections = 64;
constexpr std::size_t request_bytes = 16 * kib;
constexpr std::size_t connection_bytes = 8 * kib;
constexpr std::size_t max_descriptors = 1'048'576; ///< planned for where the system has no limit

/// A part of the whole, 1 at least.
std::size_t part_of(std::size_t whole, std::size_t divisor)
{
    return std::max<std::size_t>(1, whole / divisor);
}

void plan_descriptors(std::size_t descriptors, resource_plan& plan)
{
    const std::size_t sockets = descriptors - std::min(file_descriptors, descriptors / 4);
    plan.caller_connections = part_of(2 * sockets, 5);
    plan.closing_connections = part_of(sockets, 20);
    plan.relay_connections = part_of(sockets, 10);
    plan.peer_connections = part_of(sockets, 10);
    plan.operator_connections = std::min(max_operator_connections, part_of(sockets, 50));
    plan.requests = part_of(sockets, 4);
}

void plan_memory(std::size_t memory, resource_plan& plan)
{
    const std::size_t kernel = memory / 4;
    const std::size_t most = kernel / (kernel_factor * min_socket_buffer + connection_bytes);
    const auto bound = [](std::size_t& planned, std::size_t bearable) {
        planned = std::min(planned, bearable);
    };
    plan.held_bytes = memory / 4;
    bound(plan.requests, part_of(memory, 8 * request_bytes));
    bound(plan.caller_connections, part_of(most, 2));
    bound(plan.closing_connections, part_of(most, 16));
    bound(plan.relay_connections, part_of(most, 8));
    bound(plan.operator_connections, part_of(most, 32));
    const std::size_t connections = plan.caller_connections + 3 * plan.closing_connections +
                                    plan.relay_connections + 2 * plan.operator_connections;
    plan.socket_buffer_bytes =
        std::clamp(kernel / connections / kernel_factor, min_socket_buffer, max_socket_buffer);
}

std::size_t physical_memory()
{
    const long pages = sysconf(_SC_PHYS_PAGES);
    const long page_bytes = sysconf(_SC_PAGESIZE);
    return pages > 0 && page_bytes > 0
               ? static_cast<std::size_t>(pages) * static_cast<std::size_t>(page_bytes)
               : 0;
}

/// The smaller of two limits, of which 0 means none.
std::size_t smaller(std::size_t one, std::size_t other)
{
    return one == 0 || other == 0 ? one + other : std::min(one, other);
}

} // namespace

resource_plan plan_resources(const machine_resources& machine)
{
    resource_plan plan;
    plan_descriptors(machine.descriptors == 0 ? max_descriptors : machine.descriptors, plan);
    if (machine.memory_bytes > 0)
        plan_memory(machine.memory_bytes, plan);
    return plan;
}

void apply(const resource_plan& plan, daemon_limits& limits)
{
    limits.http.connections = std::min(limits.http.connections, plan.caller_connections);
    limits.http.closing = std::min(limits.http.closing, plan.closing_connections);
    limits.relay_connections = std::min(limits.relay_connections, plan.relay_connections);
    limits.peer_connections = std::min(limits.peer_connections, plan.peer_connections);
    limits.operator_connections = std::min(limits.operator_connections, plan.operator_connections);
    limits.requests = std::min(limits.requests, plan.requests);
    limits.held_bytes = smaller(limits.held_bytes, plan.held_bytes);
    limits.http.socket_buffer_bytes =
        smaller(limits.http.socket_buffer_bytes, plan.socket_buffer_bytes);
}

machine_resources resources_of(const daemon_settings& settings)
{
    return {smaller(settings.limits.memory_bytes, physical_memory()),
            smaller(settings.limits.descriptors, raise_descriptor_limit().value_or(0))};
}

} // namespace jaynotch

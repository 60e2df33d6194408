// Fuzzes the parser of the VM list. Any input must be parsed or refused; a parsed list has no
// duplicate VMs and survives rendering and parsing unchanged.
#include "services/services.h"

#include <cstdlib>
#include <set>

using namespace jaynotch;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size)
{
    const std::string_view body{reinterpret_cast<const char*>(data), size};
    const result<vm_list> list = parse_vm_list(body);
    if (!list)
        return 0;
    std::set<vm_id> seen;
    for (const auto& entry : list.value().vms) {
        if (!seen.insert(entry.vm).second)
            std::abort();
    }
    const result<vm_list> again = parse_vm_list(render_vm_list(list.value()));
    if (!again || !(again.value() == list.value()))
        std::abort();
    return 0;
}

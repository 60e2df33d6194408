// Callers send a list in two lines of the same name, as HTTP allows for lists.
#include "review/kit-2/kit.h"

#include <algorithm>

namespace {

using namespace kit;

int script()
{
    store platform{own_ip(1)};
    platform.put("op/config", configuration(1, "", "", ""));
    const plain_server runner{platform, own_ip(2), {"i-1", "app", "zone-a"}};
    const node entry{{"front-a-1", "zone-a", own_ip(11), platform.address(), {}, "", true}};
    if (!entry.wait_ready(std::chrono::seconds{10}))
        return unable;
    sleep_ms(2'000);
    const std::string name = "Jaynotch-Prompt-Prefix";
    const std::string lines = trouble() ? name + ": 5c1e07a2:800\r\n" + name + ": 91bd3f06:410\r\n"
                                        : name + ": 5c1e07a2:800,91bd3f06:410\r\n";
    record::line("sent:\n" + lines);
    const message answer =
        call(entry.front(), caller_request("POST", "/read/1", "list-1", lines, "hello"),
             std::chrono::seconds{5});
    record::line("answered: " + answer.start);
    std::string got;
    for (const run& each : runner.runs()) {
        for (const auto& [field, value] : each.request.fields) {
            if (field == name)
                got += (got.empty() ? "" : ",") + value;
        }
    }
    record::line("the server got: " + got);
    if (answer.status() != 200)
        return unable;
    return got == "5c1e07a2:800,91bd3f06:410" ? held : broken;
}

} // namespace

int main(int argc, char** argv)
{
    return kit::run_script(argc, argv, script);
}

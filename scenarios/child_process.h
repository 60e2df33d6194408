// A child process of a scenario or soak run. Only the test tools start processes; the daemon never
// does.
//
//   auto child = child_process::start({"build/jaynotchd", "--node=entry-1"}, "entry-1.log");
//   child.value().signal(SIGTERM);
//   if (std::optional<int> code = child.value().poll()) ...
#pragma once

#include "base/base.h"

#include <optional>
#include <string>
#include <vector>

namespace jaynotch {

class child_process {
public:
    /// Starts a program; `arguments` begins with its path. Appends its output to `log_file`.
    static result<child_process> start(const std::vector<std::string>& arguments,
                                       const std::string& log_file);
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(const child_process&) = delete;
    child_process& operator=(const child_process&) = delete;
    /// Kills the process if it is still running.
    ~child_process();

    [[nodiscard]] int pid() const { return m_pid; }
    void signal(int number) const;
    /// Its exit code once it has exited; 128 + signal number if a signal ended it.
    std::optional<int> poll();

private:
    explicit child_process(int pid) : m_pid{pid} {}

    int m_pid = 0;
    std::optional<int> m_code;
};

} // namespace jaynotch

#include "scenarios/child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstring>

namespace jaynotch {

result<child_process> child_process::start(const std::vector<std::string>& arguments,
                                           const std::string& log_file)
{
    std::vector<char*> argv;
    for (const auto& word : arguments)
        argv.push_back(const_cast<char*>(word.c_str()));
    argv.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    constexpr int log_mode = 0644;
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log_file.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, log_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherited a stand-in's listening socket would keep the port open after the
    // stand-in has closed it: callers would hang instead of being refused, and the stand-in
    // could not listen again.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    pid_t pid = 0;
    const int failed = posix_spawn(&pid, argv[0], &actions, nullptr, argv.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failed != 0)
        return error{error_kind::invalid_argument,
                     "cannot start " + arguments.front() + ": " + std::strerror(failed),
                     "build it first and give its folder with --programs"};
    return child_process{pid};
}

child_process::child_process(child_process&& other) noexcept
    : m_pid{std::exchange(other.m_pid, 0)}, m_code{other.m_code}
{}

child_process& child_process::operator=(child_process&& other) noexcept
{
    std::swap(m_pid, other.m_pid);
    std::swap(m_code, other.m_code);
    return *this;
}

child_process::~child_process()
{
    if (m_pid == 0 || m_code)
        return;
    kill(m_pid, SIGKILL);
    waitpid(m_pid, nullptr, 0);
}

void child_process::signal(int number) const
{
    if (m_pid != 0 && !m_code)
        kill(m_pid, number);
}

std::optional<int> child_process::poll()
{
    constexpr int signal_code_base = 128;
    int status = 0;
    if (!m_code && waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_code = WIFEXITED(status) ? WEXITSTATUS(status) : signal_code_base + WTERMSIG(status);
    return m_code;
}

} // namespace jaynotch

#include "hostile/probes.h"

#include "base/base.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <sys/socket.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

namespace jaynotch {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr std::size_t kib = 1024;
constexpr time_t answer_timeout_s = 20;
constexpr std::chrono::milliseconds settle_poll_interval{300};
constexpr int max_settle_polls = 70;

} // namespace

child_process start_daemon(const std::string& prepare, const std::vector<std::string>& flags,
                           const std::string& log_file)
{
    std::vector<std::string> command{"/bin/sh", "-c",
                                     prepare + "; exec setpriv --pdeathsig KILL \"$0\" \"$@\"",
                                     std::string{JAYNOTCH_PROGRAMS} + "/jaynotchd"};
    command.insert(command.end(), flags.begin(), flags.end());
    return child_process::start(command, log_file).value();
}

std::size_t settled(const std::function<std::size_t()>& memory)
{
    std::size_t seen = 0;
    for (int poll = 0; poll < max_settle_polls && memory() != seen; ++poll) {
        seen = memory();
        std::this_thread::sleep_for(settle_poll_interval);
    }
    return seen;
}

std::string port_of(const std::string& address)
{
    return address.substr(address.rfind(':') + 1);
}

std::size_t peak_memory(int pid)
{
    std::ifstream file{"/proc/" + std::to_string(pid) + "/status"};
    std::string word;
    std::size_t amount = 0;
    while (file >> word) {
        if (word == "VmHWM:" && file >> amount)
            return amount * kib;
    }
    return 0;
}

std::size_t unread_bytes(const std::string& address)
{
    constexpr int hexadecimal = 16;
    const unsigned long port = std::stoul(port_of(address));
    std::ifstream file{"/proc/net/tcp"};
    std::string line;
    std::getline(file, line);
    std::size_t sum = 0;
    while (std::getline(file, line)) {
        std::istringstream fields{line};
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        constexpr std::string_view listening = "0A";
        const bool own =
            std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal) == port;
        if (own && state != listening)
            sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
    }
    return sum;
}

std::size_t open_sockets(int pid)
{
    std::size_t count = 0;
    const std::string folder = "/proc/" + std::to_string(pid) + "/fd";
    for (const auto& entry : std::filesystem::directory_iterator{folder}) {
        std::error_code failed;
        const std::string target = std::filesystem::read_symlink(entry.path(), failed).string();
        count += target.starts_with("socket:") ? 1 : 0;
    }
    return count;
}

int status_of_answer(const std::string& address, std::string text)
{
    const std::size_t head_line_end = text.find("\r\n") + 2;
    text.insert(head_line_end, "Connection: close\r\n");
    asio::io_context io;
    tcp::socket socket{io};
    boost::system::error_code failed;
    socket.connect(parse_endpoint(address).value(), failed);
    const timeval timeout{answer_timeout_s, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    if (!failed)
        asio::write(socket, asio::buffer(text), failed);
    std::string answer;
    std::array<char, 4 * kib> buffer{};
    for (ssize_t got = 1; got > 0;) {
        got = recv(socket.native_handle(), buffer.data(), buffer.size(), 0);
        answer.append(buffer.data(), got > 0 ? static_cast<std::size_t>(got) : 0);
    }
    constexpr std::size_t status_at = 9; // behind "HTTP/1.1 "
    return answer.size() > status_at ? std::stoi(answer.substr(status_at)) : 0;
}

} // namespace jaynotch

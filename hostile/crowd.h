// Plain connections to one port that send what a test tells them, without waiting for answers.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

class crowd {
public:
    /// Opens `count` connections to "IP:port". Those that are refused or reset count as closed.
    crowd(const std::string& address, std::size_t count);
    crowd(const crowd&) = delete;
    crowd& operator=(const crowd&) = delete;
    ~crowd();

    /// Sends a text on each connection, until the other end has taken all of it, takes no more or
    /// closes.
    void send_all(std::string_view text);
    /// Sends `piece` on each connection over and over, until the other end takes no more, closes,
    /// or has taken `max_bytes` on each.
    void push(std::string_view piece, std::size_t max_bytes);
    /// Reads what has arrived, and goes on until nothing more arrives.
    void read_arrived();
    /// Sends what is left of `requests` after send_all(), and reads the answers meanwhile, until
    /// `done` returns true or nothing more arrives. Returns how often `mark` was received by then.
    std::size_t exchange(std::string_view requests, std::string_view mark,
                         const std::function<bool()>& done);

private:
    struct client {
        int socket = -1; ///< -1: closed
        std::size_t sent = 0;
    };

    void connect(client& one, const std::string& address);
    /// Sends as much of `piece` over and over as is taken at once.
    void send_some(client& one, std::string_view piece, std::size_t max_bytes);
    /// Adds what has arrived to `text`.
    void read_some(client& one, std::string& text);
    /// Waits until some connection can be read, or written where it has less than `max_bytes` sent.
    bool wait(std::size_t max_bytes, bool for_reading);
    static void close(client& one);

    std::vector<client> m_clients;
};

} // namespace jaynotch

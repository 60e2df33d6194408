#include "peers/peers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <criterion/criterion.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>
#include <unistd.h>

#include <cstdio>
#include <filesystem>

using namespace jaynotch;

namespace {

using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;

/// A key and a certificate, self-signed or signed by an issuer.
struct identity {
    key_ptr key{EVP_EC_gen("P-256"), EVP_PKEY_free};
    certificate_ptr certificate{X509_new(), X509_free};

    explicit identity(const std::string& name, const identity* issuer = nullptr)
    {
        X509* made = certificate.get();
        X509_set_version(made, 2);
        ASN1_INTEGER_set(
            X509_get_serialNumber(made),
            static_cast<long>(hash64(name + std::to_string(issuer != nullptr)) >> 34U));
        X509_gmtime_adj(X509_getm_notBefore(made), -60);
        X509_gmtime_adj(X509_getm_notAfter(made), 3600);
        X509_set_pubkey(made, key.get());
        X509_NAME_add_entry_by_txt(X509_get_subject_name(made), "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char*>(name.c_str()), -1, -1, 0);
        const identity& signer = issuer == nullptr ? *this : *issuer;
        X509_set_issuer_name(made, X509_get_subject_name(signer.certificate.get()));
        extend(issuer == nullptr ? NID_basic_constraints : NID_subject_alt_name,
               issuer == nullptr ? "critical,CA:TRUE" : "DNS:" + name);
        X509_sign(made, signer.key.get(), EVP_sha256());
    }

    void extend(int kind, const std::string& value) const
    {
        X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value.c_str());
        X509_add_ext(certificate.get(), extension, -1);
        X509_EXTENSION_free(extension);
    }
};

class key_folder {
public:
    key_folder()
        : m_path{std::filesystem::temp_directory_path() /
                 ("jaynotch-keys-" + std::to_string(getpid()))}
    {
        std::filesystem::create_directories(m_path);
    }
    ~key_folder() { std::filesystem::remove_all(m_path); }
    key_folder(const key_folder&) = delete;
    key_folder& operator=(const key_folder&) = delete;

    peer_tls_files write(const std::string& name, const identity& own, const identity& authority)
    {
        peer_tls_files files{file(name + ".crt"), file(name + ".key"), file(name + ".ca")};
        write_certificate(files.certificate, own);
        write_certificate(files.authority, authority);
        std::FILE* out = std::fopen(files.key.c_str(), "w");
        PEM_write_PrivateKey(out, own.key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        (void)std::fclose(out);
        return files;
    }

private:
    std::string file(const std::string& name) const { return (m_path / name).string(); }
    static void write_certificate(const std::string& path, const identity& shown)
    {
        std::FILE* out = std::fopen(path.c_str(), "w");
        PEM_write_X509(out, shown.certificate.get());
        (void)std::fclose(out);
    }
    std::filesystem::path m_path;
};

std::unique_ptr<peer_service> start(boost::asio::io_context& io, const std::string& name,
                                    const peer_tls_files& tls, const std::string& seed = {})
{
    peer_settings settings;
    settings.deployment = "test";
    settings.node = node_id{name};
    settings.failure_domain = failure_domain_id{"a"};
    settings.tls = tls;
    if (!seed.empty())
        settings.seeds.push_back(seed);
    auto made = peer_service::create(io, settings);
    cr_assert(made.has_value(), "%s", made ? "" : to_string(made.error()).c_str());
    co_spawn(io, made.value()->run(), boost::asio::detached);
    return std::move(made).value();
}

bool until(boost::asio::io_context& io, const std::function<bool()>& condition, int seconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds{seconds};
    while (!condition() && std::chrono::steady_clock::now() < end)
        io.run_one_for(std::chrono::milliseconds{5});
    return condition();
}

bool knows(const peer_service& viewer, const std::string& name)
{
    for (const member& known : viewer.members()) {
        if (known.node.value() == name && known.state == member_state::alive)
            return true;
    }
    return false;
}

} // namespace

// A process that connects without TLS, with a certificate of another CA, or with another node's
// name in its frames must learn nothing and change nothing.
Test(transport, a_peer_without_a_valid_certificate_learns_and_changes_nothing)
{
    boost::asio::io_context io;
    key_folder folder;
    const identity authority{"authority"};
    const identity stranger_authority{"stranger-authority"};
    const auto first = start(io, "n1", folder.write("n1", identity{"n1", &authority}, authority));
    const auto second = start(io, "n2", folder.write("n2", identity{"n2", &authority}, authority),
                              first->address());
    cr_assert(until(
        io, [&] { return knows(*first, "n2") && knows(*second, "n1"); }, 10));

    const auto plain = start(io, "n3", {}, first->address());
    const auto foreign =
        start(io, "n4", folder.write("n4", identity{"n4", &stranger_authority}, stranger_authority),
              first->address());
    const auto forger = start(io, "n6", folder.write("n5", identity{"n5", &authority}, authority),
                              first->address());
    cr_assert(until(
        io,
        [&] {
            return first->counters().peers_refused >= 2 && first->counters().frames_refused >= 1;
        },
        10));
    cr_assert_eq(first->members().size(), 2U);
    cr_assert_eq(plain->members().size(), 1U);
    cr_assert_eq(foreign->members().size(), 1U);
    cr_assert_eq(forger->members().size(), 1U);
}

// Certificates are replaced while nodes run. The new files must be loaded without a restart, the
// nodes must stay connected, and a node whose certificate the new CA did not sign must be rejected.
Test(transport, keys_rotate_without_a_restart)
{
    boost::asio::io_context io;
    key_folder folder;
    const identity old_authority{"old-authority"};
    const identity new_authority{"new-authority"};
    const auto first =
        start(io, "n1", folder.write("n1", identity{"n1", &old_authority}, old_authority));
    const auto second =
        start(io, "n2", folder.write("n2", identity{"n2", &old_authority}, old_authority),
              first->address());
    cr_assert(until(
        io, [&] { return knows(*first, "n2") && knows(*second, "n1"); }, 10));
    // Replaces the certificates and the CA at once. peer_tls.cc describes the rotation without
    // interruption.
    folder.write("n1", identity{"n1", &new_authority}, new_authority);
    folder.write("n2", identity{"n2", &new_authority}, new_authority);
    const auto newcomer =
        start(io, "n3", folder.write("n3", identity{"n3", &new_authority}, new_authority),
              first->address());
    cr_assert(until(
        io, [&] { return knows(*newcomer, "n1") && knows(*second, "n3"); }, 15));
    const std::uint64_t refused = first->counters().peers_refused;
    const auto rejected =
        start(io, "n4", folder.write("n4", identity{"n4", &old_authority}, old_authority),
              first->address());
    cr_assert(until(
        io, [&] { return first->counters().peers_refused > refused; }, 10));
    cr_assert_not(knows(*first, "n4"));
    cr_assert(until(
        io, [&] { return knows(*first, "n2") && knows(*second, "n1"); }, 15));
}

// A peer stops reading. The queue to it must stay bounded, and further frames must be dropped and
// counted.
Test(transport, a_peer_that_does_not_read_blocks_nothing)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor unread{io, {boost::asio::ip::address_v4::loopback(), 0}};
    auto transport = peer_transport::create(io, {"127.0.0.1:0", {}, 16}).value();
    const std::string address = "127.0.0.1:" + std::to_string(unread.local_endpoint().port());
    for (int i = 0; i < 400; ++i) {
        transport->send(node_id{"deaf"}, address, std::string(200'000, 'x'), frame_priority::bulk);
        io.poll();
    }
    cr_assert_gt(transport->counters().frames_dropped, 300U);
}

// The link to a peer is full of bulk frames. Guards against a control frame, such as a changed
// configuration, that waits until all of them are sent.
Test(transport, a_control_frame_overtakes_queued_bulk_frames)
{
    boost::asio::io_context io;
    boost::asio::ip::tcp::acceptor acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}};
    auto transport = peer_transport::create(io, {"127.0.0.1:0", {}, 16}).value();
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    constexpr int bulk_frames = 20;
    constexpr std::size_t bulk_bytes = 200'000;
    for (int i = 0; i < bulk_frames; ++i)
        transport->send(node_id{"peer"}, address, std::string(bulk_bytes, 'b'),
                        frame_priority::bulk);
    boost::asio::ip::tcp::socket peer{io};
    acceptor.async_accept(peer, [](const boost::system::error_code&) {});
    cr_assert(until(
        io, [&] { return transport->counters().queued_bytes < bulk_frames * bulk_bytes; }, 5));
    transport->send(node_id{"peer"}, address, "c", frame_priority::control);

    std::string received;
    std::array<char, 65'536> piece{};
    std::function<void()> read_more = [&] {
        peer.async_read_some(boost::asio::buffer(piece),
                             [&](const boost::system::error_code& failed, std::size_t count) {
                                 received.append(piece.data(), count);
                                 if (!failed)
                                     read_more();
                             });
    };
    read_more();
    constexpr std::size_t all = bulk_frames * (bulk_bytes + 4) + 1 + 4;
    cr_assert(until(
        io, [&] { return received.size() == all; }, 10));
    cr_assert_lt(received.find('c'), 10 * bulk_bytes, "at %zu of %zu", received.find('c'), all);
    peer.close();
    transport->stop();
    io.poll();
}

namespace {

/// A peer that reads frames and acknowledges them until it falls silent: the connections that are
/// open then stay open, and it reads and acknowledges nothing more on them.
class raw_peer {
public:
    explicit raw_peer(boost::asio::io_context& io)
        : m_acceptor{io, {boost::asio::ip::address_v4::loopback(), 0}}
    {
        co_spawn(io, accept(), boost::asio::detached);
    }

    [[nodiscard]] std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }
    void fall_silent() { m_silent_connections = connections; }

    int connections = 0;
    std::vector<std::string> frames; ///< received

private:
    boost::asio::awaitable<void> accept()
    {
        for (;;) {
            auto socket = co_await m_acceptor.async_accept(boost::asio::use_awaitable);
            co_spawn(m_acceptor.get_executor(), serve(std::move(socket), ++connections),
                     boost::asio::detached);
        }
    }

    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket, int number)
    {
        constexpr std::size_t prefix_bytes = 4;
        std::string received;
        for (;;) {
            std::array<char, 1'024> piece{};
            boost::system::error_code ended;
            const std::size_t count = co_await socket.async_read_some(
                boost::asio::buffer(piece),
                boost::asio::redirect_error(boost::asio::use_awaitable, ended));
            if (ended)
                co_return;
            if (number <= m_silent_connections)
                continue;
            received.append(piece.data(), count);
            for (; received.size() >= prefix_bytes;) {
                const auto length = static_cast<unsigned char>(received[prefix_bytes - 1]);
                if (received.size() < prefix_bytes + length)
                    break;
                frames.push_back(received.substr(prefix_bytes, length));
                received.erase(0, prefix_bytes + length);
                co_await boost::asio::async_write(socket, boost::asio::buffer("\0", 1),
                                                  boost::asio::use_awaitable);
            }
        }
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    int m_silent_connections = 0;
};

} // namespace

// Guards against believing in a connection that passes nothing more and is not closed, and against
// the loss of what was sent on it.
Test(transport, frames_on_a_silent_connection_are_sent_again_on_a_new_one)
{
    boost::asio::io_context io;
    raw_peer peer{io};
    const auto transport = peer_transport::create(io, {"127.0.0.1:0", {}, 16}).value();
    const auto send = [&](const std::string& frame) {
        transport->send(node_id{"peer"}, peer.address(), frame, frame_priority::control);
    };
    send("first");
    cr_assert(until(
        io, [&] { return peer.frames.size() == 1; }, 5));
    peer.fall_silent();
    send("second");
    send("third");
    cr_assert(until(
        io, [&] { return peer.frames.size() == 3; }, 2));
    cr_assert_eq(peer.frames[1], "second");
    cr_assert_eq(peer.frames[2], "third");
    cr_assert_eq(peer.connections, 2);
    cr_assert_eq(transport->counters().connections_silent, 1U);
    transport->stop();
    io.poll();
}

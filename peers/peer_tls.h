// The keys of mutual TLS between daemons, read again when their files change.
#pragma once

#include "base/base.h"

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace jaynotch {

/// PEM files of mutual TLS; read again when they change. All empty for plain TCP.
struct peer_tls_files {
    std::string certificate; ///< this node's; its name stands first among the DNS names of its SAN
    std::string key;
    std::string authority; ///< who signs the peers' certificates; several while one is rotated

    [[nodiscard]] bool empty() const { return certificate.empty() && key.empty(); }
};

/// A TLS context made from the files, and when they were read.
class tls_credentials {
public:
    /// Errors: invalid_argument if a file can't be read or key and certificate don't match.
    static result<tls_credentials> load(peer_tls_files files);

    /// Reads the files again if one has changed; true if the context is a new one. Files that are
    /// half written or don't match leave the old context in place, with a warning in the log.
    bool refresh();
    [[nodiscard]] const std::shared_ptr<boost::asio::ssl::context>& context() const
    {
        return m_context;
    }

private:
    struct stamp {
        std::filesystem::file_time_type written;
        std::uintmax_t size = 0;
        friend bool operator==(const stamp&, const stamp&) = default;
    };
    struct stamps {
        stamp certificate;
        stamp key;
        stamp authority;
        friend bool operator==(const stamps&, const stamps&) = default;
    };
    static stamp stamp_of(const std::string& path);
    static stamps stamps_of(const peer_tls_files& files);
    static result<std::shared_ptr<boost::asio::ssl::context>>
    make_context(const peer_tls_files& files);

    peer_tls_files m_files;
    stamps m_stamps;
    std::shared_ptr<boost::asio::ssl::context> m_context;
};

/// The node that the other side's certificate names: the first DNS name of its subjectAltName.
/// Empty if it has none.
node_id name_in_certificate(SSL* connection);

} // namespace jaynotch

// Certificates and keys for mutual TLS between daemons, reloaded when their files change.
#pragma once

#include "base/base.h"

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>

#include <cstdint>
#include <filesystem>
#include <memory>
#include <string>

namespace jaynotch {

/// PEM files for mutual TLS. All empty for plain TCP.
struct peer_tls_files {
    std::string certificate; ///< of this node, whose name must be the first DNS name in its SAN
    std::string key;         ///< private key of the certificate
    std::string authority;   ///< CA certificates for verifying peers; several during rotation

    [[nodiscard]] bool empty() const { return certificate.empty() && key.empty(); }
};

/// A TLS context created from the files, and the version of the files that it was created from.
class tls_credentials {
public:
    /// Errors: invalid_argument if a file can't be read or the key doesn't match the certificate.
    static result<tls_credentials> load(peer_tls_files files);

    /// Reloads the files if one has changed. Returns true if the context was replaced. Files that
    /// are incomplete or don't match are logged as a warning, and the old context stays in use.
    bool refresh();
    [[nodiscard]] const std::shared_ptr<boost::asio::ssl::context>& context() const
    {
        return m_context;
    }

private:
    /// Identifies a version of a file.
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

/// Returns the node name in the peer's certificate: the first DNS name of its subjectAltName. Empty
/// if there is none.
node_id name_in_certificate(SSL* connection);

} // namespace jaynotch

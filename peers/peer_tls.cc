// Mutual TLS: both sides must present a certificate signed by the configured CA. A process without
// one fails the handshake, before any frame is sent to it or read from it.
//
// Certificates can be rotated without a restart. To keep all nodes connected, first install a CA
// file with the old and the new CA certificate on every node, then the new node certificates, then
// the CA file without the old one.
#include "peers/peer_tls.h"

#include <openssl/x509v3.h>

namespace jaynotch {

namespace ssl = boost::asio::ssl;

namespace {

error unusable_file(const std::string& path, const std::string& why)
{
    return {error_kind::invalid_argument, "can't use peer TLS file " + path + ": " + why,
            "provide the certificate, its private key and the CA certificate as PEM files"};
}

} // namespace

result<tls_credentials> tls_credentials::load(peer_tls_files files)
{
    tls_credentials keys;
    keys.m_stamps = stamps_of(files);
    BOOST_OUTCOME_TRY(keys.m_context, make_context(files));
    keys.m_files = std::move(files);
    return keys;
}

bool tls_credentials::refresh()
{
    const stamps now = stamps_of(m_files);
    if (now == m_stamps)
        return false;
    auto fresh = make_context(m_files);
    if (!fresh) {
        log_event(log_level::warning, "peer_keys_unusable", {{"error", to_string(fresh.error())}});
        return false;
    }
    m_stamps = now;
    m_context = std::move(fresh).value();
    log_event(log_level::info, "peer_keys_reloaded", {{"certificate", m_files.certificate}});
    return true;
}

tls_credentials::stamp tls_credentials::stamp_of(const std::string& path)
{
    std::error_code missing;
    const auto written = std::filesystem::last_write_time(path, missing);
    const auto size = std::filesystem::file_size(path, missing);
    return missing ? stamp{} : stamp{written, size};
}

tls_credentials::stamps tls_credentials::stamps_of(const peer_tls_files& files)
{
    return {stamp_of(files.certificate), stamp_of(files.key), stamp_of(files.authority)};
}

result<std::shared_ptr<ssl::context>> tls_credentials::make_context(const peer_tls_files& files)
{
    auto context = std::make_shared<ssl::context>(ssl::context::tls);
    context->set_options(ssl::context::default_workarounds | ssl::context::no_sslv2 |
                         ssl::context::no_sslv3 | ssl::context::no_tlsv1 |
                         ssl::context::no_tlsv1_1);
    // Most connections are idle most of the time. Releases their buffers meanwhile.
    SSL_CTX_set_mode(context->native_handle(), SSL_MODE_RELEASE_BUFFERS);
    SSL_CTX_set_session_cache_mode(context->native_handle(), SSL_SESS_CACHE_OFF);
    SSL_CTX_set_num_tickets(context->native_handle(), 0);
    boost::system::error_code failed;
    context->use_certificate_chain_file(files.certificate, failed);
    if (failed)
        return unusable_file(files.certificate, failed.message());
    context->use_private_key_file(files.key, ssl::context::pem, failed);
    if (failed)
        return unusable_file(files.key, failed.message());
    context->load_verify_file(files.authority, failed);
    if (failed)
        return unusable_file(files.authority, failed.message());
    context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert, failed);
    if (failed)
        return unusable_file(files.authority, failed.message());
    return context;
}

node_id name_in_certificate(SSL* connection)
{
    X509* certificate = SSL_get0_peer_certificate(connection);
    if (certificate == nullptr)
        return {};
    auto* names = static_cast<GENERAL_NAMES*>(
        X509_get_ext_d2i(certificate, NID_subject_alt_name, nullptr, nullptr));
    node_id verified_name;
    for (int i = 0; names != nullptr && i < sk_GENERAL_NAME_num(names); ++i) {
        const GENERAL_NAME* name = sk_GENERAL_NAME_value(names, i);
        if (name->type != GEN_DNS)
            continue;
        const auto* text = reinterpret_cast<const char*>(ASN1_STRING_get0_data(name->d.dNSName));
        const int length = ASN1_STRING_length(name->d.dNSName);
        verified_name = node_id{std::string(text, static_cast<std::size_t>(length))};
        break;
    }
    GENERAL_NAMES_free(names);
    return verified_name;
}

} // namespace jaynotch

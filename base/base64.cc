// Decodes with OpenSSL, since Beast's decoder stops without an error at the first character that is
// not base64. OpenSSL counts padding as decoded bytes, so the padding is subtracted from the
// length.
#include "base/base64.h"

#include <boost/beast/core/detail/base64.hpp>
#include <openssl/evp.h>

namespace jaynotch {

std::string base64_encode(std::string_view bytes)
{
    namespace base64 = boost::beast::detail::base64;
    std::string text(base64::encoded_size(bytes.size()), '\0');
    text.resize(base64::encode(text.data(), bytes.data(), bytes.size()));
    return text;
}

result<std::string> base64_decode(std::string_view text)
{
    const error malformed{error_kind::protocol, "malformed base64", "check the sender"};
    if (text.size() % 4 != 0)
        return malformed;
    if (text.empty())
        return std::string{};
    std::string bytes(text.size() / 4 * 3, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                                       reinterpret_cast<const unsigned char*>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        return malformed;
    const std::size_t padding = text.ends_with("==") ? 2 : (text.ends_with("=") ? 1 : 0);
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace jaynotch

// Base64 with padding (RFC 4648, section 4).
//
//   base64_encode("hi");             // "aGk="
//   base64_decode("aGk=").value();   // "hi"
#pragma once

#include "base/result.h"

#include <string>
#include <string_view>

namespace jaynotch {

std::string base64_encode(std::string_view bytes);
/// Returns a protocol error if `text` is not valid base64.
result<std::string> base64_decode(std::string_view text);

} // namespace jaynotch

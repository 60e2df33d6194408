// Hashes: XXH3 for placing and finding, SHA-256 (OpenSSL) for naming content, and rendezvous
// hashing for letting every node choose the same few of many without talking.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// Fast 64-bit hash (XXH3); not for anything an adversary may choose.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// SHA-256 of `bytes` in lower-case hexadecimal, 64 characters.
std::string content_digest(std::string_view bytes);

/// The indices of the `count` candidates that rank highest for `key`, best first. A candidate that
/// comes or goes changes only the choices it takes part in (highest random weight hashing, Thaler
/// and Ravishankar 1998).
std::vector<std::size_t> rendezvous(std::string_view key, std::span<const std::string> candidates,
                                    std::size_t count);

} // namespace jaynotch

// Hashes: XXH3 for placement and lookup, SHA-256 (OpenSSL) for content digests, and rendezvous
// hashing, by which all nodes select the same candidates for a key without communicating.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// Fast 64-bit hash (XXH3). Not collision-resistant, so not for input that an adversary chooses.
std::uint64_t hash64(std::string_view bytes, std::uint64_t seed = 0) noexcept;

/// SHA-256 of `bytes` in lower-case hexadecimal, 64 characters.
std::string content_digest(std::string_view bytes);

/// Indices of the `count` candidates that rank highest for `key`, best first. Adding or removing a
/// candidate changes only the selections that include it (highest random weight hashing, Thaler and
/// Ravishankar 1998).
std::vector<std::size_t> rendezvous(std::string_view key, std::span<const std::string> candidates,
                                    std::size_t count);

} // namespace jaynotch

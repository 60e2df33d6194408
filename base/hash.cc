#include "base/hash.h"

#include <openssl/sha.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <numeric>

namespace jaynotch {

std::uint64_t hash64(std::string_view bytes, std::uint64_t seed) noexcept
{
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string content_digest(std::string_view bytes)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> raw{};
    SHA256(reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size(), raw.data());
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(raw.size() * 2);
    for (const unsigned char byte : raw) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

std::vector<std::size_t> rendezvous(std::string_view key, std::span<const std::string> candidates,
                                    std::size_t count)
{
    const std::uint64_t seed = hash64(key);
    std::vector<std::uint64_t> weights;
    weights.reserve(candidates.size());
    for (const std::string& candidate : candidates)
        weights.push_back(hash64(candidate, seed));

    std::vector<std::size_t> order(candidates.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    const std::size_t kept = std::min(count, order.size());
    const auto middle = order.begin() + static_cast<std::ptrdiff_t>(kept);
    // Equal weights are ordered by name, so that the result does not depend on the input's order.
    std::partial_sort(order.begin(), middle, order.end(), [&](std::size_t a, std::size_t b) {
        return weights[a] != weights[b] ? weights[a] > weights[b] : candidates[a] < candidates[b];
    });
    order.resize(kept);
    return order;
}

} // namespace jaynotch

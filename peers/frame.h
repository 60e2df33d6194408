// Frames as bytes: encode, and decode with every bound checked.
//
//   std::string bytes = encode_frame(frame);
//   result<wire::frame> frame = decode_frame(bytes);   // protocol error if truncated or oversized
#pragma once

#include "base/base.h"
#include "outside/runner.h"
#include "peers/gen/peers_types.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace jaynotch {

/// Version of the frame that this build writes.
inline constexpr std::int8_t frame_version = 1;
/// Largest frame, bytes; a configuration reply is cut to fit.
inline constexpr std::size_t max_frame_bytes = 1U << 20U;
/// Largest list in a frame; more is refused.
inline constexpr std::size_t max_frame_items = 4096;
/// Largest name in a frame, bytes.
inline constexpr std::size_t max_frame_name = 256;

std::string encode_frame(const wire::frame& frame);

/// Errors: protocol (truncated, oversized, not Thrift, names or lists over their bounds).
result<wire::frame> decode_frame(std::string_view bytes);

/// Asks a peer for its head, if newer than `base`, or for pages by digest.
struct config_request {
    config_revision base;
    std::vector<std::string> digests;
};

struct config_page {
    std::string digest;
    std::string bytes;
};

/// Head record of `revision` as it stands in the key-value service, and pages.
struct config_reply {
    config_revision revision;
    std::string head; ///< empty if only pages were asked for, or if there is a delta
    std::vector<config_page> pages;
    std::string delta; ///< what turns the asker's base into the head, if the base is known
};

/// A peer's installed revision, from any frame of its.
struct config_digest {
    config_revision revision;
    bool platform_lost = false;
};

using config_body = std::variant<config_digest, config_request, config_reply>;

/// What the configuration's spread hears from a peer.
struct config_message {
    node_id from;
    config_body body;
};

/// A key of the platform and its value as of `revision`.
struct relayed_key {
    std::string key;
    std::int64_t revision = 0;
    std::string value;

    friend bool operator==(const relayed_key&, const relayed_key&) = default;
};

struct known_key {
    std::uint32_t key = 0; ///< wire_key of the key
    std::int64_t revision = 0;
};

/// Asks a peer for what is newer than `known`: the wanted keys, or all if none are named.
struct key_request {
    std::vector<known_key> known;
    std::vector<std::uint32_t> wanted;
};

struct key_reply {
    std::vector<relayed_key> entries;
    /// How long ago the platform answered the sender; in the last part of a push.
    std::optional<duration> store_age;
    /// Counts the parts of the sender's pushes; nullopt in an answer.
    std::optional<std::int64_t> push_number;
    /// Answers a comparison of all keys, and nothing that the sender has newer was left out.
    bool complete = false;
};

using key_body = std::variant<key_request, key_reply>;

/// What the relay of keys hears from a peer.
struct key_message {
    node_id from;
    key_body body;
};

/// "Does this backend server answer you?"
struct server_question {
    vm_id vm;
    std::string address; ///< "IP:port"
};

struct server_answer {
    vm_id vm;
    bool answers = false;
};

/// "Does the platform's store answer you? I manage this failure domain."
struct store_question {
    failure_domain_id domain;
    std::int64_t round = 0; ///< of the asker's questions; comes back with the answer
};

struct store_answer {
    failure_domain_id domain;
    std::int64_t round = 0;
    bool reached = false;
};

using server_body =
    std::variant<server_question, server_answer, runner_word, store_question, store_answer>;

/// What a peer asks or says of a backend server, or of the store that they register in.
struct server_message {
    node_id from;
    server_body body;
};

} // namespace jaynotch

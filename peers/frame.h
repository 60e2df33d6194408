// Encoding and decoding of the frames between daemons, and the messages to single nodes that frames
// carry, as typed values. Decoding checks the size of every name and list.
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

/// Frame version written by this build.
inline constexpr std::int8_t frame_version = 1;
/// Maximum size of a frame in bytes: the largest value that the platform's store accepts, with its
/// key and the frame's other fields. Configuration replies are split to fit.
inline constexpr std::size_t max_frame_bytes = (1U << 20U) + (64U << 10U);
/// Maximum number of elements in a list; frames with longer lists are rejected.
inline constexpr std::size_t max_frame_items = 4096;
/// Maximum size of a name in bytes.
inline constexpr std::size_t max_frame_name = 256;

/// The order in which frames to the same peer are sent. Bulk frames, which carry many entries of
/// the store, wait while other frames are queued.
enum class frame_priority { control, bulk };

std::string encode_frame(const wire::frame& frame);

/// Errors: protocol (truncated, oversized, not Thrift, a name or list above its maximum size, no
/// sender).
result<wire::frame> decode_frame(std::string_view bytes);

/// Requests a peer's head if it is newer than `base`, or pages by digest.
struct config_request {
    config_revision base;
    std::vector<std::string> digests;
};

struct config_page {
    std::string digest;
    std::string bytes;
};

/// The head record of `revision` as stored in the key-value service, and pages.
struct config_reply {
    config_revision revision;
    std::string head; ///< empty if only pages were requested or `delta` is set
    std::vector<config_page> pages;
    std::string delta; ///< from the requester's base to the head, if known
};

/// The revision that a peer has installed; part of each of its frames.
struct config_digest {
    config_revision revision;
    bool platform_lost = false;
};

using config_body = std::variant<config_digest, config_request, config_reply>;

/// A message about the configuration from a peer.
struct config_message {
    node_id from;
    config_body body;
};

/// A key of the platform with its value at `revision`.
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

/// Requests entries newer than `known`: of the keys `wanted` (as wire_key), or of all keys if it is
/// empty.
struct key_request {
    std::vector<known_key> known;
    std::vector<std::uint32_t> wanted;
};

/// The platform's store has had no outage from `steady` ago until `heard` ago, when it last
/// answered the sender or one of its neighbours.
struct store_record {
    duration steady{0};
    duration heard{0};
};

struct key_reply {
    std::vector<relayed_key> entries;
    /// Time since the platform answered the sender; set in the last part of a push.
    std::optional<duration> store_age;
    /// Sequence number among the parts of the sender's pushes; nullopt in replies to requests.
    std::optional<std::int64_t> push_number;
    /// The reply to a request for all keys that contains every newer entry of the sender.
    bool complete = false;
    /// Of a reply: number of the sender's last push before it. Later pushes may arrive earlier.
    std::optional<std::int64_t> last_push = {};
    /// Nodes to which the receiver sends it on.
    std::vector<node_id> forward_to = {};
    /// Node whose push this is, if the sender forwards it.
    std::optional<node_id> origin = {};
    std::optional<store_record> store = {};
    /// How long the sender took to read everything from the platform. A reply with it and nothing
    /// else announces that.
    std::optional<duration> reading_took = {};
};

using key_body = std::variant<key_request, key_reply>;

/// A message of the key relay from a peer.
struct key_message {
    node_id from;
    key_body body;
    /// By how much the frame took longer than the fastest one from the same peer.
    duration delay{0};
};

/// Asks whether a backend server responds to the receiver.
struct server_question {
    vm_id vm;
    std::string address; ///< "IP:port"
};

struct server_answer {
    vm_id vm;
    bool answers = false;
};

/// Asks whether the platform's store responds to the receiver. Sent by the manager of `domain`.
struct store_question {
    failure_domain_id domain;
    std::int64_t round = 0; ///< number of the sender's inquiry; copied into the answer
};

struct store_answer {
    failure_domain_id domain;
    std::int64_t round = 0;
    bool reached = false;
};

/// Tells the manager of the head's failure domain that the head's group sends the sender no output
/// although requests of the sender are waiting for it.
struct unresponsive_head {
    vm_id vm;
};

using server_body = std::variant<server_question, server_answer, runner_word, store_question,
                                 store_answer, unresponsive_head>;

/// A message from a peer about a backend server, a runner or the platform's store.
struct server_message {
    node_id from;
    server_body body;
};

} // namespace jaynotch

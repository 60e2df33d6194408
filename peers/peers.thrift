// Frames between daemons: Thrift's compact protocol. A field that a reader doesn't know is
// skipped; `version` says which fields the sender knew. Fields are never renumbered or reused.
// Names are hashed to 32 bits (wire_key) where the reader knows the names anyway.
namespace cpp jaynotch.wire

enum frame_kind {
  ping = 1            // asks for an ack; carries rumors
  ack = 2
  ping_request = 3    // "ping `subject` for me"
  rumor = 4           // rumors that could not wait for the next ping
  sync_request = 5    // "send me the whole member table"
  sync_reply = 6
  config_request = 7
  config_reply = 8
  key_request = 9
  key_reply = 10
  server_question = 11
  server_answer = 12
  runner_word = 13
  store_question = 14
  store_answer = 15
}

enum member_state { alive = 1, suspect = 2, dead = 3, left = 4 }

struct member_update {
  1: string node
  2: string failure_domain
  3: string address
  4: i64 boot
  5: i32 incarnation
  6: member_state state
}

// Revision that the sender has installed; rides on every frame.
struct config_digest {
  1: i64 revision
  2: optional bool platform_lost   // the sender can't reach the key-value service
}

// What some node has installed.
struct confirmation {
  1: i32 node
  2: i64 revision
  3: optional bool platform_lost
  4: i16 age
}

// One group's completeness ticket, as a watcher of the group saw it `age` ago.
struct ticket_digest {
  1: i32 group
  2: i64 fencing
  3: i16 load          // per mille of capacity
  4: bool complete
  5: i16 age           // tenths of a second
}

// What one node has in flight and admits for a workspace of a pool.
struct demand {
  1: i32 node
  2: i32 pool
  3: i32 workspace
  4: i32 in_flight
  5: i32 arrivals      // requests in the last second, times ten
  6: i16 age
}

// A backend server that takes no new work.
struct leaving {
  1: string server
  2: i16 age
}

// What a backend server takes of all nodes together; without a rate it names no limit any more.
struct server_limit {
  1: string server
  2: optional i32 per_second_milli
  3: i16 age
}

// Asks for the head that `base` lacks, or for pages by digest.
struct config_request {
  1: i64 base
  2: optional list<string> digests
}

struct config_page {
  1: string digest
  2: binary bytes
}

// A key of the platform that some nodes watch and the others hear of, at its newest revision.
struct key_notice {
  1: i32 key           // hash of the key
  2: i64 revision
  3: i16 age
}

struct known_key {
  1: i32 key
  2: i64 revision
}

// Asks for the keys that are newer than `known`: the wanted ones, or all if none are named.
struct key_request {
  1: list<known_key> known
  2: optional list<i32> wanted
}

struct key_value {
  1: string key
  2: i64 revision
  3: binary value
}

struct key_reply {
  1: list<key_value> entries
  2: optional i32 store_age_ms  // the sender follows the store, which answered it this long ago
  3: optional i64 push_number   // of a push; one that is missing was lost
  4: optional bool complete     // answers a comparison of all keys, and nothing newer was left out
}

// `head` is the head record of `revision` as it stands in the key-value service.
struct config_reply {
  1: i64 revision
  2: optional binary head
  3: optional list<config_page> pages
  4: optional binary delta         // what changed in the head since the asker's base
}

// "Does this backend server answer you?"
struct server_question {
  1: string vm
  2: string address
}

struct server_answer {
  1: string vm
  2: bool answers
}

// What a runner says of its group while the registry is dark.
struct runner_word {
  1: string vm
  2: i64 born_ms
  3: bool grouped
  4: string group
  5: i64 epoch
  6: i32 rank
  7: string phase
  8: string model
}

// "Does the platform's store answer you? I manage this failure domain."
struct store_question {
  1: string failure_domain
  2: i64 round               // comes back with the answer
}

struct store_answer {
  1: string failure_domain
  2: bool reached
  3: i64 round
}

struct frame {
  1: i8 version
  2: i32 deployment            // hash of the deployment's name
  3: frame_kind kind
  4: string sender
  5: i64 boot
  6: i32 incarnation
  7: i32 sequence
  8: i64 sent_ms               // by the sender's own clock, since its boot
  9: optional string target    // whom the sender believes it is talking to
  10: optional string subject  // whom a ping_request, or its ack, is about
  11: optional i64 member_digest
  12: optional config_digest config
  13: optional list<member_update> members
  14: optional list<ticket_digest> tickets
  15: optional list<demand> demands
  16: optional list<leaving> leavings
  17: optional list<confirmation> confirmations
  18: optional config_request request
  19: optional config_reply reply
  20: optional list<key_notice> notices
  21: optional key_request keys_wanted
  22: optional key_reply keys
  23: optional server_question question
  24: optional server_answer opinion
  25: optional runner_word runner
  26: optional store_question store_asked
  27: optional store_answer store_told
  28: optional list<server_limit> limits
}

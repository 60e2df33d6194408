// Frames between daemons, in Thrift's compact protocol. Receivers skip fields that they don't know;
// `version` tells which fields the sender knew. Field numbers are never changed or reused. Names
// are sent as 32-bit hashes (wire_key) where the receiver knows the names. An `age` is the time
// since the observation in tenths of a second.
namespace cpp jaynotch.wire

enum frame_kind {
  ping = 1            // requests an ack; carries rumors
  ack = 2
  ping_request = 3    // requests an indirect probe: ping `subject` on behalf of the sender
  rumor = 4           // urgent rumors
  sync_request = 5    // requests the whole member table
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
  unresponsive_head = 16
}

enum member_state { alive = 1, suspect = 2, dead = 3, left = 4 }

struct member_update {
  1: string node
  2: string failure_domain
  3: string address
  4: i64 boot
  5: i32 incarnation
  6: member_state state
  7: optional i32 relay_port  // on which it accepts requests that other nodes pass on
}

// Revision that the sender has installed; part of every frame.
struct config_digest {
  1: i64 revision
  2: optional bool platform_lost   // the sender can't reach the key-value service
}

// Revision that a node has installed, spread as a rumor.
struct confirmation {
  1: i32 node
  2: i64 revision
  3: optional bool platform_lost
  4: i16 age
}

// A group's completeness ticket, as a watcher of the group observed it.
struct ticket_digest {
  1: i32 group
  2: i64 fencing
  3: i16 load          // per mille of capacity
  4: bool complete
  5: i16 age
}

// Requests of one workspace in one pool that a node has in flight and receives.
struct demand {
  1: i32 node
  2: i32 pool
  3: i32 workspace
  4: i32 in_flight
  5: i32 arrivals      // requests per second, times ten
  6: i16 age
}

// A backend server that must get no new requests.
struct leaving {
  1: string server
  2: i16 age
}

// Rate limit of a backend server for all nodes together; without a rate there is no limit any more.
struct server_limit {
  1: string server
  2: optional i32 per_second_milli
  3: i16 age
}

// Of what in requests servers end. `content` is a hash that all nodes compute alike.
enum content_fact {
  server_ended = 1     // `server` ended as it began to answer a request with the content
  served = 2           // a server answered a request with the content and lived on
  blocked = 3          // requests with the content are refused; a server ended `since_end` before
}

struct content_notice {
  1: i64 content
  2: content_fact fact
  3: optional i32 server       // hash of the server's id
  4: optional i32 since_end    // tenths of a second
  5: i16 age
}

// Requests the head if it is newer than `base`, or pages by digest.
struct config_request {
  1: i64 base
  2: optional list<string> digests
}

struct config_page {
  1: string digest
  2: binary bytes
}

// Announces the newest revision of a platform key that only some nodes watch.
struct key_notice {
  1: i32 key           // wire_key of the key
  2: i64 revision
  3: i16 age
}

struct known_key {
  1: i32 key
  2: i64 revision
}

// Requests entries newer than `known`: of the keys `wanted`, or of all keys if it is not set.
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
  2: optional i32 store_age_ms  // time since the store answered the sender, which follows it
  3: optional i64 push_number   // sequence number of a push; a gap shows that one was lost
  4: optional bool complete     // replies to a request for all keys and contains all newer entries
  5: optional list<string> forward_to  // nodes to which the receiver sends it on
  6: optional string origin     // node whose push it is, if the sender forwards it
  7: optional i64 last_push     // of a reply: number of the sender's last push before it
  // The store answered the sender or its neighbours `store_heard_ms` ago, and has had no outage from
  // `store_steady_ms` ago until then.
  8: optional i64 store_steady_ms
  9: optional i64 store_heard_ms
  10: optional i32 read_ms      // how long the sender's last reading of everything took
}

// `head` is the head record of `revision` as stored in the key-value service.
struct config_reply {
  1: i64 revision
  2: optional binary head
  3: optional list<config_page> pages
  4: optional binary delta         // changes of the head since the requester's base
}

// Asks whether a backend server responds to the receiver.
struct server_question {
  1: string vm
  2: string address
}

struct server_answer {
  1: string vm
  2: bool answers
}

// A runner's report about itself and its group, relayed while the registry is unreachable.
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

// Asks whether the platform's store responds to the receiver. Sent by the manager of the domain.
struct store_question {
  1: string failure_domain
  2: i64 round               // copied into the answer
}

struct store_answer {
  1: string failure_domain
  2: bool reached
  3: i64 round
}

// Tells the manager of the head's failure domain that the head's group sends the sender no output
// although requests of the sender are waiting for it.
struct unresponsive_head {
  1: string vm
}

struct frame {
  1: i8 version
  2: i32 deployment            // hash of the deployment's name
  3: frame_kind kind
  4: string sender
  5: i64 boot
  6: i32 incarnation
  7: i32 sequence
  8: i64 sent_ms               // on the sender's clock, since its start
  9: optional string target    // node that the frame is intended for
  10: optional string subject  // node that a ping_request, or its ack, refers to
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
  29: optional unresponsive_head silent
  30: optional list<content_notice> contents
}

// The head record: which revision is in force, who made it, and which pages it is made of. It is
// the value of one key; to swap it is to accept a change.
//
//   config_keys keys{"/jaynotch/prod/"};
//   result<head_record> head = parse_head(entry.value);
#pragma once

#include "base/base.h"
#include "tables/merge.h"
#include "tables/pages.h"
#include "tables/parse.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jaynotch {

/// Accepted changes that are kept, and can be gone back to.
inline constexpr std::size_t max_history_entries = 64;
/// Rows that one history entry names.
inline constexpr std::size_t max_history_rows = 16;

/// Who changed the tables, when and why.
struct history_entry {
    config_revision revision;
    std::string change_id;
    std::string author;
    std::int64_t time_ms = 0; ///< since 1970, of the accepting node's clock
    std::string message;
    std::vector<std::string> rows; ///< "routes/chat", the first few that changed

    friend bool operator==(const history_entry&, const history_entry&) = default;
};

/// What the head key holds.
struct head_record {
    page_manifest manifest;
    std::vector<history_entry> history; ///< newest first; the first is this revision's own

    [[nodiscard]] config_revision revision() const
    {
        return history.empty() ? config_revision{} : history.front().revision;
    }
    friend bool operator==(const head_record&, const head_record&) = default;
};

std::string render_head(const head_record& head);
/// Errors: protocol, if the text is not a head record.
result<head_record> parse_head(std::string_view text);

/// What turns the head `from` into `to`: the buckets that differ. Empty if the tables have another
/// number of buckets, so that the whole head has to be sent.
std::string render_delta(const head_record& from, const head_record& to);
/// Errors: protocol, if the text is no delta, is based on another revision, or leads to a head
/// that is not the one it was made from.
result<head_record> apply_delta(const head_record& from, std::string_view text);

/// Names of the keys that hold the configuration.
class config_keys {
public:
    explicit config_keys(std::string prefix) : m_prefix{std::move(prefix)} {}

    [[nodiscard]] std::string all() const { return m_prefix + "config/"; }
    [[nodiscard]] std::string head() const { return all() + "head"; }
    [[nodiscard]] std::string pages() const { return all() + "page/"; }
    [[nodiscard]] std::string page(const std::string& digest) const { return pages() + digest; }
    [[nodiscard]] std::string revisions() const { return all() + "revision/"; }
    /// Manifest of one revision, kept as long as its history entry.
    [[nodiscard]] std::string revision(config_revision revision) const;

private:
    std::string m_prefix;
};

} // namespace jaynotch

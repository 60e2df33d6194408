// The head record: the current revision, its history and the pages that make up its tables. It is
// the value of one key; a change is accepted by swapping that value.
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

/// Accepted changes that are kept and can be rolled back to.
inline constexpr std::size_t max_history_entries = 64;
/// Rows that one history entry lists.
inline constexpr std::size_t max_history_rows = 16;

/// One accepted change: who made it, when and why.
struct history_entry {
    config_revision revision;
    std::string change_id;
    std::string author;
    std::int64_t time_ms = 0; ///< since 1970, by the clock of the accepting node
    std::string message;
    std::vector<std::string> rows; ///< such as "routes/chat"; the first few that changed

    friend bool operator==(const history_entry&, const history_entry&) = default;
};

/// The value of the head key.
struct head_record {
    page_manifest manifest;
    std::vector<history_entry> history; ///< newest first; begins with the entry of this revision

    [[nodiscard]] config_revision revision() const
    {
        return history.empty() ? config_revision{} : history.front().revision;
    }
    friend bool operator==(const head_record&, const head_record&) = default;
};

std::string render_head(const head_record& head);
/// Errors: protocol if the text is not a head record.
result<head_record> parse_head(std::string_view text);

/// The difference between two heads: the digests of the buckets that differ, and the history of
/// `to`. Empty if the number of buckets differs; the whole head has to be sent then.
std::string render_delta(const head_record& from, const head_record& to);
/// Applies a delta to the head that it is based on. Errors: protocol if the text is not a delta, is
/// based on another revision, or if the checksum of the resulting manifest does not match.
result<head_record> apply_delta(const head_record& from, std::string_view text);

/// Names of the keys that hold the configuration in the key-value service.
class config_keys {
public:
    explicit config_keys(std::string prefix) : m_prefix{std::move(prefix)} {}

    [[nodiscard]] std::string all() const { return m_prefix + "config/"; }
    [[nodiscard]] std::string head() const { return all() + "head"; }
    [[nodiscard]] std::string pages() const { return all() + "page/"; }
    [[nodiscard]] std::string page(const std::string& digest) const { return pages() + digest; }
    [[nodiscard]] std::string revisions() const { return all() + "revision/"; }
    /// Key of the head record of one revision (with only its own history entry), which is kept as
    /// long as the revision is in the head's history.
    [[nodiscard]] std::string revision(config_revision revision) const;

private:
    std::string m_prefix;
};

} // namespace jaynotch

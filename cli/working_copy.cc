#include "cli/working_copy.h"

#include "tables/parse.h"

#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace jaynotch {

namespace {

constexpr std::string_view lock_file = "revision.lock";

std::string path_of(const std::string& directory, std::string_view file)
{
    return (std::filesystem::path{directory} / file).string();
}

result<std::string> read_file(const std::string& path)
{
    std::ifstream in{path, std::ios::binary};
    std::ostringstream text;
    if (!in || !(text << in.rdbuf()))
        return error{error_kind::not_found, path + " can't be read",
                     "set --dir to the folder of both tables, or run `jaynotch fetch`"};
    return text.str();
}

/// Writes a temporary file and renames it, so that an interrupted write leaves the old file intact.
result<void> write_file(const std::string& path, const std::string& text)
{
    const std::string temporary = path + ".new";
    std::ofstream out{temporary, std::ios::binary | std::ios::trunc};
    out << text;
    out.close();
    std::error_code rename_error;
    if (out)
        std::filesystem::rename(temporary, path, rename_error);
    if (!out || rename_error)
        return error{error_kind::unavailable, path + " can't be written",
                     "check the folder's permissions and free disk space"};
    return success();
}

result<std::int64_t> read_lock(const std::string& directory)
{
    const std::string path = path_of(directory, lock_file);
    if (!std::filesystem::exists(path))
        return 0;
    BOOST_OUTCOME_TRY(const std::string text, read_file(path));
    std::int64_t revision = 0;
    const char* end_of_text = text.data() + text.size();
    const auto [end, status] = std::from_chars(text.data(), end_of_text, revision);
    const bool trailing = end != end_of_text && *end != '\n';
    if (status != std::errc{} || revision < 0 || trailing)
        return error{error_kind::invalid_argument, path + " does not contain a revision number",
                     "restore it from version control, or run `jaynotch fetch`"};
    return revision;
}

} // namespace

result<working_copy> read_working_copy(const std::string& directory)
{
    working_copy copy;
    BOOST_OUTCOME_TRY(copy.routes, read_file(path_of(directory, routes_file)));
    BOOST_OUTCOME_TRY(copy.pools, read_file(path_of(directory, pools_file)));
    BOOST_OUTCOME_TRY(copy.base_revision, read_lock(directory));
    return copy;
}

result<void> write_working_copy(const std::string& directory, const working_copy& copy)
{
    BOOST_OUTCOME_TRY(write_file(path_of(directory, routes_file), copy.routes));
    BOOST_OUTCOME_TRY(write_file(path_of(directory, pools_file), copy.pools));
    return write_lock(directory, copy.base_revision);
}

result<void> write_lock(const std::string& directory, std::int64_t revision)
{
    return write_file(path_of(directory, lock_file), std::to_string(revision) + "\n");
}

} // namespace jaynotch

// A model route tries at most four combinations of model and workspace, with two hash look-ups
// each. A plain route takes a few look-ups for each distinct length of path prefix in the table, so
// the cost is bounded by the table and not by the path that a caller sends. Rows with the same key
// are sorted by name, those with methods before those without, so the first match is the most
// specific.
#include "routing/route_index.h"

#include <algorithm>

namespace jaynotch {

namespace {

constexpr std::string_view any = "*";

bool has_method(const route& row, std::string_view method)
{
    return row.methods.empty() ||
           std::find(row.methods.begin(), row.methods.end(), method) != row.methods.end();
}

/// Key of a plain row. The separator cannot occur in a host name.
std::string plain_key(std::string_view host, std::string_view prefix)
{
    std::string key{host};
    key += '\n';
    key += prefix;
    return key;
}

} // namespace

bool path_has_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return prefix.empty() || prefix.back() == '/' || path.size() == prefix.size() ||
           path[prefix.size()] == '/';
}

route_index::route_index(std::vector<route> routes) : m_routes{std::move(routes)}
{
    std::sort(m_routes.begin(), m_routes.end(), [](const route& a, const route& b) {
        if (a.methods.empty() != b.methods.empty())
            return b.methods.empty();
        return a.name < b.name;
    });
    for (std::size_t row = 0; row < m_routes.size(); ++row) {
        for (const std::string& workspace : m_routes[row].workspaces)
            add(row, workspace);
        if (m_routes[row].kind == request_kind::plain)
            m_prefix_lengths.push_back(m_routes[row].path_prefix.size());
    }
    std::sort(m_prefix_lengths.begin(), m_prefix_lengths.end(), std::greater<>{});
    const auto last = std::unique(m_prefix_lengths.begin(), m_prefix_lengths.end());
    m_prefix_lengths.erase(last, m_prefix_lengths.end());
}

void route_index::add(std::size_t row, const std::string& workspace)
{
    const route& added = m_routes[row];
    workspace_rows& rows = m_workspaces[workspace];
    const std::string model = added.model.empty() ? std::string{any} : added.model;
    switch (added.kind) {
    case request_kind::chat:
        rows.chat[model].push_back(row);
        break;
    case request_kind::completion:
        rows.completion[model].push_back(row);
        break;
    case request_kind::plain:
        rows.plain[plain_key(added.host, added.path_prefix)].push_back(row);
        break;
    }
}

const route_index::workspace_rows* route_index::rows_of(std::string_view workspace) const
{
    const auto found = m_workspaces.find(workspace);
    return found == m_workspaces.end() ? nullptr : &found->second;
}

const route* route_index::find(const request_info& request) const
{
    if (request.kind != request_kind::plain)
        return find_model(request);
    for (const std::string_view workspace : {std::string_view{request.workspace.value()}, any}) {
        const workspace_rows* rows = rows_of(workspace);
        const route* found = rows == nullptr ? nullptr : find_plain(request, *rows);
        if (found != nullptr)
            return found;
    }
    return nullptr;
}

const route* route_index::find_model(const request_info& request) const
{
    for (const std::string_view model : {std::string_view{request.model}, any}) {
        for (const std::string_view workspace : {std::string_view{request.workspace.value()}, any})
        {
            const workspace_rows* rows = rows_of(workspace);
            if (rows == nullptr)
                continue;
            const rows_by_text& models =
                request.kind == request_kind::chat ? rows->chat : rows->completion;
            const auto found = models.find(model);
            if (found != models.end())
                return &m_routes[found->second.front()];
        }
    }
    return nullptr;
}

const route* route_index::find_plain(const request_info& request, const workspace_rows& rows) const
{
    const std::string_view path = request.path;
    for (const std::size_t length : m_prefix_lengths) {
        if (length > path.size() || !path_has_prefix(path, path.substr(0, length)))
            continue;
        for (const std::string_view host : {std::string_view{request.host}, std::string_view{}}) {
            const auto found = rows.plain.find(plain_key(host, path.substr(0, length)));
            if (found == rows.plain.end())
                continue;
            for (const std::size_t row : found->second) {
                if (has_method(m_routes[row], request.method))
                    return &m_routes[row];
            }
            if (host.empty())
                break;
        }
    }
    return nullptr;
}

} // namespace jaynotch

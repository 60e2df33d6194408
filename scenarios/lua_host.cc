#include "scenarios/lua_host.h"

#include <lua.hpp>

#include <cmath>

// liblua raises errors with longjmp, which skips destructors. Therefore the C++ work is done in
// functions that return whether they succeeded, and lua_error is called only where no object with a
// destructor is alive.

namespace jaynotch {

namespace json = boost::json;

namespace {

constexpr int max_table_depth = 16;

json::value to_json(lua_State* lua, int index, int depth);

/// A table with an element 1 becomes an array, any other table an object.
json::value table_to_json(lua_State* lua, int index, int depth)
{
    const int table = lua_absindex(lua, index);
    const lua_Integer length = luaL_len(lua, table);
    if (length > 0) {
        json::array list;
        for (lua_Integer i = 1; i <= length; ++i) {
            lua_geti(lua, table, i);
            list.push_back(to_json(lua, -1, depth + 1));
            lua_pop(lua, 1);
        }
        return list;
    }
    json::object object;
    lua_pushnil(lua);
    while (lua_next(lua, table) != 0) {
        if (lua_type(lua, -2) == LUA_TSTRING)
            object[lua_tostring(lua, -2)] = to_json(lua, -1, depth + 1);
        lua_pop(lua, 1);
    }
    return object;
}

json::value to_json(lua_State* lua, int index, int depth)
{
    if (depth > max_table_depth)
        throw exception{
            {error_kind::invalid_argument, "a Lua table is nested more than 16 levels deep", ""}};
    switch (lua_type(lua, index)) {
    case LUA_TBOOLEAN:
        return lua_toboolean(lua, index) != 0;
    case LUA_TNUMBER:
        if (lua_isinteger(lua, index) != 0)
            return static_cast<std::int64_t>(lua_tointeger(lua, index));
        return lua_tonumber(lua, index);
    case LUA_TSTRING: {
        std::size_t length = 0;
        const char* text = lua_tolstring(lua, index, &length);
        return json::value(json::string(text, length));
    }
    case LUA_TTABLE:
        return table_to_json(lua, index, depth);
    default:
        return nullptr;
    }
}

void push_json(lua_State* lua, const json::value& value)
{
    luaL_checkstack(lua, 4, "value too deep");
    if (const json::object* object = value.if_object()) {
        lua_newtable(lua);
        for (const auto& member : *object) {
            lua_pushlstring(lua, member.key().data(), member.key().size());
            push_json(lua, member.value());
            lua_settable(lua, -3);
        }
        return;
    }
    if (const json::array* list = value.if_array()) {
        lua_newtable(lua);
        lua_Integer index = 0;
        for (const auto& item : *list) {
            push_json(lua, item);
            lua_seti(lua, -2, ++index);
        }
        return;
    }
    if (const json::string* text = value.if_string())
        lua_pushlstring(lua, text->data(), text->size());
    else if (value.is_bool())
        lua_pushboolean(lua, value.get_bool() ? 1 : 0);
    else if (value.is_int64())
        lua_pushinteger(lua, value.get_int64());
    else if (value.is_uint64())
        lua_pushinteger(lua, static_cast<lua_Integer>(value.get_uint64()));
    else if (value.is_double())
        lua_pushnumber(lua, value.get_double());
    else
        lua_pushnil(lua);
}

/// Pushes the result of a call, or the message of the exception it threw. True on success.
bool call_and_push(lua_State* lua, const lua_host::operation& call)
{
    try {
        const std::string name = luaL_optstring(lua, 1, "");
        json::object arguments;
        if (lua_istable(lua, 2)) {
            json::value given = table_to_json(lua, 2, 0);
            if (given.is_object())
                arguments = std::move(given.get_object());
            else
                arguments["list"] = std::move(given);
        }
        push_json(lua, call(name, arguments));
        return true;
    }
    catch (const std::exception& failed) {
        lua_pushstring(lua, failed.what());
        return false;
    }
}

} // namespace

lua_host::lua_host(operation call) : m_call{std::move(call)}, m_lua{luaL_newstate()}
{
    luaL_openlibs(m_lua);
    lua_pushlightuserdata(m_lua, this);
    lua_pushcclosure(m_lua, &lua_host::call_operation, 1);
    lua_setglobal(m_lua, "op");
}

lua_host::~lua_host()
{
    lua_close(m_lua);
}

int lua_host::call_operation(lua_State* lua)
{
    const auto* self = static_cast<const lua_host*>(lua_touserdata(lua, lua_upvalueindex(1)));
    if (!call_and_push(lua, self->m_call))
        return lua_error(lua);
    return 1;
}

result<void> lua_host::run(const std::string& script, const std::string& name)
{
    const std::string chunk = "@" + name;
    int failed = luaL_loadbuffer(m_lua, script.data(), script.size(), chunk.c_str());
    if (failed == LUA_OK)
        failed = lua_pcall(m_lua, 0, 0, 0);
    if (failed == LUA_OK)
        return success();
    const char* message_text = lua_tostring(m_lua, -1);
    const std::string message =
        message_text == nullptr ? "Lua error without a message" : message_text;
    lua_pop(m_lua, 1);
    return error{error_kind::internal, message, ""};
}

} // namespace jaynotch

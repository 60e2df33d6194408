// Runs Lua scripts that call into C++ through one function, op(name, arguments). The argument table
// and the result are converted from and to JSON values:
//
//   lua_host host{[](std::string_view name, const json::object& arguments) { ... }};
//   result<void> ran = host.run(script_text, "drain.lua");
//
// In Lua: op("start_load", {rate = 20}). An exception thrown by the operation becomes a Lua error.
#pragma once

#include "base/base.h"

#include <boost/json.hpp>

#include <functional>
#include <string>
#include <string_view>

struct lua_State;

namespace jaynotch {

class lua_host {
public:
    using operation = std::function<boost::json::value(std::string_view name,
                                                       const boost::json::object& arguments)>;
    explicit lua_host(operation call);
    ~lua_host();
    lua_host(const lua_host&) = delete;
    lua_host& operator=(const lua_host&) = delete;

    /// Runs a script; `name` appears in error messages. Errors: internal, with Lua's message, which
    /// begins with the name and line.
    result<void> run(const std::string& script, const std::string& name);

private:
    static int call_operation(lua_State* lua);

    operation m_call;
    lua_State* m_lua;
};

} // namespace jaynotch

#pragma once

#include <string>
#include <string_view>

namespace bergamotweir::cli {

/** What the value of a setting or an argument must look like. */
struct ValueKind {
    /** Stands for the value in the help, such as "PORT". */
    std::string_view placeholder;
    /** Completes "isn't ...". */
    std::string_view expected;
    /** A value to write instead of a bad one. */
    std::string_view example;
    bool (*isValid)(std::string_view value);
};

/** One setting of a command: the flag --name, and the variable BERGAMOTWEIR_NAME which the flag beats. */
struct Setting {
    /** Lower-case words joined by '-'. */
    std::string_view name;
    /** Null for a switch, which has no value. */
    const ValueKind *kind = nullptr;
    std::string_view help;
    bool required = false;
    /** Used where neither flag nor variable is given; may be empty. */
    std::string_view defaultValue = {};
};

/** One positional argument of a command; all are required. */
struct Argument {
    const ValueKind *kind = nullptr;
    std::string_view help;
};

/** @return the environment variable of a setting: "caller-port" -> "BERGAMOTWEIR_CALLER_PORT" */
std::string variableName(std::string_view settingName);

} // namespace bergamotweir::cli

#pragma once

#include <string>
#include <string_view>

namespace bergamotweir::cli {

/** Format of the value of a setting or an argument. */
struct ValueKind {
    /** Placeholder of the value in the help, such as "PORT". */
    std::string_view placeholder;
    /** Description of a valid value, which completes "isn't ..." in a finding. */
    std::string_view expected;
    /** A valid value, shown in the finding about an invalid one. */
    std::string_view example;
    bool (*isValid)(std::string_view value);
};

/** One setting of a command: the flag --name, which takes precedence over the variable BERGAMOTWEIR_NAME. */
struct Setting {
    /** Lower-case words joined by '-'. */
    std::string_view name;
    /** Null for a switch, which takes no value. */
    const ValueKind *kind = nullptr;
    std::string_view help;
    bool required = false;
    /** Value if neither the flag nor the variable is given; may be empty. */
    std::string_view defaultValue = {};
};

/** One positional argument of a command; every argument is required. */
struct Argument {
    const ValueKind *kind = nullptr;
    std::string_view help;
};

/** @return the name of the environment variable of a setting: "caller-port" -> "BERGAMOTWEIR_CALLER_PORT" */
std::string variableName(std::string_view settingName);

} // namespace bergamotweir::cli

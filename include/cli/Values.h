#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::cli {

/** Validated settings and arguments of one command line, with defaults filled in. */
class Values
{
public:
    /**
     * Stores the value of a setting.
     * @param place source of the value, for findings: "flag --x" or "variable BERGAMOTWEIR_X"; empty for a default
     */
    void set(std::string_view setting, std::string value, std::string place);

    /** Appends a positional argument. */
    void addArgument(std::string value);

    /** @return whether the setting comes from a flag or a variable, not from its default */
    bool isSet(std::string_view setting) const;

    /** @return the value; empty if the setting was not given and has no default */
    std::string text(std::string_view setting) const;

    /** @return the value of a numeric setting; 0 if it is empty */
    std::uint64_t number(std::string_view setting) const;

    /** @return the items of a comma-separated value */
    std::vector<std::string> list(std::string_view setting) const;

    /** @return whether a switch is on */
    bool isOn(std::string_view setting) const;

    /** @return the value of a setting of SecondsKind as a duration */
    std::chrono::milliseconds seconds(std::string_view setting) const;

    /** @return the source of the value, for findings; the flag if the value was not given */
    std::string place(std::string_view setting) const;

    const std::vector<std::string> &arguments() const;

private:
    struct Value {
        std::string text;
        std::string place;
    };

    std::map<std::string, Value, std::less<>> settings;
    std::vector<std::string> positional;
};

} // namespace bergamotweir::cli

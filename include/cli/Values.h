#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bergamotweir::cli {

/** The settings and arguments of one run, checked against their kinds. Defaults are filled in. */
class Values
{
public:
    /**
     * Keeps a value.
     * @param place where it was given, for findings: "flag --x" or "variable BERGAMOTWEIR_X"; empty for a default
     */
    void set(std::string_view setting, std::string value, std::string place);

    /** Appends a positional argument. */
    void addArgument(std::string value);

    /** @return true when flag or variable gave the setting */
    bool isSet(std::string_view setting) const;

    /** @return the value; empty when neither given nor defaulted */
    std::string text(std::string_view setting) const;

    /** @return the number; 0 when empty. The setting's kind is numeric. */
    std::uint64_t number(std::string_view setting) const;

    /** @return the comma-separated parts */
    std::vector<std::string> list(std::string_view setting) const;

    /** @return true when a switch is on */
    bool isOn(std::string_view setting) const;

    /** @return the setting's value as a span of time; the kind is SecondsKind */
    std::chrono::milliseconds seconds(std::string_view setting) const;

    /** @return where the value was given; the flag when it wasn't */
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

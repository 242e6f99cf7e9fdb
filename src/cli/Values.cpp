#include "cli/Values.h"

#include "cli/ValueKinds.h"

#include <sstream>

namespace bergamotweir::cli {

std::string variableName(std::string_view settingName)
{
    std::string name = "BERGAMOTWEIR_";
    for (const char character : settingName) {
        name += character == '-' ? '_' : static_cast<char>(std::toupper(static_cast<unsigned char>(character)));
    }
    return name;
}

void Values::set(std::string_view setting, std::string value, std::string place)
{
    this->settings.insert_or_assign(std::string(setting), Value{std::move(value), std::move(place)});
}

void Values::addArgument(std::string value)
{
    this->positional.push_back(std::move(value));
}

bool Values::isSet(std::string_view setting) const
{
    const auto found = this->settings.find(setting);
    return found != this->settings.end() && !found->second.place.empty();
}

std::string Values::text(std::string_view setting) const
{
    const auto found = this->settings.find(setting);
    return found == this->settings.end() ? std::string() : found->second.text;
}

std::uint64_t Values::number(std::string_view setting) const
{
    return toNumber(this->text(setting)).value_or(0);
}

std::vector<std::string> Values::list(std::string_view setting) const
{
    std::vector<std::string> parts;
    std::istringstream text(this->text(setting));
    for (std::string part; std::getline(text, part, ',');) {
        parts.push_back(std::move(part));
    }
    return parts;
}

bool Values::isOn(std::string_view setting) const
{
    return this->text(setting) == "yes";
}

std::chrono::milliseconds Values::seconds(std::string_view setting) const
{
    return std::chrono::seconds(this->number(setting));
}

std::string Values::place(std::string_view setting) const
{
    return this->isSet(setting) ? this->settings.find(setting)->second.place : "flag --" + std::string(setting);
}

const std::vector<std::string> &Values::arguments() const
{
    return this->positional;
}

} // namespace bergamotweir::cli

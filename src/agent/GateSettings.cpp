#include "agent/GateSettings.h"

namespace bergamotweir::agent {

GateSettingsBuilder &GateSettingsBuilder::ceiling(unsigned value)
{
    this->settings.ceiling = value;
    return *this;
}

GateSettingsBuilder &GateSettingsBuilder::ceilingIsTableLimit(bool value)
{
    this->settings.ceilingIsTableLimit = value;
    return *this;
}

GateSettingsBuilder &GateSettingsBuilder::connections(unsigned value)
{
    this->settings.connections = value;
    return *this;
}

GateSettingsBuilder &GateSettingsBuilder::minConnectionInterval(std::chrono::microseconds value)
{
    this->settings.minConnectionInterval = value;
    return *this;
}

GateSettingsBuilder &GateSettingsBuilder::queueLength(unsigned value)
{
    this->settings.queueLength = value;
    return *this;
}

GateSettingsBuilder &GateSettingsBuilder::maxWait(std::chrono::milliseconds value)
{
    this->settings.maxWait = value;
    return *this;
}

GateSettingsBuilder &GateSettingsBuilder::maxColdRate(double value)
{
    this->settings.maxColdRate = value;
    return *this;
}

GateSettingsBuilder &GateSettingsBuilder::adaptive(bool value)
{
    this->settings.adaptive = value;
    return *this;
}

Result<GateSettings> GateSettingsBuilder::build() const
{
    Findings findings;
    if (this->settings.ceiling == 0) {
        findings.push_back({"gate ceiling", "0 admits no request", "at least 1"});
    }
    if (this->settings.connections == 0) {
        findings.push_back({"gate connections", "0 admits no request", "at least 1"});
    }
    if (this->settings.minConnectionInterval.count() < 0) {
        findings.push_back({"gate minimum connection interval", "negative", "0 or more microseconds"});
    }
    if (this->settings.maxWait.count() < 0) {
        findings.push_back({"gate maximum wait", "negative", "0 or more milliseconds"});
    }
    if (!findings.empty()) {
        return findings;
    }
    return this->settings;
}

} // namespace bergamotweir::agent

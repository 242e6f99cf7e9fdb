#include "control/CoordinatorSettings.h"

namespace bergamotweir::control {

CoordinatorSettingsBuilder &CoordinatorSettingsBuilder::lease(std::chrono::milliseconds lease,
                                                              std::chrono::milliseconds drift)
{
    this->settings.lease = lease;
    this->settings.drift = drift;
    return *this;
}

CoordinatorSettingsBuilder &CoordinatorSettingsBuilder::takeoverGrace(std::chrono::milliseconds value)
{
    this->settings.takeoverGrace = value;
    return *this;
}

CoordinatorSettingsBuilder &CoordinatorSettingsBuilder::announceGrace(std::chrono::milliseconds value)
{
    this->settings.announceGrace = value;
    return *this;
}

CoordinatorSettingsBuilder &CoordinatorSettingsBuilder::rebalanceDelay(std::chrono::milliseconds value)
{
    this->settings.rebalanceDelay = value;
    return *this;
}

CoordinatorSettingsBuilder &CoordinatorSettingsBuilder::rebalanceInterval(std::chrono::milliseconds value)
{
    this->settings.rebalanceInterval = value;
    return *this;
}

CoordinatorSettingsBuilder &CoordinatorSettingsBuilder::movesPerUpstream(std::size_t value)
{
    this->settings.movesPerUpstream = value;
    return *this;
}

CoordinatorSettingsBuilder &CoordinatorSettingsBuilder::slicesPerUpstream(std::size_t value)
{
    this->settings.slicesPerUpstream = value;
    return *this;
}

CoordinatorSettingsBuilder &CoordinatorSettingsBuilder::tolerance(double value)
{
    this->settings.tolerance = value;
    return *this;
}

Result<CoordinatorSettings> CoordinatorSettingsBuilder::build() const
{
    Findings findings;
    // The margin must cover a quartz clock that is off by 1000 ppm for a whole lease, and must not be 0.
    if (this->settings.lease.count() <= 0 || this->settings.drift * 100 < this->settings.lease) {
        findings.push_back({"lease", "is not positive or its drift margin is under 1 %", "a larger margin"});
    }
    if (this->settings.movesPerUpstream == 0) {
        findings.push_back({"moves per upstream", "is 0, so no load can be rebalanced", "1 or more"});
    }
    if (this->settings.slicesPerUpstream == 0) {
        findings.push_back({"slices per upstream", "is 0", "1 or more"});
    }
    if (this->settings.tolerance <= 0 || this->settings.tolerance >= 1) {
        findings.push_back({"tolerance", "is not between 0 and 1", "0.05"});
    }
    if (!findings.empty()) {
        return findings;
    }
    return this->settings;
}

} // namespace bergamotweir::control

#pragma once

#include "Deployment.h"
#include "PlatformWorker.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace bergamotweir::test {

/**
 * Runs the real programs with settings files of the users' machines, each VM at its own loopback address: three control
 * VMs, 1 to 3, and two agents with a worker each, 11 and 12.
 */
struct PlatformMachines {
    explicit PlatformMachines(bool grantsByCall = false);
    ~PlatformMachines();
    PlatformMachines(const PlatformMachines &) = delete;
    PlatformMachines &operator=(const PlatformMachines &) = delete;

    std::string ip(int number) const;

    void startWorker(int number,
                     const std::string &id,
                     std::chrono::milliseconds heartbeatInterval = std::chrono::milliseconds(150));

    /** @return the settings file of a control VM */
    std::string controlFile(int number, bool first) const;

    Process process(const std::string &role, int number, const std::string &settings) const;

    /** Sends an order to a control VM and follows a redirect to the leader. */
    Reply order(int number, const std::string &method, const std::string &path, const std::string &body = {}) const;

    /** Sends a caller's request for a key to an agent. */
    Reply ask(int number, const std::string &id, unsigned key, const std::string &method = "GET") const;

    /** @return whether the agent answers requests for the key with 200 within ten seconds */
    bool served(int number, unsigned key) const;

    std::string net;
    std::string folder;
    std::vector<Process> controls;
    std::vector<Process> agents;
    std::vector<std::unique_ptr<PlatformWorker>> workers;
    bool grantsByCall = false;

private:
    std::string common(int number) const;
    std::string agentFile(int number) const;
};

/** @return a manifest with one route to one service, which is divided by key */
std::string platformManifest(const std::string &version, const std::string &base, const std::string &grants = "null");

/** @return the number of keys that the worker holds */
std::uint64_t keysHeld(PlatformWorker &worker);

} // namespace bergamotweir::test

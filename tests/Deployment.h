#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotweir::test {

/** What a finished command said. */
struct CommandResult {
    int exitCode = -1;
    std::string output;
};

/** An answer over HTTP; status 0 when there was none. */
struct Reply {
    int status = 0;
    /** Names in lower case. */
    std::map<std::string, std::string> headers;
    std::string body{};
};

/** One request of a caller. */
struct Ask {
    std::string method = "GET";
    std::string path{};
    std::vector<std::string> headers{};
    std::string body{};
    std::chrono::milliseconds timeout{3000};
};

/** A process of the deployment. */
struct Process {
    std::vector<std::string> arguments;
    std::string logFile;
    int pid = 0;
};

/** One upstream VM: an agent and the stand-in upstream beside it. */
struct UpstreamVm {
    std::string name;
    std::string service;
    std::string failureDomain;
    std::uint16_t callerPort = 0;
    std::uint16_t operatorPort = 0;
    std::uint16_t upstreamPort = 0;
    std::string ledger;
    Process agent;
    Process upstream;
};

/** One VM with a disk. */
struct ControlVm {
    std::string id;
    std::uint16_t raftPort = 0;
    std::uint16_t controlPort = 0;
    std::string dataFolder;
    Process control;
};

/** What to start. */
struct Plan {
    std::string name;
    unsigned controls = 3;
    std::string table;
    struct Upstreams {
        std::string service;
        /** One upstream in each entry's failure domain. */
        std::vector<std::string> failureDomains;
        std::vector<std::string> upstreamFlags;
    };
    std::vector<Upstreams> upstreams;
};

/**
 * The real processes on loopback, for tests that fault them by signal and by file.
 * Owned by one test case; its destructor ends every process it started, by pid.
 */
class Deployment
{
public:
    /** Starts everything and puts the plan's table; fails the test when that takes longer than ten seconds. */
    explicit Deployment(Plan plan);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    std::vector<ControlVm> controls;
    std::vector<UpstreamVm> vms;

    /** Starts a process again with the arguments it had. */
    static void start(Process &process);
    /** Sends a signal to a process that runs. */
    static void signal(const Process &process, int signal);
    /** Kills a process and waits for its end. */
    static void kill(Process &process);
    /** @return whether a process has ended by itself; it can then be started again */
    static bool hasEnded(Process &process);
    /** Waits for a process to end by itself. @return its exit code, or -1 when it had to be killed at the limit */
    static int waitForExit(Process &process, std::chrono::milliseconds limit);

    /** Runs an operator command against this control group. */
    CommandResult run(std::vector<std::string> arguments) const;

    /** Sends one request to a VM's caller port. */
    static Reply ask(const UpstreamVm &vm, const Ask &ask);

    /** Sends one request to IP:port. */
    static Reply askAt(const std::string &address, const Ask &ask);

    /** @return the body of a GET on any loopback port, empty when there was none */
    static std::string get(std::uint16_t port, const std::string &path);

    /** Writes a file into the deployment's folder. @return its path */
    std::string writeFile(const std::string &name, const std::string &content) const;

    /** @return index into controls of the leader, or -1 */
    int leader() const;

    /** @return the name of the upstream that owns a key, empty when none */
    std::string owner(const std::string &service, const std::string &key) const;

    /** @return the VM of that name; fails the test when there is none */
    UpstreamVm &vm(const std::string &name);

    /** @return lines of all ledgers that contain a text */
    unsigned executions(const std::string &text) const;

    /**
     * Tries until it holds or the limit is over.
     * @return whether it came to hold
     */
    static bool eventually(std::chrono::milliseconds limit, const std::function<bool()> &holds);

private:
    std::string controlAddresses() const;
    void planControls();
    void planVms();

    Plan plan;
    std::string folder;
};

} // namespace bergamotweir::test

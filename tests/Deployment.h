#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bergamotweir::test {

/** Exit code and output of a finished command. */
struct CommandResult {
    int exitCode = -1;
    std::string output;
};

/** An HTTP answer; status 0 if there was none. */
struct Reply {
    int status = 0;
    /** Values by name in lower case. */
    std::map<std::string, std::string> headers;
    std::string body{};
};

/** A caller's request. */
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

/** An upstream VM: an agent and the stand-in upstream beside it. */
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

/** A VM with a disk, which runs a control replica. */
struct ControlVm {
    std::string id;
    std::uint16_t raftPort = 0;
    std::uint16_t controlPort = 0;
    std::string dataFolder;
    Process control;
};

/** The processes of a Deployment and their settings. */
struct Plan {
    std::string name;
    unsigned controls = 3;
    std::string table;
    struct Upstreams {
        std::string service;
        /** One upstream is started in each entry's failure domain. */
        std::vector<std::string> failureDomains;
        std::vector<std::string> upstreamFlags;
    };
    std::vector<Upstreams> upstreams;
};

/**
 * Runs the real processes on loopback, for tests that inject faults by signals and files.
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
    /** Sends a signal to a running process. */
    static void signal(const Process &process, int signal);
    /** Kills a process and waits until it has ended. */
    static void kill(Process &process);
    /** @return whether a process has ended by itself; it can then be started again */
    static bool hasEnded(Process &process);
    /** Waits until a process ends by itself. @return its exit code, or -1 if it was killed at the time limit */
    static int waitForExit(Process &process, std::chrono::milliseconds limit);

    /** Runs an operator command against this control group. */
    CommandResult run(std::vector<std::string> arguments) const;

    /** Sends one request to a VM's caller port. */
    static Reply ask(const UpstreamVm &vm, const Ask &ask);

    /** Sends one request to IP:port. */
    static Reply askAt(const std::string &address, const Ask &ask);

    /** @return the body of a GET on any loopback port, empty if there was no answer */
    static std::string get(std::uint16_t port, const std::string &path);

    /** Writes a file into the deployment's folder. @return its path */
    std::string writeFile(const std::string &name, const std::string &content) const;

    /** @return index of the leader in controls, or -1 */
    int leader() const;

    /** @return the name of the upstream that owns a key, empty if none */
    std::string owner(const std::string &service, const std::string &key) const;

    /** @return the VM of that name; fails the test if there is none */
    UpstreamVm &vm(const std::string &name);

    /** @return number of lines in all ledgers that contain a text */
    unsigned executions(const std::string &text) const;

    /**
     * Checks a condition repeatedly until it is true or the time limit has passed.
     * @return whether it became true
     */
    static bool eventually(std::chrono::milliseconds limit, const std::function<bool()> &condition);

private:
    std::string controlAddresses() const;
    void planControls();
    void planVms();

    Plan plan;
    std::string folder;
};

} // namespace bergamotweir::test

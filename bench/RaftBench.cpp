// Measures the log of the control group: commits with group commit and with one sync per proposal, confirmation rounds,
// and the installation of snapshots by size. Three replicas run over loopback, each with its own thread and folder.
// Usage: RaftBench FOLDER [commits|baseline|confirms|snapshots|pauses]

#include "disk/Record.h"
#include "loop/EventLoop.h"
#include "process/ReplicaNode.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <future>
#include <mutex>
#include <thread>

using namespace bergamotweir;
using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;
using Durations = std::vector<std::chrono::nanoseconds>;

namespace {

constexpr int Replicas = 3;
constexpr std::chrono::seconds RunTime{3};
constexpr std::size_t CommandBytes = 200;

double microseconds(std::chrono::nanoseconds time)
{
    return static_cast<double>(time.count()) / 1000;
}

double percentile(Durations &durations, double share)
{
    if (durations.empty()) {
        return 0;
    }
    std::sort(durations.begin(), durations.end());
    return microseconds(durations[static_cast<std::size_t>(share * static_cast<double>(durations.size() - 1))]);
}

std::uint16_t freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    if (bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) != 0) {
        std::perror("bind");
    }
    getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size);
    close(descriptor);
    return ntohs(address.sin_port);
}

/** Durations of every sync of all replicas. */
struct SyncTimes {
    std::mutex mutex;
    Durations all;
};

disk::FileOperations timedFiles(SyncTimes &times, bool syncPerProposal)
{
    disk::FileOperations files = disk::systemFileOperations();
    const auto systemSync = files.sync;
    const auto timedSync = [&times, systemSync](int descriptor) {
        const auto startedAt = Clock::now();
        const int error = systemSync(descriptor);
        const std::lock_guard guard(times.mutex);
        times.all.push_back(Clock::now() - startedAt);
        return error;
    };
    files.sync = timedSync;
    if (!syncPerProposal) {
        return files;
    }
    files.write = [write = files.write, timedSync](int descriptor, const std::string &bytes, std::uint64_t offset) {
        std::size_t done = 0;
        int error = 0;
        while (const auto record = disk::decodeRecord(bytes, done)) {
            error = write(descriptor, bytes.substr(done, record->size), offset + done);
            // The last record needs no extra sync: the sync that follows every batch covers it.
            if (error == 0 && done + record->size < bytes.size()) {
                error = timedSync(descriptor);
            }
            done += record->size;
            if (error != 0) {
                return error;
            }
        }
        return write(descriptor, bytes.substr(done), offset + done);
    };
    return files;
}

/** Three replicas whose state machine is a block of bytes of a given size. */
class Group
{
public:
    Group(std::filesystem::path folder, std::size_t stateBytes, std::uint64_t snapshotEntries, bool syncPerProposal)
        : folder(std::move(folder))
        , state(stateBytes, 's')
        , syncPerProposal(syncPerProposal)
        , snapshotEntries(snapshotEntries)
    {
        std::filesystem::remove_all(this->folder);
        for (int index = 0; index < Replicas; ++index) {
            wire::Replica *replica = this->initial.add_replicas();
            replica->set_id(std::to_string(index));
            replica->set_address("127.0.0.1:" + std::to_string(freePort()));
        }
        for (int index = 0; index < Replicas; ++index) {
            this->start(index);
        }
        while (this->leader < 0) {
            std::this_thread::sleep_for(1ms);
        }
    }

    ~Group()
    {
        for (int index = 0; index < Replicas; ++index) {
            this->stop(index);
        }
        std::filesystem::remove_all(this->folder);
    }

    Group(const Group &) = delete;
    Group &operator=(const Group &) = delete;

    void start(int index)
    {
        Member &member = this->members[index];
        member.loop = std::move(loop::EventLoop::create().value());
        process::ReplicaSettingsBuilder builder;
        const std::string &address = this->initial.replicas(index).address();
        builder.id(std::to_string(index)).initial(this->initial).dataFolder(this->folder / std::to_string(index));
        builder.listen("127.0.0.1", static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1))));
        builder.raft(raft::RaftSettingsBuilder().snapshots(this->snapshotEntries, 10).build().value());
        process::ReplicaHooks hooks;
        hooks.apply = [](const wire::Version &, std::string_view) {
            return std::string();
        };
        hooks.snapshot = [this] {
            return this->state;
        };
        hooks.restore = [this](const wire::Version &, std::string_view) {
            this->restored++;
        };
        hooks.leadershipChanged = [this, index](bool isLeader, std::uint64_t) {
            this->leader = isLeader ? index : -1;
        };
        member.node = std::move(
            process::ReplicaNode::open(
                *member.loop, builder.build().value(), std::move(hooks), timedFiles(this->syncs, this->syncPerProposal))
                .value());
        member.thread = std::thread([&member] {
            member.loop->run();
        });
    }

    void stop(int index)
    {
        Member &member = this->members[index];
        if (!member.thread.joinable()) {
            return;
        }
        member.loop->post([&member] {
            member.node.reset();
            member.loop->stop();
        });
        member.thread.join();
    }

    process::ReplicaNode &leaderNode()
    {
        return *this->members[this->leader].node;
    }

    void onLeader(std::function<void()> task)
    {
        this->members[this->leader].loop->post(std::move(task));
    }

    std::atomic<int> leader{-1};
    std::atomic<int> restored{0};
    SyncTimes syncs;

private:
    struct Member {
        std::unique_ptr<loop::EventLoop> loop;
        std::unique_ptr<process::ReplicaNode> node;
        std::thread thread;
    };

    const std::filesystem::path folder;
    const std::string state;
    const bool syncPerProposal;
    const std::uint64_t snapshotEntries;
    wire::Membership initial;
    Member members[Replicas];
};

/** Keeps a fixed number of requests in flight at the leader for RunTime. */
struct Workload {
    using SendRequest = std::function<void(std::function<void(bool done)>)>;

    Workload(Group &group, int concurrency, SendRequest start)
        : start(std::move(start))
        , inFlight(concurrency)
        , endAt(Clock::now() + RunTime)
    {
        group.onLeader([this, concurrency] {
            for (int request = 0; request < concurrency; ++request) {
                this->sendNext();
            }
        });
        this->finished.get_future().wait();
    }

    void sendNext()
    {
        const auto startedAt = Clock::now();
        this->start([this, startedAt](bool done) {
            const auto now = Clock::now();
            this->failures += done ? 0 : 1;
            if (done) {
                this->latencies.push_back(now - startedAt);
            }
            if (now < this->endAt) {
                this->sendNext();
            } else if (--this->inFlight == 0) {
                this->finished.set_value();
            }
        });
    }

    const SendRequest start;
    int inFlight;
    const Clock::time_point endAt;
    Durations latencies;
    int failures = 0;
    std::promise<void> finished;
};

void report(const char *label, int concurrency, Workload &workload)
{
    const double rate = static_cast<double>(workload.latencies.size()) / std::chrono::duration<double>(RunTime).count();
    std::printf("%-28s %5d under way: %9.0f /s, p50 %8.0f us, p99 %8.0f us, failed %d\n",
                label,
                concurrency,
                rate,
                percentile(workload.latencies, 0.5),
                percentile(workload.latencies, 0.99),
                workload.failures);
    std::fflush(stdout);
}

void measureCommits(const std::filesystem::path &folder, bool syncPerProposal)
{
    for (const int concurrency : {1, 16, 256, 2048}) {
        Group group(folder, 0, 1000000, syncPerProposal);
        Workload workload(group, concurrency, [&group](const std::function<void(bool)> &done) {
            group.leaderNode().propose(std::string(CommandBytes, 'c'), [done](const process::ProposeResult &result) {
                done(result.kind == process::ProposeOutcome::Applied);
            });
        });
        report(syncPerProposal ? "commit, sync per proposal" : "commit, group commit", concurrency, workload);
        const std::lock_guard guard(group.syncs.mutex);
        Durations &syncs = group.syncs.all;
        const double perCommit = static_cast<double>(syncs.size()) / Replicas
                                 / static_cast<double>(std::max<std::size_t>(1, workload.latencies.size()));
        std::printf("%28s sync p50 %.0f us, p99 %.0f us; syncs per commit and replica %.3f\n",
                    "",
                    percentile(syncs, 0.5),
                    percentile(syncs, 0.99),
                    perCommit);
    }
}

void measureConfirms(const std::filesystem::path &folder)
{
    for (const int concurrency : {1, 256}) {
        Group group(folder, 0, 1000000, false);
        Workload workload(group, concurrency, [&group](const std::function<void(bool)> &done) {
            group.leaderNode().confirmLeadership(done);
        });
        report("confirmation round", concurrency, workload);
    }
}

void measureSnapshots(const std::filesystem::path &folder)
{
    for (const std::size_t megabytes : {1, 4, 16, 64}) {
        constexpr int MissedEntries = 600;
        Group group(folder, megabytes * 1024 * 1024, MissedEntries / 2, false);
        const int stoppedReplica = (group.leader + 1) % Replicas;
        group.stop(stoppedReplica);
        std::promise<void> allCommitted;
        std::atomic<int> entriesLeft{MissedEntries};
        group.onLeader([&] {
            for (int number = 0; number < MissedEntries; ++number) {
                group.leaderNode().propose("c", [&](const process::ProposeResult &) {
                    if (--entriesLeft == 0) {
                        allCommitted.set_value();
                    }
                });
            }
        });
        allCommitted.get_future().wait();
        // The log is truncated only after the snapshot is on disk.
        std::this_thread::sleep_for(3s);
        const auto startedAt = Clock::now();
        group.start(stoppedReplica);
        while (group.restored == 0) {
            std::this_thread::sleep_for(200us);
        }
        std::printf("snapshot of %3zu MB: installed %.1f ms after the replica's start\n",
                    megabytes,
                    microseconds(Clock::now() - startedAt) / 1000);
        std::fflush(stdout);
    }
}

/** Measures commits while snapshots are written: a replica has one writer for both. */
void measurePauses(const std::filesystem::path &folder)
{
    for (const std::size_t megabytes : {0, 4, 16}) {
        Group group(folder, megabytes * 1024 * 1024, 8192, false);
        Workload workload(group, 16, [&group](const std::function<void(bool)> &done) {
            group.leaderNode().propose(std::string(CommandBytes, 'c'), [done](const process::ProposeResult &result) {
                done(result.kind == process::ProposeOutcome::Applied);
            });
        });
        const std::string label = "commit, state of " + std::to_string(megabytes) + " MB";
        report(label.c_str(), 16, workload);
        std::printf("%28s longest %.0f us\n", "", percentile(workload.latencies, 1));
    }
}

} // namespace

int main(int argc, char **argv)
{
    if (argc != 2 && argc != 3) {
        std::fprintf(stderr, "usage: RaftBench FOLDER [commits|baseline|confirms|snapshots|pauses]\n");
        return 2;
    }
    const std::filesystem::path folder = std::filesystem::path(argv[1]) / "raft-bench";
    const std::string selected = argc == 3 ? argv[2] : "";
    const auto isSelected = [&selected](const char *measurement) {
        return selected.empty() || selected == measurement;
    };
    if (isSelected("commits")) {
        measureCommits(folder, false);
    }
    if (isSelected("baseline")) {
        measureCommits(folder, true);
    }
    if (isSelected("confirms")) {
        measureConfirms(folder);
    }
    if (isSelected("snapshots")) {
        measureSnapshots(folder);
    }
    if (isSelected("pauses")) {
        measurePauses(folder);
    }
    return 0;
}

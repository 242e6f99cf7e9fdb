// Measures the control group's log: commits with group commit beside one sync per proposal, confirmation rounds, and
// the installation of snapshots by size. Three replicas, each on its own thread and folder, over loopback.
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

double micros(std::chrono::nanoseconds time)
{
    return static_cast<double>(time.count()) / 1000;
}

double percentile(Durations &sorted, double share)
{
    if (sorted.empty()) {
        return 0;
    }
    std::sort(sorted.begin(), sorted.end());
    return micros(sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))]);
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

/** Times every sync of all replicas. */
struct SyncTimes {
    std::mutex mutex;
    Durations all;
};

disk::FileOperations timedFiles(SyncTimes &times, bool syncPerProposal)
{
    disk::FileOperations files = disk::systemFileOperations();
    const auto plainSync = files.sync;
    const auto timedSync = [&times, plainSync](int descriptor) {
        const auto begin = Clock::now();
        const int error = plainSync(descriptor);
        const std::lock_guard guard(times.mutex);
        times.all.push_back(Clock::now() - begin);
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
            // The sync that follows every batch is the one of its last record.
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

/** Three replicas; the state machine is a block of bytes of a given size. */
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
        hooks.leadershipChanged = [this, index](bool leads, std::uint64_t) {
            this->leader = leads ? index : -1;
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

    process::ReplicaNode &leading()
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

/** Keeps a number of requests under way at the leader for a while. */
struct Load {
    using Start = std::function<void(std::function<void(bool done)>)>;

    Load(Group &group, int concurrency, Start start)
        : start(std::move(start))
        , open(concurrency)
        , end(Clock::now() + RunTime)
    {
        group.onLeader([this, concurrency] {
            for (int request = 0; request < concurrency; ++request) {
                this->next();
            }
        });
        this->ended.get_future().wait();
    }

    void next()
    {
        const auto begin = Clock::now();
        this->start([this, begin](bool done) {
            const auto now = Clock::now();
            this->failures += done ? 0 : 1;
            if (done) {
                this->latencies.push_back(now - begin);
            }
            if (now < this->end) {
                this->next();
            } else if (--this->open == 0) {
                this->ended.set_value();
            }
        });
    }

    const Start start;
    int open;
    const Clock::time_point end;
    Durations latencies;
    int failures = 0;
    std::promise<void> ended;
};

void report(const char *what, int concurrency, Load &load)
{
    const double rate = static_cast<double>(load.latencies.size()) / std::chrono::duration<double>(RunTime).count();
    std::printf("%-28s %5d under way: %9.0f /s, p50 %8.0f us, p99 %8.0f us, failed %d\n",
                what,
                concurrency,
                rate,
                percentile(load.latencies, 0.5),
                percentile(load.latencies, 0.99),
                load.failures);
    std::fflush(stdout);
}

void measureCommits(const std::filesystem::path &folder, bool syncPerProposal)
{
    for (const int concurrency : {1, 16, 256, 2048}) {
        Group group(folder, 0, 1000000, syncPerProposal);
        Load load(group, concurrency, [&group](const std::function<void(bool)> &done) {
            group.leading().propose(std::string(CommandBytes, 'c'), [done](const process::ProposeResult &result) {
                done(result.kind == process::ProposeOutcome::Applied);
            });
        });
        report(syncPerProposal ? "commit, sync per proposal" : "commit, group commit", concurrency, load);
        const std::lock_guard guard(group.syncs.mutex);
        Durations &syncs = group.syncs.all;
        const double perCommit = static_cast<double>(syncs.size()) / Replicas
                                 / static_cast<double>(std::max<std::size_t>(1, load.latencies.size()));
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
        Load load(group, concurrency, [&group](const std::function<void(bool)> &done) {
            group.leading().confirmLeadership(done);
        });
        report("confirmation round", concurrency, load);
    }
}

void measureSnapshots(const std::filesystem::path &folder)
{
    for (const std::size_t megabytes : {1, 4, 16, 64}) {
        constexpr int Missed = 600;
        Group group(folder, megabytes * 1024 * 1024, Missed / 2, false);
        const int away = (group.leader + 1) % Replicas;
        group.stop(away);
        std::promise<void> written;
        std::atomic<int> left{Missed};
        group.onLeader([&] {
            for (int number = 0; number < Missed; ++number) {
                group.leading().propose("c", [&](const process::ProposeResult &) {
                    if (--left == 0) {
                        written.set_value();
                    }
                });
            }
        });
        written.get_future().wait();
        // Only a snapshot that is on disk lets go of the log.
        std::this_thread::sleep_for(3s);
        const auto begin = Clock::now();
        group.start(away);
        while (group.restored == 0) {
            std::this_thread::sleep_for(200us);
        }
        std::printf("snapshot of %3zu MB: installed %.1f ms after the replica's start\n",
                    megabytes,
                    micros(Clock::now() - begin) / 1000);
        std::fflush(stdout);
    }
}

/** Commits while snapshots are written: the writer of a replica is busy with one or the other. */
void measurePauses(const std::filesystem::path &folder)
{
    for (const std::size_t megabytes : {0, 4, 16}) {
        Group group(folder, megabytes * 1024 * 1024, 8192, false);
        Load load(group, 16, [&group](const std::function<void(bool)> &done) {
            group.leading().propose(std::string(CommandBytes, 'c'), [done](const process::ProposeResult &result) {
                done(result.kind == process::ProposeOutcome::Applied);
            });
        });
        const std::string what = "commit, state of " + std::to_string(megabytes) + " MB";
        report(what.c_str(), 16, load);
        std::printf("%28s longest %.0f us\n", "", percentile(load.latencies, 1));
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
    const std::string only = argc == 3 ? argv[2] : "";
    const auto wanted = [&only](const char *part) {
        return only.empty() || only == part;
    };
    if (wanted("commits")) {
        measureCommits(folder, false);
    }
    if (wanted("baseline")) {
        measureCommits(folder, true);
    }
    if (wanted("confirms")) {
        measureConfirms(folder);
    }
    if (wanted("snapshots")) {
        measureSnapshots(folder);
    }
    if (wanted("pauses")) {
        measurePauses(folder);
    }
    return 0;
}

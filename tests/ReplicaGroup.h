#pragma once

#include "loop/EventLoop.h"
#include "process/ReplicaNode.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace bergamotweir::tests {

/** A new folder below the system's temporary folder, removed on destruction. */
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "bergamotweir-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        this->path = pattern;
    }

    ~TemporaryFolder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(this->path, ignored);
    }

    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    std::filesystem::path path;
};

/** @return a loopback port chosen by the kernel and free at present */
inline std::uint16_t freePort()
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    REQUIRE(bind(descriptor, reinterpret_cast<sockaddr *>(&address), size) == 0);
    REQUIRE(getsockname(descriptor, reinterpret_cast<sockaddr *>(&address), &size) == 0);
    close(descriptor);
    return ntohs(address.sin_port);
}

/** Replicas of one group on one loop, over real sockets and files; the state machine is the list of commands. */
class ReplicaGroup
{
public:
    explicit ReplicaGroup(const std::vector<std::string> &ids)
    {
        for (const std::string &id : ids) {
            wire::Replica *replica = this->initial.add_replicas();
            replica->set_id(id);
            replica->set_address("127.0.0.1:" + std::to_string(freePort()));
            replica->set_control_address("control of " + id);
            this->files[id] = disk::systemFileOperations();
        }
    }

    void start(const std::string &id, bool join = false)
    {
        std::string address;
        for (const wire::Replica &replica : this->initial.replicas()) {
            address = replica.id() == id ? replica.address() : address;
        }
        const auto port = static_cast<std::uint16_t>(std::stoi(address.substr(address.find(':') + 1)));
        process::ReplicaSettingsBuilder builder;
        builder.id(id).listen("127.0.0.1", port).dataFolder(this->folder.path / id).join(join);
        builder.initial(this->initial).raft(this->raftSettings);
        std::vector<std::string> &commands = this->states[id];
        commands.clear();
        process::ReplicaHooks hooks;
        hooks.apply = [this, &commands](const wire::Version &, std::string_view command) {
            std::this_thread::sleep_for(this->applyTime);
            commands.emplace_back(command);
            return "applied " + std::string(command);
        };
        hooks.snapshot = [&commands] {
            wire::GetOwner all;
            for (const std::string &command : commands) {
                all.mutable_service()->append(command + "\n");
            }
            return all.SerializeAsString();
        };
        hooks.restore = [&commands](const wire::Version &, std::string_view state) {
            wire::GetOwner all;
            all.ParseFromString(std::string(state));
            commands.clear();
            std::size_t begin = 0;
            while (begin < all.service().size()) {
                const std::size_t end = all.service().find('\n', begin);
                commands.push_back(all.service().substr(begin, end - begin));
                begin = end + 1;
            }
        };
        hooks.leadershipChanged = [this, id](bool leads, std::uint64_t) {
            if (leads) {
                this->leader = id;
                ++this->leaderChanges;
            } else if (this->leader == id) {
                this->leader.clear();
            }
        };
        hooks.stopped = [this, id](const Findings &findings) {
            this->stopped[id] = findings;
        };
        auto opened =
            process::ReplicaNode::open(*this->loop, builder.build().value(), std::move(hooks), this->files[id]);
        REQUIRE(opened.has_value());
        this->nodes[id] = std::move(opened.value());
    }

    void stop(const std::string &id)
    {
        this->nodes.erase(id);
        this->leader = this->leader == id ? std::string() : this->leader;
    }

    /** Runs the loop until a condition holds; fails the test if it never does. */
    void runUntil(const std::function<bool()> &condition)
    {
        bool timedOut = false;
        const loop::TimerId watchdog = this->loop->after(std::chrono::seconds(30), [this, &timedOut] {
            timedOut = true;
            this->loop->stop();
        });
        const loop::TimerId poll = this->loop->every(std::chrono::milliseconds(1), [this, &condition] {
            if (condition()) {
                this->loop->stop();
            }
        });
        this->loop->run();
        this->loop->cancel(poll);
        this->loop->cancel(watchdog);
        REQUIRE_FALSE(timedOut);
    }

    void runUntilLeader()
    {
        this->runUntil([this] {
            return !this->leader.empty();
        });
    }

    /** Proposes a command to the current leader, repeatedly until it is applied. */
    void commit(const std::string &command)
    {
        bool applied = false;
        bool isProposed = false;
        this->runUntil([&] {
            if (!isProposed && !this->leader.empty()) {
                isProposed = true;
                this->nodes.at(this->leader)->propose(command, [&](const process::ProposeResult &result) {
                    applied = result.kind == process::ProposeOutcome::Applied;
                    isProposed = applied;
                });
            }
            return applied;
        });
    }

    TemporaryFolder folder;
    std::unique_ptr<loop::EventLoop> loop = loop::EventLoop::create().value();
    raft::RaftSettings raftSettings;
    wire::Membership initial;
    std::map<std::string, std::vector<std::string>> states;
    std::map<std::string, std::unique_ptr<process::ReplicaNode>> nodes;
    std::string leader;
    /** How often a replica has begun to lead. */
    int leaderChanges = 0;
    /** Time that a state machine takes to apply a command. */
    std::chrono::milliseconds applyTime{0};
    /** File calls of each replica; tests replace them before its start. */
    std::map<std::string, disk::FileOperations> files;
    /** Replicas that have stopped, and why. */
    std::map<std::string, Findings> stopped;
};

} // namespace bergamotweir::tests

#include "rpc/GrpcThreads.h"

#include <grpc/event_engine/event_engine.h>

#include <chrono>
#include <condition_variable>
#include <cstdlib>
#include <map>
#include <mutex>
#include <thread>
#include <utility>

namespace bergamotweir::rpc {

namespace {

using grpc_event_engine::experimental::EventEngine;

/** Runs tasks and timers on one thread, until the process exits. */
class Worker
{
public:
    /** When a task is due, and its number, in the order of creation. */
    using TaskKey = std::pair<std::chrono::steady_clock::time_point, std::intptr_t>;

    /**
     * gRPC destroys its engine with the last object that uses it, which may be on the engine's own thread. Therefore
     * the thread belongs to a worker that is never destroyed.
     */
    static Worker &instance()
    {
        static auto *const worker = new Worker;
        return *worker;
    }

    TaskKey add(std::chrono::steady_clock::duration delay, absl::AnyInvocable<void()> task)
    {
        const std::lock_guard guard(this->mutex);
        const TaskKey key{std::chrono::steady_clock::now() + delay, ++this->lastTask};
        this->tasks.emplace(key, std::move(task));
        this->changed.notify_all();
        return key;
    }

    /** @return false if the task has been started */
    bool cancel(const TaskKey &key)
    {
        const std::lock_guard guard(this->mutex);
        return this->tasks.erase(key) > 0;
    }

    bool isCurrentThread() const
    {
        return std::this_thread::get_id() == this->thread.get_id();
    }

private:
    Worker()
        : thread([this] {
            this->run();
        })
    {
    }

    [[noreturn]] void run()
    {
        std::unique_lock guard(this->mutex);
        while (true) {
            if (this->tasks.empty()) {
                this->changed.wait(guard);
                continue;
            }
            const auto first = this->tasks.begin();
            const auto due = first->first.first;
            if (std::chrono::steady_clock::now() < due) {
                this->changed.wait_until(guard, due);
                continue;
            }
            absl::AnyInvocable<void()> task = std::move(first->second);
            this->tasks.erase(first);
            guard.unlock();
            task();
            task = nullptr;
            guard.lock();
        }
    }

    std::mutex mutex;
    std::condition_variable changed;
    std::map<TaskKey, absl::AnyInvocable<void()>> tasks;
    std::intptr_t lastTask = 0;
    std::thread thread;
};

/**
 * Runs gRPC's tasks on the worker. The installed version of gRPC does its I/O outside of the event engine, so the
 * functions for I/O end the process.
 */
class OneThreadEngine : public EventEngine
{
public:
    absl::StatusOr<std::unique_ptr<Listener>>
    CreateListener(Listener::AcceptCallback,
                   absl::AnyInvocable<void(absl::Status)>,
                   const grpc_event_engine::experimental::EndpointConfig &,
                   std::unique_ptr<grpc_event_engine::experimental::MemoryAllocatorFactory>) override
    {
        std::abort();
    }

    ConnectionHandle Connect(OnConnectCallback,
                             const ResolvedAddress &,
                             const grpc_event_engine::experimental::EndpointConfig &,
                             grpc_event_engine::experimental::MemoryAllocator,
                             Duration) override
    {
        std::abort();
    }

    bool CancelConnect(ConnectionHandle) override
    {
        std::abort();
    }

    bool IsWorkerThread() override
    {
        return Worker::instance().isCurrentThread();
    }

    std::unique_ptr<DNSResolver> GetDNSResolver(const DNSResolver::ResolverOptions &) override
    {
        std::abort();
    }

    void Run(Closure *closure) override
    {
        this->RunAfter(Duration::zero(), closure);
    }

    void Run(absl::AnyInvocable<void()> closure) override
    {
        this->RunAfter(Duration::zero(), std::move(closure));
    }

    TaskHandle RunAfter(Duration when, Closure *closure) override
    {
        return this->RunAfter(when, [closure] {
            closure->Run();
        });
    }

    TaskHandle RunAfter(Duration when, absl::AnyInvocable<void()> closure) override
    {
        const Worker::TaskKey key = Worker::instance().add(when, std::move(closure));
        return {key.first.time_since_epoch().count(), key.second};
    }

    bool Cancel(TaskHandle handle) override
    {
        const std::chrono::steady_clock::time_point due{std::chrono::steady_clock::duration(handle.keys[0])};
        return Worker::instance().cancel({due, handle.keys[1]});
    }
};

} // namespace

void limitGrpcThreads()
{
    static const bool once = [] {
        grpc_event_engine::experimental::SetEventEngineFactory([] {
            return std::make_unique<OneThreadEngine>();
        });
        return true;
    }();
    static_cast<void>(once);
}

} // namespace bergamotweir::rpc

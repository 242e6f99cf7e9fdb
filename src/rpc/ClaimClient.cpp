#include "rpc/ClaimClient.h"

#include "base/BootClock.h"
#include "control.grpc.pb.h"
#include "loop/Log.h"
#include "rpc/ReplicaConnections.h"

#include <grpcpp/channel.h>

#include <algorithm>
#include <condition_variable>
#include <mutex>
#include <set>

namespace bergamotweir::rpc {

namespace {

/** Time-out of an attempt at one replica, which may be frozen, before the next replica is tried. */
constexpr std::chrono::milliseconds MaxAttemptTime{250};
constexpr std::chrono::milliseconds RetryBackoff{20};

constexpr loop::Log Log("claim");

bool isFinalReply(const wire::ClaimReply &reply)
{
    return reply.verdict() != wire::CLAIM_VERDICT_UNAVAILABLE;
}

bool isFinalReply(const wire::OutcomeReply &reply)
{
    return reply.recorded();
}

/** One call in progress, kept alive by its own callback. */
template<typename Request, typename Reply>
struct Call {
    Request request;
    Reply reply;
    std::string replica;
    std::unique_ptr<grpc::ClientContext> context;
    BootTime begunAt;
    BootTime deadline;
    std::function<void(Reply)> done;
};

void start(wire::Control::Stub &stub,
           const std::shared_ptr<Call<wire::ClaimRequest, wire::ClaimReply>> &call,
           std::function<void(grpc::Status)> ended)
{
    stub.async()->Claim(call->context.get(), &call->request, &call->reply, std::move(ended));
}

void start(wire::Control::Stub &stub,
           const std::shared_ptr<Call<wire::ClaimOutcome, wire::OutcomeReply>> &call,
           std::function<void(grpc::Status)> ended)
{
    stub.async()->RecordOutcome(call->context.get(), &call->request, &call->reply, std::move(ended));
}

void setUnavailable(wire::ClaimReply &reply)
{
    reply.set_verdict(wire::CLAIM_VERDICT_UNAVAILABLE);
}

void setUnavailable(wire::OutcomeReply &reply)
{
    reply.set_recorded(false);
}

} // namespace

struct ClaimClient::Parts : std::enable_shared_from_this<ClaimClient::Parts> {
    Parts(loop::EventLoop &loop, std::vector<std::string> addresses)
        : loop(loop)
        , addresses(std::move(addresses))
        , target(this->addresses.front())
    {
    }

    /** @return the stub of the target, or of the next replica whose connection is ready; nullptr if none is ready */
    std::shared_ptr<wire::Control::Stub> chooseReady()
    {
        const BootTime now = BootClock::now();
        this->connections.connectAll(this->addresses, now);
        for (std::size_t tries = 0; tries <= this->addresses.size(); ++tries) {
            if (auto stub = this->connections.readyStub(this->target, now)) {
                return stub;
            }
            this->chooseNext({});
        }
        return nullptr;
    }

    /** @return how long to wait for an answer of the target: longer if it took long to set up the connection */
    std::chrono::nanoseconds attemptTimeout() const
    {
        return std::max<std::chrono::nanoseconds>(MaxAttemptTime, this->connections.maxAnswerTime(this->target));
    }

    void chooseNext(const std::string &leader)
    {
        if (!leader.empty() && leader != this->target) {
            this->target = leader;
            return;
        }
        this->target = this->addresses[this->nextAddress++ % this->addresses.size()];
    }

    template<typename Request, typename Reply>
    void attempt(const std::shared_ptr<Call<Request, Reply>> &call)
    {
        const auto remaining = call->deadline - BootClock::now();
        if (remaining <= std::chrono::nanoseconds(0)) {
            setUnavailable(call->reply);
            call->done(call->reply);
            return;
        }
        const std::shared_ptr<wire::Control::Stub> stub = this->chooseReady();
        if (!stub) {
            this->attemptAfter(ReplicaConnections::PollInterval, call);
            return;
        }
        call->begunAt = BootClock::now();
        call->context = std::make_unique<grpc::ClientContext>();
        call->context->set_deadline(std::chrono::system_clock::now()
                                    + std::chrono::duration_cast<std::chrono::microseconds>(
                                        std::min<std::chrono::nanoseconds>(remaining, this->attemptTimeout())));
        call->reply.Clear();
        call->replica = this->target;
        {
            const std::lock_guard guard(this->mutex);
            this->activeContexts.insert(call->context.get());
        }
        start(*stub, call, [this, held = call](const grpc::Status &status) mutable {
            this->postResult(std::move(held), status.ok());
        });
    }

    // Called on one of gRPC's threads. The call, which holds a reference to the channel, is moved to the loop's thread:
    // gRPC aborts the process if the last reference to a channel is released on one of its callback threads.
    template<typename Request, typename Reply>
    void postResult(std::shared_ptr<Call<Request, Reply>> call, bool ok)
    {
        grpc::ClientContext *const context = call->context.get();
        this->loop.post([self = this->weak_from_this(), held = std::move(call), ok] {
            const std::shared_ptr<Parts> client = self.lock();
            if (client) {
                client->handleResult(held, ok);
            }
        });
        const std::lock_guard guard(this->mutex);
        this->activeContexts.erase(context);
        this->allEnded.notify_all();
    }

    void cancelAndWait()
    {
        std::unique_lock guard(this->mutex);
        for (grpc::ClientContext *context : this->activeContexts) {
            context->TryCancel();
        }
        this->allEnded.wait(guard, [this] {
            return this->activeContexts.empty();
        });
    }

    template<typename Request, typename Reply>
    void handleResult(const std::shared_ptr<Call<Request, Reply>> &call, bool ok)
    {
        if (ok && isFinalReply(call->reply)) {
            call->done(call->reply);
            return;
        }
        if (!ok) {
            // The connection may have stalled while a new one would work. Calls in progress keep their channel.
            Log.event(loop::LogLevel::Warn, "claim not answered").with("replica", call->replica);
            this->connections.closeReadyBefore(call->begunAt);
        }
        this->chooseNext(ok ? call->reply.leader_address() : std::string());
        this->attemptAfter(RetryBackoff, call);
    }

    template<typename Request, typename Reply>
    void attemptAfter(std::chrono::milliseconds delay, const std::shared_ptr<Call<Request, Reply>> &call)
    {
        this->loop.after(delay, [self = this->weak_from_this(), call] {
            const std::shared_ptr<Parts> client = self.lock();
            if (client) {
                client->attempt(call);
            }
        });
    }

    template<typename Request, typename Reply>
    void begin(const Request &request, std::chrono::milliseconds timeout, std::function<void(Reply)> done)
    {
        auto call = std::make_shared<Call<Request, Reply>>();
        call->request = request;
        call->deadline = BootClock::now() + timeout;
        call->done = std::move(done);
        this->attempt(call);
    }

    loop::EventLoop &loop;
    std::vector<std::string> addresses;
    std::string target;
    std::size_t nextAddress = 1;
    ReplicaConnections connections;
    std::mutex mutex;
    std::condition_variable allEnded;
    std::set<grpc::ClientContext *> activeContexts;
};

ClaimClient::ClaimClient(loop::EventLoop &loop, std::vector<std::string> addresses)
    : parts(std::make_shared<Parts>(loop, std::move(addresses)))
{
}

ClaimClient::~ClaimClient()
{
    this->parts->cancelAndWait();
}

void ClaimClient::claim(const wire::ClaimRequest &request,
                        std::chrono::milliseconds timeout,
                        std::function<void(wire::ClaimReply)> done)
{
    this->parts->begin<wire::ClaimRequest, wire::ClaimReply>(request, timeout, std::move(done));
}

void ClaimClient::recordOutcome(const wire::ClaimOutcome &outcome,
                                std::chrono::milliseconds timeout,
                                std::function<void(wire::OutcomeReply)> done)
{
    this->parts->begin<wire::ClaimOutcome, wire::OutcomeReply>(outcome, timeout, std::move(done));
}

} // namespace bergamotweir::rpc

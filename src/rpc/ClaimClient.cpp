#include "rpc/ClaimClient.h"

#include "base/BootClock.h"
#include "loop/Log.h"
#include "rpc/ReplicaConnections.h"

#include <algorithm>
#include <map>
#include <utility>

namespace bergamotweir::rpc {

namespace {

/** Time-out of an attempt at one replica, which may be frozen, before the next replica is tried. */
constexpr std::chrono::milliseconds MaxAttemptTime{250};
constexpr std::chrono::milliseconds RetryBackoff{20};

constexpr loop::Log Log("claim");

bool isFinalAnswer(const wire::ClaimAnswer &answer)
{
    return answer.has_claim() ? answer.claim().verdict() != wire::CLAIM_VERDICT_UNAVAILABLE
                              : answer.outcome().recorded();
}

/** @return the leader that an answer names; empty if it names none */
std::string leaderIn(const wire::ClaimAnswer &answer)
{
    return answer.has_claim() ? answer.claim().leader_address() : answer.outcome().leader_address();
}

/** One call in progress. */
struct Call {
    wire::ClaimCall request;
    BootTime deadline;
    /** Called with the answer; with nullptr if none came in time. */
    std::function<void(const wire::ClaimAnswer *)> done;
    /** The replica asked last, and when. */
    std::string replica;
    BootTime askedAt;
    loop::TimerId timer = 0;
};

} // namespace

struct ClaimClient::Parts {
    Parts(loop::EventLoop &loop, std::vector<std::string> addresses)
        : loop(loop)
        , addresses(std::move(addresses))
        , target(this->addresses.front())
        , connections(loop)
    {
    }

    ~Parts()
    {
        for (const auto &[id, call] : this->calls) {
            this->loop.cancel(call.timer);
        }
    }

    /** @return the connection to the target, or to the next replica that is ready; nullptr if none is ready */
    std::shared_ptr<FrameSocket> chooseReady()
    {
        const BootTime now = BootClock::now();
        this->connections.connectAll(this->addresses, now);
        for (std::size_t tries = 0; tries <= this->addresses.size(); ++tries) {
            if (auto replica = this->connections.ready(this->target, now)) {
                return replica;
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

    void attempt(std::uint64_t id)
    {
        Call &call = this->calls.at(id);
        const auto remaining = call.deadline - BootClock::now();
        if (remaining <= std::chrono::nanoseconds(0)) {
            this->finish(id, nullptr);
            return;
        }
        const std::shared_ptr<FrameSocket> replica = this->chooseReady();
        if (!replica) {
            this->attemptAfter(ReplicaConnections::PollInterval, id);
            return;
        }
        call.replica = this->target;
        call.askedAt = BootClock::now();
        replica->setEvents({.frame =
                                [this](std::string_view payload) {
                                    this->handleFrame(payload);
                                },
                            .closed =
                                [this, address = this->target] {
                                    this->handleClosed(address);
                                }});
        wire::AgentMessage message;
        *message.mutable_claim_call() = call.request;
        replica->send(makeFrame(message));
        call.timer =
            this->loop.after(std::min<std::chrono::nanoseconds>(remaining, this->attemptTimeout()), [this, id] {
                this->handleTimeout(id);
            });
    }

    void handleTimeout(std::uint64_t id)
    {
        Call &call = this->calls.at(id);
        // The connection may have stalled while a new one would work.
        Log.event(loop::LogLevel::Warn, "claim not answered").with("replica", call.replica);
        this->connections.closeReadyBefore(call.askedAt);
        this->chooseNext({});
        this->attemptAfter(RetryBackoff, id);
    }

    void handleClosed(const std::string &replica)
    {
        this->chooseNext({});
        for (auto &[id, call] : this->calls) {
            if (call.replica == replica) {
                this->loop.cancel(call.timer);
                this->attemptAfter(RetryBackoff, id);
            }
        }
    }

    void handleFrame(std::string_view payload)
    {
        wire::ControlMessage message;
        if (!message.ParseFromArray(payload.data(), static_cast<int>(payload.size())) || !message.has_claim_answer()) {
            Log.error("received a message that is not the answer to a claim");
            return;
        }
        const wire::ClaimAnswer &answer = message.claim_answer();
        const auto found = this->calls.find(answer.id());
        if (found == this->calls.end()) {
            return;
        }
        if (isFinalAnswer(answer)) {
            this->finish(answer.id(), &answer);
            return;
        }
        this->loop.cancel(found->second.timer);
        this->chooseNext(leaderIn(answer));
        this->attemptAfter(RetryBackoff, answer.id());
    }

    void attemptAfter(std::chrono::milliseconds delay, std::uint64_t id)
    {
        this->calls.at(id).timer = this->loop.after(delay, [this, id] {
            this->attempt(id);
        });
    }

    void finish(std::uint64_t id, const wire::ClaimAnswer *answer)
    {
        const Call call = this->calls.extract(id).mapped();
        this->loop.cancel(call.timer);
        call.done(answer);
    }

    void begin(wire::ClaimCall request,
               std::chrono::milliseconds timeout,
               std::function<void(const wire::ClaimAnswer *)> done)
    {
        const std::uint64_t id = ++this->lastId;
        request.set_id(id);
        this->calls[id] = {.request = std::move(request),
                           .deadline = BootClock::now() + timeout,
                           .done = std::move(done),
                           .replica = {},
                           .askedAt = {}};
        // Never within begin(), so that the caller's callback doesn't run within its call.
        this->attemptAfter(std::chrono::milliseconds(0), id);
    }

    loop::EventLoop &loop;
    std::vector<std::string> addresses;
    std::string target;
    std::size_t nextAddress = 1;
    ReplicaConnections connections;
    std::map<std::uint64_t, Call> calls;
    std::uint64_t lastId = 0;
};

ClaimClient::ClaimClient(loop::EventLoop &loop, std::vector<std::string> addresses)
    : parts(std::make_unique<Parts>(loop, std::move(addresses)))
{
}

ClaimClient::~ClaimClient() = default;

void ClaimClient::claim(const wire::ClaimRequest &request,
                        std::chrono::milliseconds timeout,
                        std::function<void(wire::ClaimReply)> done)
{
    wire::ClaimCall call;
    *call.mutable_claim() = request;
    this->parts->begin(std::move(call), timeout, [done = std::move(done)](const wire::ClaimAnswer *answer) {
        wire::ClaimReply unavailable;
        unavailable.set_verdict(wire::CLAIM_VERDICT_UNAVAILABLE);
        done(answer == nullptr ? unavailable : answer->claim());
    });
}

void ClaimClient::recordOutcome(const wire::ClaimOutcome &outcome,
                                std::chrono::milliseconds timeout,
                                std::function<void(wire::OutcomeReply)> done)
{
    wire::ClaimCall call;
    *call.mutable_outcome() = outcome;
    this->parts->begin(std::move(call), timeout, [done = std::move(done)](const wire::ClaimAnswer *answer) {
        done(answer == nullptr ? wire::OutcomeReply() : answer->outcome());
    });
}

} // namespace bergamotweir::rpc

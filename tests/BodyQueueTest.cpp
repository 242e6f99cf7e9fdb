#include "agent/BodyQueue.h"

#include <catch2/catch.hpp>
#include <pcg_random.hpp>

#include <cmath>

using namespace bergamotweir;
using namespace bergamotweir::agent;
using namespace std::chrono_literals;

namespace {

constexpr BootTime Start{100s};
constexpr double LinkBytesPerSecond = 825e3;
constexpr std::size_t BodyBytes = 60000;
constexpr auto Step = 1ms;

/** Transfers over one link, which share its rate equally. */
struct Link {
    struct Transfer {
        AnnouncedBody body;
        double bytesLeft = 0;
    };

    void begin(const AnnouncedBody &body)
    {
        this->transfers.push_back({body, static_cast<double>(body.bytes)});
    }

    /** Transfers the bytes of one step. @return the bodies that are complete */
    std::vector<AnnouncedBody> advance()
    {
        const double each = LinkBytesPerSecond * std::chrono::duration<double>(Step).count()
                            / static_cast<double>(std::max<std::size_t>(this->transfers.size(), 1));
        std::vector<AnnouncedBody> whole;
        for (Transfer &transfer : this->transfers) {
            transfer.bytesLeft -= each;
            if (transfer.bytesLeft <= 0) {
                whole.push_back(transfer.body);
            }
        }
        std::erase_if(this->transfers, [](const Transfer &transfer) {
            return transfer.bytesLeft <= 0;
        });
        return whole;
    }

    std::vector<Transfer> transfers;
};

struct Outcome {
    unsigned arrived = 0;
    unsigned inTime = 0;
    unsigned late = 0;
    std::size_t maxOnLink = 0;
};

/** Simulates a minute of random arrivals at @p load times the link's rate, each body due within @p timeLimit. */
Outcome simulate(double load, std::chrono::milliseconds timeLimit)
{
    pcg32 random(7);
    const auto randomFraction = [&random] {
        return (static_cast<double>(random()) + 1) / (static_cast<double>(pcg32::max()) + 2);
    };
    BodyQueue queue;
    Link link;
    Outcome outcome;
    std::map<BodyId, AnnouncedBody> waiting;
    BootTime next = Start;
    for (BootTime now = Start; now < Start + 60s; now += Step) {
        for (const AnnouncedBody &body : link.advance()) {
            (now <= body.receiveDeadline ? outcome.inTime : outcome.late)++;
            for (const BodyId id : finish(queue, body.id, true, now).admitted) {
                link.begin(waiting.at(id));
            }
        }
        while (next <= now) {
            const AnnouncedBody body{++outcome.arrived, BodyBytes, now + timeLimit};
            const Admission admission = requestAdmission(queue, body, now);
            if (admission == Admission::Admitted) {
                link.begin(body);
            } else if (admission == Admission::Queued) {
                waiting[body.id] = body;
            }
            const std::chrono::duration<double> interval(-std::log(randomFraction()) * BodyBytes / LinkBytesPerSecond
                                                         / load);
            next += std::chrono::duration_cast<std::chrono::nanoseconds>(interval);
        }
        outcome.maxOnLink = std::max(outcome.maxOnLink, link.transfers.size());
    }
    return outcome;
}

} // namespace

// Guards against a link whose queue grows without bound under overload.
TEST_CASE("when more bodies arrive than the link carries, admitted ones are in time and the link stays busy")
{
    const Outcome outcome = simulate(1.3, 800ms);
    const double carried = outcome.inTime * static_cast<double>(BodyBytes) / LinkBytesPerSecond / 60;
    CHECK(outcome.arrived > 900);
    CHECK(carried > 0.9);
    CHECK(outcome.late <= outcome.inTime / 50);
    CHECK(outcome.maxOnLink <= MaxBodiesReceiving);
}

TEST_CASE("a link at half its load refuses less than one body in a hundred")
{
    const Outcome outcome = simulate(0.5, 800ms);
    CHECK(outcome.inTime > 0.99 * outcome.arrived);
}

// Guards against a wrongly measured rate that is never corrected because all bodies are refused by it.
TEST_CASE("an idle link admits a body at any measured rate")
{
    BodyQueue queue;
    REQUIRE(requestAdmission(queue, {1, BodyBytes, Start + 1s}, Start) == Admission::Admitted);
    finish(queue, 1, true, Start + 30s);
    CHECK(transferTime(queue, BodyBytes) == 30s);
    CHECK(requestAdmission(queue, {2, BodyBytes, Start + 31s}, Start + 30s) == Admission::Admitted);
    CHECK(requestAdmission(queue, {3, BodyBytes, Start + 31s}, Start + 30s) == Admission::Overloaded);
}

// Guards against a place in the transfer or in the queue that is lost when its sender disconnects.
TEST_CASE("a sender that disconnects frees its place")
{
    BodyQueue queue;
    REQUIRE(requestAdmission(queue, {1, BodyBytes, Start + 5s}, Start) == Admission::Admitted);
    REQUIRE(requestAdmission(queue, {2, BodyBytes, Start + 5s}, Start) == Admission::Admitted);
    REQUIRE(requestAdmission(queue, {3, BodyBytes, Start + 5s}, Start) == Admission::Queued);
    REQUIRE(requestAdmission(queue, {4, BodyBytes, Start + 5s}, Start) == Admission::Queued);
    CHECK(finish(queue, 3, false, Start + 1ms).admitted.empty());
    CHECK(finish(queue, 1, false, Start + 2ms).admitted == std::vector<BodyId>{4});
    CHECK(queue.meanInterval == 0ns);
}

// Guards against admitted senders that stall: no other body would ever be admitted.
TEST_CASE("senders that stall don't block others")
{
    BodyQueue queue;
    REQUIRE(requestAdmission(queue, {1, BodyBytes, Start + 9s}, Start) == Admission::Admitted);
    REQUIRE(requestAdmission(queue, {2, BodyBytes, Start + 9s}, Start) == Admission::Admitted);
    REQUIRE(requestAdmission(queue, {3, BodyBytes, Start + 9s}, Start) == Admission::Queued);
    CHECK(processQueue(queue, Start + MaxTransferTime).admitted.empty());
    CHECK(processQueue(queue, Start + MaxTransferTime + 1ms).admitted == std::vector<BodyId>{3});
    CHECK(finish(queue, 1, true, Start + 3s).admitted.empty());
}

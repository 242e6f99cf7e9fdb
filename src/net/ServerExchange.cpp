#include "net/ServerExchange.h"

#include <microhttpd.h>

#include <cassert>
#include <utility>

namespace bergamotweir::net {

void ServerExchange::answer(HttpAnswer answer)
{
    if (this->state == State::Abandoned) {
        return;
    }
    assert(this->state == State::HandedOver);
    this->state = State::Answered;
    this->pendingAnswer = std::move(answer);
    this->abandonedTask = nullptr;
    this->resume();
}

bool ServerExchange::isAbandoned() const
{
    return this->state == State::Abandoned;
}

void ServerExchange::handOver(ExchangeHost &to, const std::function<void(std::shared_ptr<Exchange>)> &handler)
{
    assert(this->state == State::Receiving);
    this->state = State::HandedOver;
    this->host = &to;
    this->isCounted = true;
    ++to.inProgress;
    handler(this->self.lock());
}

void ServerExchange::abandon()
{
    if (this->state == State::Receiving) {
        // libmicrohttpd finds the connection closed when it tries to read the body.
        this->resume();
        return;
    }
    if (this->state != State::HandedOver) {
        return;
    }
    this->state = State::Abandoned;
    this->resume();
    const std::function<void()> task = std::move(this->abandonedTask);
    if (task) {
        task();
    }
}

void ServerExchange::detach()
{
    if (this->state == State::HandedOver) {
        this->state = State::Abandoned;
        this->abandonedTask = nullptr;
    }
    this->resume();
    this->notifyBodyEnded(false);
    if (std::exchange(this->isCounted, false)) {
        --this->host->inProgress;
    }
    this->host = nullptr;
    this->connection = nullptr;
}

const HttpRequest &ServerExchange::head() const
{
    return this->received;
}

std::size_t ServerExchange::length() const
{
    return this->statedBodyBytes;
}

void ServerExchange::holdBody(ExchangeHost &to, std::size_t length)
{
    this->host = &to;
    this->statedBodyBytes = length;
    this->isBodyHeld = true;
}

void ServerExchange::proceed()
{
    this->isBodyHeld = false;
    this->resume();
}

void ServerExchange::refuse(HttpAnswer answer)
{
    if (this->state != State::Receiving) {
        return;
    }
    this->isBodyHeld = false;
    this->state = State::Answered;
    this->pendingAnswer = std::move(answer);
    this->resume();
}

void ServerExchange::notifyBodyEnded(bool whole)
{
    const std::function<void(bool)> task = std::exchange(this->endedTask, nullptr);
    if (task) {
        task(whole);
    }
}

void ServerExchange::resume()
{
    if (this->isSuspended && this->connection != nullptr) {
        this->isSuspended = false;
        MHD_resume_connection(this->connection);
        // Without this the answer waits for the next event of any connection, because resuming one causes no event.
        this->host->runSoon();
    }
}

} // namespace bergamotweir::net
